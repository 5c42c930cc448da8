#pragma once

#include "Common/Clock.h"
#include "Fleet/FailureAggregator.h"
#include "Fleet/GossipMessage.h"
#include "Fleet/PeerTable.h"
#include "Fleet/StandingVerdicts.h"
#include "Fleet/VerdictEvent.h"
#include "Routing/ServerDirectory.h"
#include "Routing/ServerHealthTracker.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace auburnroute::fleet {

/// Why a verdict, report or answer of a peer was ignored.
enum class EvidenceRejection : std::uint8_t {
  UnknownServer, ///< No server with that identity is known.
  OtherRun,      ///< It is about another run of the server.
  NotOwner,      ///< The sender does not collect evidence on the server.
  OtherZone,     ///< The sender is in another zone.
  Refuted,       ///< This host has seen a later answer.
  TooMany,       ///< Too many servers of the service are avoided already.
};

std::string_view toString(EvidenceRejection why);

/// Receives what the detector decides, for logs and metrics.
class VerdictObserver {
public:
  virtual ~VerdictObserver() = default;

  virtual void onVerdict(const VerdictEvent &verdict) = 0;
  virtual void onVerdictEnd(const VerdictEnd &end) = 0;
  virtual void onRejected(EvidenceRejection why, std::uint64_t identity,
                          std::uint32_t sender) = 0;
};

/// Failure detection by all hosts of a zone together.
///
/// Each host reports unanswered packets to the EvidenceOwners of the server,
/// which announce a suspicion and then a verdict to the zone. A host that saw a
/// later answer refutes them. Zones decide separately: a cut between zones must
/// not look like the death of a server. Decides only what to send; the caller
/// sends it.
class SharedFailureDetector {
public:
  struct Outgoing {
    GossipMessage Message;
    std::vector<std::uint32_t> To; ///< IPv4 addresses.
  };

  /// References must outlive the object.
  SharedFailureDetector(const PeerTable &peers,
                        const routing::ServerDirectory &directory,
                        routing::ServerHealthTracker &health,
                        VerdictObserver &observer, VerdictLimits limits = {})
      : Peers(peers), Directory(directory), Health(health), Observer(observer),
        Aggregator(limits), Standing(directory, health) {}

  /// Reports what this host has seen and decides on what it has collected. Must
  /// be called at least every 100 ms, and soon after a retransmission.
  void poll(common::TimePoint now);
  /// Applies the reports, answers and verdicts of \p message.
  void onMessage(const GossipMessage &message, common::TimePoint now);

  /// The messages to send, at most once each.
  std::vector<Outgoing> takeOutgoing();
  /// Servers that were found dead since the last call.
  std::vector<routing::ServerId> takeDead();
  /// Number of servers on which this host collects evidence.
  std::size_t caseCount() const { return Aggregator.size(); }

private:
  /// Discards what was collected if the process did not run for a while. Must
  /// come before any decision.
  void discardIfPaused(common::TimePoint now);
  void reportRetransmissions(common::TimePoint now);
  void reportAnswers(common::TimePoint now);
  void decide(common::TimePoint now);
  /// Applies a verdict to this host; \p own is the decision if this host made
  /// it, or null. Returns false if it was rejected.
  bool apply(const ServerVerdict &verdict, std::uint32_t sender,
             const FailureAggregator::Decision *own, common::TimePoint now);
  void onSuspect(const ReportedSuspect &suspect, std::uint32_t reporter,
                 common::TimePoint now);
  void onAnswer(const ReportedAnswer &answer, std::uint32_t seenBy,
                common::TimePoint now);
  void onVerdict(const ServerVerdict &verdict, const PeerInfo &sender,
                 common::TimePoint now);
  /// The outgoing message to \p host that is being filled.
  GossipMessage &messageTo(std::uint32_t host);
  /// Sends an answer of \p id at \p answeredAt to the owners of its evidence.
  void tellOwners(routing::ServerId id, common::TimePoint answeredAt,
                  common::TimePoint now);
  const std::vector<std::uint32_t> &zoneHosts(common::TimePoint now);
  std::vector<std::uint32_t> ownersOf(std::uint64_t identity,
                                      common::TimePoint now);

  const PeerTable &Peers;
  const routing::ServerDirectory &Directory;
  routing::ServerHealthTracker &Health;
  VerdictObserver &Observer;
  FailureAggregator Aggregator;
  StandingVerdicts Standing;
  /// Servers with retransmissions that were not reported yet.
  std::vector<routing::ServerId> Unreported;
  std::vector<routing::ServerId> Dead;
  /// Messages to one host each, and those to the whole zone.
  absl::flat_hash_map<std::uint32_t, std::vector<GossipMessage>> ToHosts;
  std::vector<Outgoing> ToZone;
  std::vector<std::uint32_t> ZoneHosts;
  common::TimePoint ZoneHostsAt;
  common::TimePoint LastRunAt; ///< Of poll() or onMessage().
};

} // namespace auburnroute::fleet
