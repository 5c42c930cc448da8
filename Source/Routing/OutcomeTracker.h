#pragma once

#include "Common/Clock.h"
#include "Routing/FlowId.h"
#include "Routing/FlowPacket.h"
#include "Routing/OutcomeCounts.h"
#include "Routing/ServerDirectory.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace auburnroute::routing {

/// What a host has seen of one server, and of the others of its group: those
/// of the same service and zone.
struct ServerOutcomes {
  OutcomeCounts Recent; ///< Of the last OutcomeTracker::RecentTime.
  OutcomeCounts All;    ///< Of the last OutcomeTracker::MemoryTime.
  OutcomeCounts Others; ///< Of the rest of the group in MemoryTime.
  /// Callers of the failures among them.
  std::uint32_t Caller = 0; ///< IPv4 address of one of them.
  bool HasSeveralCallers = false;
};

/// Counts how the requests to each server end, from callers' packets alone.
///
/// FlowTable takes a request as answered after 300 ms without a retransmission;
/// here it stays open until a higher acknowledgement, its caller's end of the
/// flow, or the time in which others of the group answer by far. A request
/// counts as failed only if other servers of the group answered requests that
/// were sent before and after it: otherwise this host or its network was at
/// fault.
class OutcomeTracker {
public:
  static constexpr std::chrono::milliseconds WindowTime{500};
  static constexpr std::size_t WindowCount = 12;
  static constexpr std::chrono::milliseconds MemoryTime{6000};
  static constexpr std::chrono::milliseconds RecentTime{2000};
  /// Flows beyond this number are not tracked; at 64 bytes each.
  static constexpr std::size_t MaxFlows = 32768;
  /// A request is overdue after this many times the mean answer time of the
  /// other servers, within these limits. Retransmissions of lost packets delay
  /// an answer by 200 or 600 ms.
  static constexpr int OverdueFactor = 6;
  static constexpr std::chrono::milliseconds MinOverdue{800};
  static constexpr std::chrono::milliseconds MaxOverdue{4000};
  /// An answer is slow after this many times the mean of the other servers, and
  /// not below MinSlow.
  static constexpr int SlowFactor = 3;
  static constexpr std::chrono::milliseconds MinSlow{20};
  /// With fewer answers of the other servers nothing is judged.
  static constexpr std::uint32_t MinAnswersOfOthers = 8;
  /// A handshake takes a round trip; callers retransmit after 200 ms.
  static constexpr std::chrono::milliseconds SynTimeout{400};
  /// How long a flow may pause after its first answer and still go on. After
  /// later answers, a pause says nothing.
  static constexpr std::chrono::milliseconds AnswerPause{2500};
  /// Flows of a route usually go on if at most this share of the answers is the
  /// last one of its flow.
  static constexpr double MaxUsualEndShare = 0.5;
  /// After a fault of this host nothing counts for this long.
  static constexpr std::chrono::milliseconds Quarantine{2000};
  /// A silence of all callers, or of all servers, longer than this and
  /// GapFactor times the usual gap is a fault of this host or its network.
  static constexpr std::chrono::milliseconds MinGap{400};
  static constexpr int GapFactor = 20;
  /// If more than this share of a window's packets begins a flow in its middle,
  /// and at least MinMovedFlows do, the routers have moved flows between hosts.
  /// What was sent before is answered elsewhere.
  static constexpr double MaxMovedShare = 0.2;
  static constexpr std::uint32_t MinMovedFlows = 8;

  /// \p directory must outlive the object.
  explicit OutcomeTracker(const ServerDirectory &directory)
      : Directory(directory) {}

  /// The SYN of \p id was forwarded to \p server.
  void onSyn(const FlowId &id, ServerId server, const FlowPacket &packet,
             common::TimePoint now);
  /// A packet after the SYN is forwarded to \p server.
  void onPacket(const FlowId &id, ServerId server, const FlowPacket &packet,
                common::TimePoint now);
  /// Decides on what waits. Call every 50 to 200 ms.
  void advance(common::TimePoint now);
  /// Forgets what was seen, and counts nothing for the time of Quarantine. Call
  /// after a stall of the process.
  void discard(common::TimePoint now);

  ServerOutcomes outcomesOf(ServerId id, common::TimePoint now) const;
  /// Servers with failures since the last call.
  std::vector<ServerId> takeFailing();
  /// How often a fault of this host was taken for the cause.
  std::uint64_t discardCount() const { return DiscardCount; }
  std::size_t flowCount() const { return Flows.size(); }

private:
  enum class FlowPhase : std::uint8_t { Opening, Idle, Busy };
  struct Flow {
    ServerId Server = 0;
    FlowPhase Phase = FlowPhase::Idle;
    bool IsFromSyn = false; ///< Seen since its SYN.
    bool HasFirstAnswer = false;
    /// Whether it goes on after its last answer is not known yet.
    bool IsAnswerOpen = false;
    std::uint32_t NextSequence = 0;
    std::uint32_t Acknowledged = 0;
    common::TimePoint SentAt; ///< Of the SYN or the pending request.
    common::TimePoint LastSeen;
  };
  /// Something that a flow waits for.
  struct Wait {
    FlowId Flow;
    FlowPhase Phase = FlowPhase::Idle; ///< Idle: that the flow goes on.
    common::TimePoint Since;
  };
  struct Server {
    std::array<OutcomeCounts, WindowCount> Windows;
    std::int64_t LastWindow = 0; ///< The newest one in use.
    std::uint64_t Identity = 0;
    std::int64_t StartTimeMs = 0;
    std::uint32_t Caller = 0; ///< Of the last failure.
    std::uint32_t OtherCaller = 0;
    common::TimePoint CallerAt;
    common::TimePoint OtherCallerAt;
    bool IsFailing = false; ///< Listed in Failing.
  };
  /// Answered requests of a group by the window in which they were sent.
  struct AnsweredWindow {
    std::int64_t Window = -1;
    ServerId Server = 0;
    bool HasSeveralServers = false;
  };
  struct Group {
    OutcomeCounts Total; ///< Of MemoryTime, as of the last advance().
    std::array<AnsweredWindow, WindowCount> Answered;
  };
  struct Route {
    double Flows = 0;
    double Ended = 0;
  };

  static std::int64_t windowOf(common::TimePoint time);
  std::uint64_t groupOf(ServerId id) const;
  Server &serverRef(ServerId id, common::TimePoint now);
  OutcomeCounts &countsOf(ServerId id, common::TimePoint now);
  static OutcomeCounts sum(const Server &server, std::chrono::milliseconds time,
                           common::TimePoint now);
  OutcomeCounts others(ServerId id) const;
  /// Whether other servers of the group answered requests that were sent
  /// shortly before \p time, or after it.
  bool othersAnswered(ServerId id, common::TimePoint time, bool after) const;
  void recordAnswered(ServerId id, common::TimePoint sentAt);
  void recordFailure(ServerId id, const FlowId &flow,
                     std::uint32_t OutcomeCounts::*count,
                     common::TimePoint now);
  /// Records whether a flow went on after an answer.
  void recordContinuation(const FlowId &id, Flow &flow, bool hasEnded,
                          common::TimePoint now);
  void onAnswered(const FlowId &id, Flow &flow, common::TimePoint now);
  /// A caller's packet arrived; \p isMoved: of an open flow that is not known.
  /// Detects gaps in which this host was cut off, and moved flows.
  void onArrival(bool isMoved, common::TimePoint now);
  /// Whether \p wait is over.
  bool settle(const Wait &wait, common::TimePoint now);
  bool settleRequest(const Wait &wait, Flow &flow, common::TimePoint now);
  bool isQuarantined(common::TimePoint now) const {
    return now < QuarantineUntil;
  }
  void updateGroups(common::TimePoint now);

  /// Detects unusual gaps in a sequence of events.
  struct GapDetector {
    common::TimePoint LastAt;
    double MeanMs = 0;
    std::uint32_t Count = 0;
    /// Whether \p now ends an unusual gap.
    bool onEvent(common::TimePoint now);
  };

  const ServerDirectory &Directory;
  absl::flat_hash_map<FlowId, Flow> Flows;
  std::vector<Wait> Waits;
  std::vector<Server> Servers;
  absl::flat_hash_map<std::uint64_t, Group> Groups;
  /// By Endpoint::key() of the service address.
  absl::flat_hash_map<std::uint64_t, Route> RouteEnds;
  std::vector<ServerId> Failing;
  GapDetector PacketGap;
  GapDetector AnswerGap;
  common::TimePoint QuarantineUntil;
  common::TimePoint GroupsUpdatedAt;
  common::TimePoint FlowsExpiredAt;
  std::int64_t ArrivalWindow = 0;
  std::uint32_t Arrivals = 0; ///< In ArrivalWindow.
  std::uint32_t MovedFlows = 0;
  std::uint64_t DiscardCount = 0;
};

} // namespace auburnroute::routing
