#pragma once

#include "Common/Clock.h"
#include "Fleet/GossipMessage.h"
#include "Fleet/PeerTable.h"
#include "Routing/ServerDirectory.h"
#include "Routing/ServerHealthTracker.h"
#include "Routing/SharedLoad.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace auburnroute::fleet {

/// Limits of the exchange of loads. The defaults are those of the daemon.
struct LoadExchangeLimits {
  /// Whether the load of single servers is exchanged, beside that of zones.
  bool SharesServers = true;
  /// Shortest time between two rounds of reports.
  std::chrono::milliseconds MinInterval{1000};
  /// Longest time between two rounds, for zones with many hosts and servers.
  std::chrono::milliseconds MaxInterval{8000};
  /// A round is delayed until the datagrams since the last one are within this
  /// rate.
  double BytesPerSecond = 2000;
  /// Reports and totals are used for this number of intervals.
  int StaleIntervals = 3;
  /// A service is shared from the first utilization of its slots until it is
  /// below the second one.
  double StartUtilization = 0.3;
  double StopUtilization = 0.2;
  /// Time constant with which the utilization is smoothed for that decision: at
  /// a utilization of 0.18, one host of 66 sees an uneven part of it.
  std::chrono::milliseconds SmoothingTime{4000};
  /// A collector that left this number of reports without an answer is passed
  /// over in favor of the next one for RetryTime.
  int MaxUnanswered = 3;
  std::chrono::milliseconds RetryTime{10000};
  /// Number of reports of one host that are answered in AnswerWindow. A report
  /// on more servers than fit a datagram takes several.
  int MaxAnswers = 8;
  std::chrono::milliseconds AnswerWindow{500};
  /// Servers of which the load by one host is kept.
  std::size_t MaxReportedServers = 1024;
  /// Zone loads of fewer hosts than this are complemented by those up to twice
  /// as old: hosts hear of each other at random.
  std::size_t MinZoneSamples = 4;
  /// Hosts of each other zone that are told the zone loads in an interval.
  std::size_t ZoneFanOut = 2;
  /// Hosts whose heartbeat increased within this time are counted and may
  /// collect. Longer than MembershipLimits::FailureTimeout, after which large
  /// fleets take living hosts for lost.
  std::chrono::milliseconds HostTimeout{8000};
};

/// The exchange of loads between hosts: each sees only its own part of the load
/// of a server.
///
/// For each server one host of a zone, the collector, adds up the load that the
/// zone's hosts cause. It is chosen by rendezvous hashing and answers each
/// report with the total of the other hosts. The load by service and zone is
/// told to hosts of all zones, which scale the mean of what they hear up to all
/// live hosts. Services that are not busy are not exchanged. Decides only what
/// to send; the caller sends it.
class LoadExchange final : public routing::SharedLoad {
public:
  struct Outgoing {
    GossipMessage Message;
    std::uint32_t To = 0; ///< IPv4 address.
  };
  /// A service whose load began or ceased to be exchanged.
  struct SharingChange {
    routing::NameTable::Id Service = 0;
    bool IsShared = false;
    double Utilization = 0;
  };

  /// References must outlive the object.
  LoadExchange(const PeerTable &peers,
               const routing::ServerDirectory &directory,
               const routing::ServerHealthTracker &health, std::uint64_t seed,
               LoadExchangeLimits limits = {});

  /// Decides which services are shared and reports the load if that is due.
  /// Call at least every 100 ms.
  void poll(common::TimePoint now);
  void onMessage(const GossipMessage &message, common::TimePoint now);
  /// The messages to send, each to one host. The caller passes their sizes to
  /// onSent().
  std::vector<Outgoing> takeOutgoing();
  void onSent(std::size_t bytes) { SentBytes += bytes; }

  /// What this host causes by zone and service, for periodic gossip; empty
  /// unless a service is shared.
  std::vector<ReportedZoneLoad> ownZoneLoads(common::TimePoint now) const;

  routing::RemoteLoad elsewhere(routing::ServerId server,
                                common::TimePoint now) const override;
  std::optional<routing::ZoneLoad>
  zoneLoad(routing::NameTable::Id service, routing::NameTable::Id zone,
           common::TimePoint now) const override;

  bool isShared(routing::NameTable::Id service) const;
  std::size_t sharedCount() const;
  /// Age of the oldest total in use; 0 without one.
  std::chrono::milliseconds totalAge(common::TimePoint now) const;
  std::chrono::milliseconds interval() const { return Interval; }
  /// Services that began or ceased to be shared since the last call.
  std::vector<SharingChange> takeSharingChanges();
  /// Whether hosts of the own zone joined or left since the last call.
  bool takeZoneChanged() { return std::exchange(ZoneChanged, false); }

private:
  struct Service {
    bool IsShared = false;
    double Utilization = 0; ///< Smoothed.
  };
  struct Load {
    double Outstanding = 0;
    double OpenFlows = 0;
    common::TimePoint At;
  };
  using LoadMap = absl::flat_hash_map<std::uint64_t, Load>; ///< By identity.
  /// The last reports of a host.
  struct Reporter {
    LoadMap Loads;
    common::TimePoint AnsweredSince;
    int Answers = 0; ///< Since AnsweredSince.
  };
  struct Collector {
    int Unanswered = 0;
    common::TimePoint PassedOverUntil;
  };
  struct ServiceInZone {
    routing::NameTable::Id Service = 0;
    routing::NameTable::Id Zone = 0;
    double Outstanding = 0;
    double Rate = 0;
  };
  /// The last zone loads of a host.
  struct ZoneReport {
    std::string SenderZone;
    common::TimePoint At;
    std::vector<ServiceInZone> Loads;
  };

  void updateHosts(common::TimePoint now);
  void updateServices(common::TimePoint now);
  void beginRound(common::TimePoint now);
  void sendReports(common::TimePoint now);
  void sendZoneLoads(common::TimePoint now);
  void onReports(const GossipMessage &message, common::TimePoint now);
  void onTotals(const GossipMessage &message, common::TimePoint now);
  void onZoneLoads(const GossipMessage &message, common::TimePoint now);
  void expire(common::TimePoint now);
  /// The utilization of \p service: of the busiest zone that hosts told of, or
  /// of the own zone if its other hosts cause as much load as this one.
  double utilizationOf(routing::NameTable::Id service,
                       common::TimePoint now) const;
  /// The load of a service in a zone, whether it is shared here or not.
  std::optional<routing::ZoneLoad> reportedLoad(routing::NameTable::Id service,
                                                routing::NameTable::Id zone,
                                                common::TimePoint now) const;
  /// Hosts of the own zone that may collect, with this host.
  std::vector<std::uint32_t> collectors(common::TimePoint now) const;
  /// The load that all other hosts but \p excluded reported.
  Load collectedLoad(std::uint64_t identity, std::uint32_t excluded,
                     common::TimePoint now) const;
  Load ownLoad(routing::ServerId id, common::TimePoint now) const;
  /// What this host causes on the servers of \p service, by zone.
  std::vector<ServiceInZone> ownLoads(routing::NameTable::Id service,
                                      common::TimePoint now) const;
  /// Slots of the ready servers of \p service in \p zone.
  double slotsOf(routing::NameTable::Id service,
                 routing::NameTable::Id zone) const;
  /// What the hosts of \p senderZone cause; nullopt if none told of it lately.
  std::optional<ServiceInZone> loadBy(const std::string &senderZone,
                                      routing::NameTable::Id service,
                                      routing::NameTable::Id zone,
                                      common::TimePoint now) const;
  std::chrono::milliseconds staleAfter() const {
    return Limits.StaleIntervals * Interval;
  }

  const PeerTable &Peers;
  const routing::ServerDirectory &Directory;
  const routing::ServerHealthTracker &Health;
  std::mt19937_64 Random;
  LoadExchangeLimits Limits;
  std::chrono::milliseconds Interval;
  common::TimePoint RoundAt;
  common::TimePoint ZoneLoadsSentAt;
  common::TimePoint ServicesUpdatedAt;
  common::TimePoint HostsUpdatedAt;
  std::size_t SentBytes = 0; ///< Since RoundAt.
  bool ZoneChanged = false;
  std::map<std::string, std::vector<std::uint32_t>> Zones; ///< Hosts by zone.
  std::vector<Service> Services;                           ///< By service id.
  std::vector<SharingChange> Changes;
  std::vector<Outgoing> Messages;
  absl::flat_hash_map<std::uint32_t, Reporter> Reporters;
  absl::flat_hash_map<std::uint32_t, Collector> Collectors;
  LoadMap Totals; ///< What other hosts cause.
  absl::flat_hash_map<std::uint32_t, ZoneReport> ZoneReports;
};

} // namespace auburnroute::fleet
