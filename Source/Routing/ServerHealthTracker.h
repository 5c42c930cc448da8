#pragma once

#include "Common/Clock.h"
#include "Routing/ServerDirectory.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace auburnroute::routing {

/// Why a backend server is suspected.
enum class SuspicionReason : std::uint8_t {
  None,
  SynUnanswered,  ///< A caller repeated its SYN.
  DataUnanswered, ///< A caller repeated data on an open flow.
  Reported,       ///< A peer suspects it.
};

std::string_view toString(SuspicionReason suspicion);

/// What this host's packets show of one backend server.
struct ServerActivity {
  std::uint32_t Busy = 0;    ///< Requests sent to it and not answered yet.
  std::uint32_t Opening = 0; ///< SYNs sent to it and not answered yet.
  std::uint32_t Open = 0;    ///< Flows that it holds.
  /// Last packet of a caller that shows an answer of the server.
  common::TimePoint LastAnswer;
  SuspicionReason Why = SuspicionReason::None;
  common::TimePoint SuspectedAt;
  common::TimePoint SuspectUntil;
  /// Requests and SYNs that were repeated since the last answer.
  std::uint32_t RetransmissionCount = 0;
  /// Whether more than one caller repeated them: a caller that is cut off
  /// itself repeats packets that were answered.
  bool HasSeveralCallers = false;
  std::uint32_t FirstRetransmittingCaller = 0; ///< IPv4 address.
  common::TimePoint FirstUnansweredAt;    ///< When the first of them was sent.
  common::TimePoint LastRetransmissionAt; ///< When the last of them came.
  common::TimePoint DeadUntil; ///< Taken for dead; ends by an answer.
};

/// Limits of the health; all have the defaults that the daemon uses.
struct HealthLimits {
  /// How long a suspicion stands without new health, and how long a server is
  /// taken for dead. Its entry lapses meanwhile.
  std::chrono::milliseconds SuspicionHold{4000};
  /// A zone whose servers stay silent is taken for unreachable if this many of
  /// them are suspected and none has answered for ZoneAnswerWindow.
  std::uint32_t MinZoneSuspects = 2;
  std::chrono::milliseconds ZoneAnswerWindow{400};
  /// A server has ended if this many requests of several callers went
  /// unanswered, and none was answered, for MinDeadSilence or for
  /// DeadLatencyFactor times the slowest answer of late, whichever is longer.
  std::uint32_t DeadRetransmissions = 3;
  std::chrono::milliseconds MinDeadSilence{400};
  int DeadLatencyFactor = 2;
  /// Repeats further apart than this have nothing to do with each other;
  /// callers repeat an unanswered request within 0.6 s.
  std::chrono::milliseconds RetransmissionWindow{1000};
  /// Packets that are closer together were held up on their way or on this
  /// host; callers repeat after 200 ms.
  std::chrono::milliseconds MinRetransmissionDelay{150};
  /// How recently another server must have answered, which shows that this host
  /// is not cut off or was paused itself.
  std::chrono::milliseconds OtherAnswerWindow{300};
  /// Time for which the slowest answer is remembered.
  std::chrono::seconds SlowestAnswerWindow{30};

  /// Limits for servers that write their entry each \p heartbeat, where changes
  /// of the registry are known within \p changeBound: an entry lapses after
  /// three missed heartbeats.
  static HealthLimits forHeartbeat(std::chrono::milliseconds heartbeat,
                                   std::chrono::milliseconds changeBound);
};

/// Tells servers that answer from servers that do not, from the packets of
/// callers alone. An answer clears every doubt; silence of one flow raises it
/// only if no other flow was answered since.
class ServerHealthTracker {
public:
  explicit ServerHealthTracker(HealthLimits limits = {}) : Limits(limits) {}

  void onSynSent(ServerId id);
  void onOpened(ServerId id);
  void onClosed(ServerId id);
  void onRequest(ServerId id);
  void onRequestDone(ServerId id);
  /// The SYN got no answer, or the flow is forgotten before one.
  void onSynAbandoned(ServerId id);
  /// The server answered something.
  void onAnswer(ServerId id, common::TimePoint now);
  /// A request was answered after \p time.
  void onAnswerTime(std::chrono::milliseconds time, common::TimePoint now);
  /// \p caller (IPv4 address) repeated a packet that was first sent at
  /// \p sentAt. Returns whether a suspicion was raised.
  bool onRetransmission(ServerId id, SuspicionReason why, std::uint32_t caller,
                        common::TimePoint sentAt, common::TimePoint now);
  /// A peer saw no answer since \p since. Returns whether a suspicion was
  /// raised.
  bool onReport(ServerId id, common::TimePoint since, common::TimePoint now);
  /// The allocateId \p id is used for another server, or another start of it,
  /// now.
  void reset(ServerId id);

  bool isSuspect(ServerId id, common::TimePoint now) const;
  /// Whether the server has ended, or can't be reached, beyond doubt: open
  /// flows to it may be reset.
  bool isDead(ServerId id, common::TimePoint now);
  /// Whether at least \p flows repeated packets of late, the first of them sent
  /// \p time ago or earlier, and none was answered.
  bool isUnresponsive(ServerId id, std::uint32_t flows,
                      std::chrono::milliseconds time,
                      common::TimePoint now) const;
  /// The longest time that a request took of late.
  std::chrono::milliseconds slowestAnswer() const;
  const ServerActivity &activity(ServerId id) const;
  /// Zones, by id, that do not answer; the own zone is never among them.
  std::vector<bool> unreachableZones(const ServerDirectory &directory,
                                     NameTable::Id ownZone,
                                     common::TimePoint now) const;

private:
  ServerActivity &activityRef(ServerId id);

  HealthLimits Limits;
  std::vector<ServerActivity> Activities;
  // The two servers that answered last, of which one is another than any given.
  ServerId LastAnsweringServer = 0;
  common::TimePoint LastAnswerAt;
  common::TimePoint OtherAnswerAt;
  std::chrono::milliseconds SlowestInWindow{0};
  std::chrono::milliseconds SlowestInPreviousWindow{0};
  common::TimePoint WindowStartedAt;
};

} // namespace auburnroute::routing
