#pragma once

#include "Common/Clock.h"
#include "Fleet/GossipMessage.h"
#include "Fleet/OutlierCases.h"
#include "Fleet/PeerTable.h"
#include "Fleet/SharedFailureDetector.h"
#include "Routing/DegradedServers.h"
#include "Routing/OutcomeTracker.h"
#include "Routing/ServerDirectory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace auburnroute::fleet {

/// A verdict on an outlier that this host decided or took over.
struct OutlierEvent {
  routing::ServerId Server = 0;
  routing::OutlierKind Kind = routing::OutlierKind::None;
  int Level = 0;
  std::chrono::milliseconds Hold{0};
  std::uint32_t DecidedBy = 0; ///< IPv4 address.
  bool IsNew = true;           ///< The server was not degraded before.
  /// Set if this host decided.
  std::optional<routing::OutlierEvidence> Evidence = std::nullopt;
};

/// Receives what the detector decides, for logs and metrics.
class OutlierObserver {
public:
  virtual ~OutlierObserver() = default;

  virtual void onDegraded(const OutlierEvent &event) = 0;
  /// The verdicts on \p server have ended \p duration after the first of them.
  virtual void onDegradedEnd(routing::ServerId server,
                             std::chrono::milliseconds duration) = 0;
  virtual void onRejected(EvidenceRejection why, std::uint64_t identity,
                          std::uint32_t sender) = 0;
};

/// Limits of the messages about outliers.
struct OutlierMessageLimits {
  /// Time between two reports of a host on a server.
  std::chrono::milliseconds ReportInterval{700};
  /// The same after a new failure.
  std::chrono::milliseconds FailureReportInterval{250};
  /// How long hosts report a server after they were asked to.
  std::chrono::milliseconds WatchTime{3000};
  /// Time between two questions of an owner for reports on a server.
  std::chrono::milliseconds WatchInterval{2000};
  /// Bytes a second for reports and, apart from them, for questions and
  /// verdicts to the zone, on average and at once.
  double ReportBytesPerSecond = 350;
  double ZoneBytesPerSecond = 200;
  double ReportBurst = 2000;
  /// A verdict takes some 70 bytes for each host of the zone. Questions and
  /// reminders leave the bytes for one.
  double ZoneBurst = 12000;
  /// At least this many announcements at once, in zones of any size.
  double MinZoneBurst = 3;
};

/// Outlier detection by all hosts of a zone together.
///
/// A host that sees a request to a server fail reports its counts to the
/// EvidenceOwners of the server. When several hosts did, an owner asks all
/// hosts of the zone for theirs, so that those where the server looks good have
/// a say. Then it applies the OutlierRule and announces a verdict, which each
/// host applies to new flows. Decides only what to send; the caller sends it.
class OutlierDetector {
public:
  using Outgoing = SharedFailureDetector::Outgoing;

  /// References must outlive the object.
  OutlierDetector(const PeerTable &peers,
                  const routing::ServerDirectory &directory,
                  routing::OutcomeTracker &outcomes,
                  routing::DegradedServers &degraded, OutlierObserver &observer,
                  OutlierMessageLimits messages = {}, OutlierLimits limits = {})
      : Peers(peers), Directory(directory), Outcomes(outcomes),
        Degraded(degraded), Observer(observer), Messages(messages),
        Rule(limits.Rule), Cases(limits) {}

  /// Reports what this host has seen and decides on what it has collected. Must
  /// be called every 50 to 200 ms.
  void poll(common::TimePoint now);
  /// Applies the reports and verdicts of \p message.
  void onMessage(const GossipMessage &message, common::TimePoint now);
  /// Discards what was collected, after a stall of the process.
  void discard() { Cases.clear(); }

  /// The messages to send, at most once each.
  std::vector<Outgoing> takeOutgoing();
  std::size_t degradedCount(common::TimePoint now) const {
    return Degraded.count(now);
  }

private:
  /// Limits bytes on average and at once.
  struct ByteBudget {
    double Left = 0;
    common::TimePoint FilledAt;
    /// \p reserve: bytes that must be left.
    bool tryTake(std::size_t bytes, double perSecond, double burst,
                 double reserve, common::TimePoint now);
  };

  void reportOutcomes(common::TimePoint now);
  void decide(common::TimePoint now);
  /// Announces \p decisions and applies them to this host.
  void announce(const std::vector<OutlierCases::Decision> &decisions,
                bool isUrgent, common::TimePoint now);
  void sendReports(std::uint32_t to, GossipMessage message,
                   common::TimePoint now);
  /// Returns whether the byte limit allowed it.
  bool sendToZone(const std::vector<OutlierVerdict> &verdicts, bool isUrgent,
                  common::TimePoint now);
  void onReport(const OutcomeReport &report, std::uint32_t reporter,
                common::TimePoint now);
  void onVerdict(const OutlierVerdict &verdict, const PeerInfo &sender,
                 common::TimePoint now);
  void apply(const OutlierVerdict &verdict, std::uint32_t decider,
             const routing::OutlierEvidence *evidence, common::TimePoint now);
  /// Makes this host report \p id from now on, also where it looks good.
  void watch(routing::ServerId id, common::TimePoint now);
  const std::vector<std::uint32_t> &zoneHosts(common::TimePoint now);

  const PeerTable &Peers;
  const routing::ServerDirectory &Directory;
  routing::OutcomeTracker &Outcomes;
  routing::DegradedServers &Degraded;
  OutlierObserver &Observer;
  OutlierMessageLimits Messages;
  routing::OutlierRule Rule;
  OutlierCases Cases;
  struct Reporting {
    bool IsFailing = false; ///< Failures were not reported yet.
    common::TimePoint WatchedUntil;
    common::TimePoint ReportedAt;
  };
  /// Servers that this host reports.
  std::map<routing::ServerId, Reporting> Reports;
  std::vector<Outgoing> Out;
  ByteBudget ReportBytes;
  ByteBudget ZoneBytes;
  std::vector<std::uint32_t> ZoneHosts;
  common::TimePoint ZoneHostsAt;
  common::TimePoint LastPollAt;
};

} // namespace auburnroute::fleet
