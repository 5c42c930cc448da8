#pragma once

#include "Common/Clock.h"
#include "Routing/LoadMeter.h"
#include "Routing/ServerDirectory.h"
#include "Routing/SilenceRule.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnroute::routing {

/// Why a backend server is suspected.
enum class SuspicionReason : std::uint8_t {
  None,
  SynUnanswered,  ///< A caller retransmitted its SYN.
  DataUnanswered, ///< A caller retransmitted data on an open flow.
  Reported,       ///< A peer suspects it.
};

std::string_view toString(SuspicionReason suspicion);

/// Load and liveness of one backend server, as seen in the packets that this
/// host forwards.
struct ServerActivity {
  /// Requests sent to it that are not answered yet.
  std::uint32_t PendingRequests = 0;
  /// SYNs sent to it that are not answered yet.
  std::uint32_t PendingSyns = 0;
  std::uint32_t OpenFlows = 0;
  /// Load for the exchange between hosts; no evidence rests on it.
  LoadMeter Load;
  /// Time of the last caller packet that acknowledged data or a SYN-ACK from
  /// the server.
  common::TimePoint LastAnswer;
  SuspicionReason Why = SuspicionReason::None;
  common::TimePoint SuspectedAt;
  common::TimePoint SuspectUntil;
  /// Number of requests and SYNs retransmitted since the last answer.
  std::uint32_t RetransmissionCount = 0;
  /// Number of requests on open flows among them.
  std::uint32_t RetransmittedRequests = 0;
  /// Number of these that were retransmitted twice.
  std::uint32_t TwiceRetransmittedRequests = 0;
  /// Whether more than one caller retransmitted requests; without any, SYNs. A
  /// single caller that lost its own connectivity also retransmits packets that
  /// were answered.
  bool HasSeveralCallers = false;
  std::uint32_t FirstRetransmittingCaller = 0; ///< IPv4 address.
  /// When the first unanswered request was sent; without any, the first SYN.
  common::TimePoint FirstUnansweredAt;
  /// When the last retransmission arrived.
  common::TimePoint LastRetransmissionAt;
  /// Considered dead until then, or until it answers.
  common::TimePoint DeadUntil;
  /// When the packet was sent on whose silence a peer's report or verdict
  /// rests.
  common::TimePoint ReportedSince;
  /// Time of the last answer that a peer told of.
  common::TimePoint PeerAnswerAt;
  /// Listed for takeRetransmissions().
  bool HasNewRetransmission = false;
  /// Listed for takeAnswered() at the next answer.
  bool IsWatched = false;
};

/// Thresholds of the failure detection. The defaults are those of the daemon.
struct HealthLimits {
  /// How long a server stays suspected without further retransmissions, and how
  /// long it is considered dead. Long enough for its registry entry to lapse.
  std::chrono::milliseconds SuspicionHold{4000};
  /// A zone is considered unreachable if at least this many of its servers are
  /// suspected and none has answered for ZoneAnswerWindow.
  std::uint32_t MinZoneSuspects = 2;
  std::chrono::milliseconds ZoneAnswerWindow{400};
  /// Retransmissions further apart than this are treated as unrelated; callers
  /// retransmit an unanswered request within 0.6 s.
  std::chrono::milliseconds RetransmissionWindow{1000};
  /// Copies that arrive closer together were delayed in the network or on this
  /// host; callers retransmit after 200 ms.
  std::chrono::milliseconds MinRetransmissionDelay{150};
  /// Length of each of the two windows over which the slowest answer is
  /// tracked.
  std::chrono::seconds SlowestAnswerWindow{30};
  /// Times that peers report are wrong by their rounding and the time in
  /// transit.
  std::chrono::milliseconds MaxReportedAgeError{10};
  /// If a larger share of the answered requests was retransmitted, packets are
  /// lost or servers are slow, and requests count as unanswered only after the
  /// second retransmission.
  double MaxRetransmittedShare = 0.02;
  /// With fewer answers the share is unknown and treated as large.
  std::uint32_t MinAnswersForShare = 20;
  /// Length of each of the two windows over which that share is taken.
  std::chrono::seconds RetransmittedShareWindow{10};

  /// Limits for servers that renew their entry every \p heartbeat, with
  /// registry changes visible within \p changeBound. An entry lapses after
  /// three missed heartbeats.
  static HealthLimits forHeartbeat(std::chrono::milliseconds heartbeat,
                                   std::chrono::milliseconds changeBound);
};

/// Passive failure detector: infers from caller packets which backend servers
/// answer. Any answer clears a suspicion. A retransmission on one flow raises
/// one only if no flow of the server was answered since the packet was first
/// sent.
class ServerHealthTracker {
public:
  explicit ServerHealthTracker(HealthLimits limits = {}) : Limits(limits) {}

  void onSynSent(ServerId id);
  void onOpened(ServerId id);
  void onClosed(ServerId id);
  void onRequest(ServerId id);
  void onRequestDone(ServerId id);
  /// Counts for the exchange of loads.
  LoadMeter &load(ServerId id) { return activityRef(id).Load; }
  /// The SYN got no answer, or its flow was discarded before one.
  void onSynAbandoned(ServerId id);
  /// A server of \p zone answered a packet that was sent at \p sentAt; the
  /// default value if that time is unknown.
  void onAnswer(ServerId id, NameTable::Id zone, common::TimePoint sentAt,
                common::TimePoint now);
  /// A request was answered after \p time; \p wasRetransmitted: not before its
  /// caller had sent it again.
  void onAnswerTime(std::chrono::milliseconds time, bool wasRetransmitted,
                    common::TimePoint now);
  /// A request that had been retransmitted was so again.
  void onSecondRetransmission(ServerId id);
  /// \p caller (IPv4 address) retransmitted a packet that was first sent at
  /// \p sentAt. Returns whether a suspicion was raised.
  bool onRetransmission(ServerId id, SuspicionReason why, std::uint32_t caller,
                        common::TimePoint sentAt, common::TimePoint now);
  /// A peer has seen no answer since \p since. Returns whether a suspicion was
  /// raised.
  bool onReport(ServerId id, common::TimePoint since, common::TimePoint now);
  /// The hosts of the zone agree that the server has not answered since \p
  /// since. Returns false if this host has seen a later answer.
  bool onDeadVerdict(ServerId id, common::TimePoint since,
                     common::TimePoint now);
  /// A peer saw an answer at \p answeredAt, which refutes older suspicions.
  void onPeerAnswer(ServerId id, common::TimePoint answeredAt);
  /// Unanswered packets of a server of \p zone. None unless another server of
  /// the zone answered a packet that was sent after the first unanswered one:
  /// otherwise the way to the zone, or this host, may be slow or cut.
  std::optional<SilenceEvidence> evidence(ServerId id, NameTable::Id zone,
                                          common::TimePoint now) const;
  /// Whether many answered requests were retransmitted lately, or too few were
  /// answered to know.
  bool hasManyRetransmissions() const;
  /// Whether packets of \p id were retransmitted lately, and none answered.
  bool hasRetransmissions(ServerId id, common::TimePoint now) const;
  /// Makes the next answer of \p id appear in takeAnswered().
  void watch(ServerId id) { activityRef(id).IsWatched = true; }
  bool hasNewRetransmissions() const { return !Retransmissions.empty(); }
  /// Servers with retransmissions since the last call.
  std::vector<ServerId> takeRetransmissions();
  /// Watched servers that answered since the last call. They are not watched
  /// any more.
  std::vector<ServerId> takeAnswered();
  /// Discards the unanswered packets of all servers, and verdicts, whose
  /// refutation may have been missed. Suspicions stay.
  void discardEvidence();
  /// Discards the state of \p id, which now stands for another server or
  /// another run of the same one.
  void reset(ServerId id);

  bool isSuspect(ServerId id, common::TimePoint now) const;
  /// Whether a verdict stands that the server is dead, so that open flows to it
  /// may be reset.
  bool isDead(ServerId id, common::TimePoint now) const {
    return now < activity(id).DeadUntil;
  }
  /// Whether this host alone has seen enough to take a server of \p zone for
  /// dead.
  bool isSilent(ServerId id, NameTable::Id zone, common::TimePoint now) const;
  AnswerQuality answerQuality() const {
    return {slowestAnswer(), hasManyRetransmissions()};
  }
  /// The longest time that a recent request took.
  std::chrono::milliseconds slowestAnswer() const;
  const ServerActivity &activity(ServerId id) const;
  /// Unreachable zones, indexed by zone id. This host's own zone is never one.
  std::vector<bool> unreachableZones(const ServerDirectory &directory,
                                     NameTable::Id ownZone,
                                     common::TimePoint now) const;

private:
  /// The latest sending times of answered packets in a zone, by two servers.
  struct ZoneAnswers {
    ServerId Server = 0;
    common::TimePoint SentAt;
    common::TimePoint OtherSentAt; ///< Of any server but Server.
  };

  struct AnswerCounts {
    std::uint32_t All = 0;
    std::uint32_t Retransmitted = 0;
  };

  ServerActivity &activityRef(ServerId id);
  void addRetransmission(ServerId id, ServerActivity &server);
  static void clearEvidence(ServerActivity &server);
  static void clearSuspicion(ServerActivity &server);
  void recordZoneAnswer(ServerId id, NameTable::Id zone,
                        common::TimePoint sentAt);

  HealthLimits Limits;
  SilenceRule Rule;
  std::vector<ServerActivity> Activities;
  std::vector<ZoneAnswers> AnswersByZone; ///< By zone id.
  AnswerCounts Answers;
  AnswerCounts PreviousAnswers;
  common::TimePoint AnswersSince;
  std::vector<ServerId> Retransmissions;
  std::vector<ServerId> Answered;
  std::chrono::milliseconds SlowestInWindow{0};
  std::chrono::milliseconds SlowestInPreviousWindow{0};
  common::TimePoint WindowStartedAt;
};

} // namespace auburnroute::routing
