#pragma once

#include "Common/Clock.h"
#include "Routing/ServerDirectory.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace auburnroute::routing {

/// Why a backend server is suspected.
enum class Suspicion : std::uint8_t {
  None,
  SynUnanswered,  ///< A caller repeated its SYN.
  DataUnanswered, ///< A caller repeated data on an open flow.
  Reported,       ///< A peer suspects it.
};

std::string_view toString(Suspicion suspicion);

/// What this host's packets show of one backend server.
struct ServerActivity {
  std::uint32_t Busy = 0;    ///< Requests sent to it and not answered yet.
  std::uint32_t Opening = 0; ///< SYNs sent to it and not answered yet.
  std::uint32_t Open = 0;    ///< Flows that it holds.
  /// Last packet of a caller that shows an answer of the server.
  common::TimePoint LastAnswer;
  Suspicion Why = Suspicion::None;
  common::TimePoint SuspectedAt;
  common::TimePoint SuspectUntil;
  /// Requests and SYNs that were repeated since the last answer.
  std::uint32_t SilentFlows = 0;
  /// Whether more than one caller repeated them: a caller that is cut off
  /// itself repeats packets that were answered.
  bool SeveralCallers = false;
  std::uint32_t FirstSilentCaller = 0; ///< IPv4 address.
  common::TimePoint SilentSince;       ///< When the first of them was sent.
  common::TimePoint LastSilenceAt;     ///< When the last of them came.
  common::TimePoint DeadUntil;         ///< Taken for dead; ends by an answer.
};

/// Limits of the evidence; all have the defaults that the daemon uses.
struct EvidenceLimits {
  /// How long a suspicion stands without new evidence, and how long a server is
  /// taken for dead. Its entry lapses meanwhile.
  std::chrono::milliseconds SuspicionHold{4000};
  /// A zone whose servers stay silent is taken for unreachable if this many of
  /// them are suspected and none has answered for ZoneSilence.
  std::uint32_t ZoneSuspects = 2;
  std::chrono::milliseconds ZoneSilence{400};
  /// A server has ended if this many requests of several callers went
  /// unanswered, and none was answered, for DeadSilence or for DeadFactor times
  /// the slowest answer of late, whichever is longer.
  std::uint32_t DeadFlows = 3;
  std::chrono::milliseconds DeadSilence{400};
  int DeadFactor = 2;
  /// Repeats further apart than this have nothing to do with each other;
  /// callers repeat an unanswered request within 0.6 s.
  std::chrono::milliseconds SilenceMemory{1000};
  /// Packets that are closer together were held up on their way or on this
  /// host; callers repeat after 200 ms.
  std::chrono::milliseconds ShortestSilence{150};
  /// How recently another server must have answered, which shows that this host
  /// is not cut off or was paused itself.
  std::chrono::milliseconds OwnReach{300};
  /// Time for which the slowest answer is remembered.
  std::chrono::seconds SlowestMemory{30};

  /// Limits for servers that write their entry each \p heartbeat, where changes
  /// of the registry are known within \p changeBound: an entry lapses after
  /// three missed heartbeats.
  static EvidenceLimits of(std::chrono::milliseconds heartbeat,
                           std::chrono::milliseconds changeBound);
};

/// Tells servers that answer from servers that do not, from the packets of
/// callers alone. An answer clears every doubt; silence of one flow raises it
/// only if no other flow was answered since.
class ServerEvidence {
public:
  explicit ServerEvidence(EvidenceLimits limits = {}) : Limits(limits) {}

  void onSynSent(ServerId id);
  void onOpened(ServerId id);
  void onClosed(ServerId id);
  void onRequest(ServerId id);
  void onRequestDone(ServerId id);
  /// The SYN got no answer, or the flow is forgotten before one.
  void onSynGivenUp(ServerId id);
  /// The server answered something.
  void onAnswer(ServerId id, common::TimePoint now);
  /// A request was answered after \p time.
  void onAnswerTime(std::chrono::milliseconds time, common::TimePoint now);
  /// \p caller (IPv4 address) repeated a packet that was first sent at
  /// \p sentAt. Returns whether a suspicion was raised.
  bool onSilence(ServerId id, Suspicion why, std::uint32_t caller,
                 common::TimePoint sentAt, common::TimePoint now);
  /// A peer saw no answer since \p since. Returns whether a suspicion was
  /// raised.
  bool onReport(ServerId id, common::TimePoint since, common::TimePoint now);
  /// The place \p id is used for another server, or another start of it, now.
  void reset(ServerId id);

  bool isSuspect(ServerId id, common::TimePoint now) const;
  /// Whether the server has ended, or can't be reached, beyond doubt: open
  /// flows to it may be reset.
  bool isDead(ServerId id, common::TimePoint now);
  /// Whether at least \p flows repeated packets of late, the first of them sent
  /// \p time ago or earlier, and none was answered.
  bool isSilent(ServerId id, std::uint32_t flows,
                std::chrono::milliseconds time, common::TimePoint now) const;
  /// The longest time that a request took of late.
  std::chrono::milliseconds slowestAnswer() const;
  const ServerActivity &activity(ServerId id) const;
  /// Zones, by id, that do not answer; the own zone is never among them.
  std::vector<bool> silentZones(const ServerDirectory &directory,
                                Names::Id ownZone, common::TimePoint now) const;

private:
  ServerActivity &ref(ServerId id);

  EvidenceLimits Limits;
  std::vector<ServerActivity> Activities;
  // The two servers that answered last, of which one is another than any given.
  ServerId LastAnswering = 0;
  common::TimePoint LastAnswerAt;
  common::TimePoint OtherAnswerAt;
  std::chrono::milliseconds SlowestNow{0};
  std::chrono::milliseconds SlowestBefore{0};
  common::TimePoint SlowestSince;
};

} // namespace auburnroute::routing
