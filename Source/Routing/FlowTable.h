#pragma once

#include "Common/Clock.h"
#include "Routing/FlowId.h"
#include "Routing/FlowPacket.h"
#include "Routing/ServerHealthTracker.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace auburnroute::routing {

/// Phase of a flow, inferred from its caller's packets.
enum class FlowPhase : std::uint8_t {
  Opening, ///< SYN forwarded, no answer seen.
  Idle,    ///< Open, no request pending.
  Busy,    ///< A request was sent and is not answered yet.
  Closed,  ///< The caller sent FIN or RST.
};

/// State of a flow that this host has seen. Forwarding does not depend on it;
/// it feeds the health tracking of the backend servers.
struct FlowState {
  ServerId Server = 0;
  FlowPhase Phase = FlowPhase::Opening;
  /// How often the last request was retransmitted, up to 3.
  std::uint8_t RetransmissionCount = 0;
  /// The SYN was returned by takeUnansweredSyns().
  bool IsSynReported = false;
  std::uint32_t NextSequence = 0; ///< One past the highest byte seen.
  std::uint32_t Acknowledged = 0; ///< Highest acknowledgement seen.
  common::TimePoint LastSeen;
  common::TimePoint PhaseSince;
  /// Until when the pending request counts as load; the default value if none
  /// is pending. Unlike Phase, it lasts until the request is answered.
  common::TimePoint OutstandingUntil;
  /// Counted as an open flow of its server in the load of this host.
  bool IsLoadCounted = false;
};

/// What a packet reveals about the backend server of its flow.
enum class FlowEvent : std::uint8_t {
  None,
  Answered,           ///< The server has answered since the last packet.
  Retransmitted,      ///< First retransmission of data: the caller has seen no
                      ///< answer.
  RetransmittedAgain, ///< The second retransmission of the same data.
};

/// A SYN that its server has not answered in time.
struct UnansweredSyn {
  FlowId Flow;
  ServerId Server = 0;
  common::TimePoint SentAt;
};

/// The flows of which this host recently saw packets, bounded in number.
///
/// Upstream routers may move flows between hosts at any time, so a flow may
/// first be seen in the middle and may stop without FIN or RST.
class FlowTable {
public:
  /// Flows beyond this number are forwarded but not tracked. A host at the
  /// planned fleet size carries 12,300 flows.
  static constexpr std::size_t MaxFlows = 65536;
  /// A caller retransmits unanswered data after 200 ms. An older request
  /// without a retransmission was answered in packets that this host did not
  /// see.
  static constexpr std::chrono::milliseconds AnswerAssumedAfter{300};
  /// Separates retransmissions, which callers send after 200 ms, from packets
  /// of one request that arrive out of order.
  static constexpr std::chrono::milliseconds MinRetransmissionDelay{150};
  /// A caller answers a SYN-ACK at once, so a flow that is still opening after
  /// this time got none, or a reset that went past this host.
  static constexpr std::chrono::milliseconds MaxOpeningTime{150};
  /// How long a closed flow, or a SYN without an answer, is kept for late
  /// packets.
  static constexpr std::chrono::milliseconds ClosedFlowLifetime{2000};

  /// How long a request counts as load if its route states no shorter timeout.
  static constexpr std::chrono::milliseconds MaxOutstandingTime{10000};
  /// After a change of the routers, flows may move to other hosts until this
  /// time has passed: probes take 1.3 s, and hosts learn of each other by
  /// gossip.
  static constexpr std::chrono::milliseconds RoutersSettleTime{3000};
  /// While flows may have moved, requests count for this long at most: their
  /// answers may pass through other hosts.
  static constexpr std::chrono::milliseconds MovedRequestTime{1000};

  explicit FlowTable(ServerHealthTracker &health) : Health(health) {}

  /// The state of flow \p id, or nullptr.
  FlowState *find(const FlowId &id);
  /// Records that the SYN of \p id was forwarded to \p server.
  void onSyn(const FlowId &id, ServerId server, const FlowPacket &packet,
             common::TimePoint now);
  /// Records a packet after the SYN, which is forwarded to \p server. A request
  /// in it counts as load for \p timeout at most.
  FlowEvent onPacket(const FlowId &id, ServerId server,
                     const FlowPacket &packet, common::TimePoint now,
                     std::chrono::milliseconds timeout = MaxOutstandingTime);
  /// The routers may have moved flows to other hosts. Until RoutersSettleTime
  /// has passed, flows without a packet within that time, and requests older
  /// than MovedRequestTime, stop counting as load.
  void onRoutersChanged(common::TimePoint now);
  /// The flows that have been opening for MaxOpeningTime, each returned once.
  std::vector<UnansweredSyn> takeUnansweredSyns(common::TimePoint now);
  /// Removes flows that were idle for \p idleTimeout and marks requests older
  /// than AnswerAssumedAfter as answered.
  void expire(common::TimePoint now, std::chrono::milliseconds idleTimeout);
  /// Forgets which packets wait for an answer: answers and retransmissions may
  /// have been missed.
  void discardPending(common::TimePoint now);
  /// The flows with a pending request to \p server, each with the caller's
  /// highest acknowledgement.
  std::vector<std::pair<FlowId, std::uint32_t>>
  busyFlowsOf(ServerId server) const;
  /// Removes \p id immediately.
  void erase(const FlowId &id);

  std::size_t size() const { return Flows.size(); }

private:
  /// Changes the phase and updates the counts of the server's health.
  void setPhase(FlowState &flow, FlowPhase phase, common::TimePoint now);
  void setLoadCounted(FlowState &flow, bool isCounted);
  void beginOutstanding(FlowState &flow, std::chrono::milliseconds timeout,
                        common::TimePoint now);
  void endOutstanding(FlowState &flow, common::TimePoint now);
  /// Limits the time for which pending requests count to MovedRequestTime.
  void limitOutstanding(common::TimePoint now);
  bool mayHaveMoved(common::TimePoint now) const {
    return RoutersChangedAt && now - *RoutersChangedAt <= RoutersSettleTime;
  }

  ServerHealthTracker &Health;
  absl::flat_hash_map<FlowId, FlowState> Flows;
  /// Flows in the order of their SYNs, and when these were forwarded.
  std::deque<std::pair<FlowId, common::TimePoint>> SentSyns;
  std::optional<common::TimePoint> RoutersChangedAt;
};

} // namespace auburnroute::routing
