#pragma once

#include "Common/Clock.h"
#include "Routing/FlowId.h"
#include "Routing/FlowPacket.h"
#include "Routing/ServerHealthTracker.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>

namespace auburnroute::routing {

/// Where a flow stands, as its caller's packets show.
enum class FlowPhase : std::uint8_t {
  Opening, ///< SYN sent, no answer seen.
  Idle,    ///< Open, no request under way.
  Busy,    ///< A request was sent and is not answered.
  Closed,  ///< The caller sent FIN or RST.
};

/// What this host remembers of a flow. Forwarding does not need it; it serves
/// the health on the backend servers.
struct FlowState {
  ServerId Server = 0;
  FlowPhase Phase = FlowPhase::Opening;
  bool IsRetransmitted = false;   ///< The last request was sent again.
  std::uint32_t NextSequence = 0; ///< Behind the highest byte seen.
  std::uint32_t Acknowledged = 0; ///< Highest acknowledgement seen.
  common::TimePoint LastSeen;
  common::TimePoint PhaseSince;
};

/// What a packet shows beyond its own flow.
enum class FlowEvent : std::uint8_t {
  None,
  Answered,      ///< The server answered since the last packet.
  Retransmitted, ///< The caller sent data again for the first time: it has seen
                 ///< no answer.
  RetransmittedAgain,
};

/// The flows of which this host saw packets lately, bounded in number.
///
/// Routers move flows between hosts at any time, so a flow may be entered in
/// its middle and left without an end; both are normal.
class FlowTable {
public:
  /// Flows beyond this number are forwarded without being observed. A host at
  /// plan size carries 12,300 flows.
  static constexpr std::size_t MaxFlows = 65536;
  /// A caller repeats unanswered data after 200 ms; a request that is older
  /// and was not repeated was answered by packets that this host did not see.
  static constexpr std::chrono::milliseconds AnswerAssumedAfter{300};
  /// Packets of one request that arrive out of order are closer together than
  /// this; callers repeat them after 200 ms.
  static constexpr std::chrono::milliseconds MinRetransmissionDelay{150};
  /// Time for the last packets of a closed flow.
  static constexpr std::chrono::milliseconds ClosedFlowLifetime{2000};

  explicit FlowTable(ServerHealthTracker &health) : Health(health) {}

  /// The flow, or nullptr.
  FlowState *find(const FlowId &id);
  /// Records that the SYN of \p id was sent to \p server.
  void onSyn(const FlowId &id, ServerId server, const FlowPacket &packet,
             common::TimePoint now);
  /// Records a later packet, which goes to \p server.
  FlowEvent onPacket(const FlowId &id, ServerId server,
                     const FlowPacket &packet, common::TimePoint now);
  /// Forgets flows that were idle for \p idleTimeout and settles requests that
  /// must have been answered.
  void expire(common::TimePoint now, std::chrono::milliseconds idleTimeout);
  /// Forgets \p id at once.
  void erase(const FlowId &id);

  std::size_t size() const { return Flows.size(); }

private:
  void setPhase(FlowState &flow, FlowPhase phase, common::TimePoint now);

  ServerHealthTracker &Health;
  absl::flat_hash_map<FlowId, FlowState> Flows;
};

} // namespace auburnroute::routing
