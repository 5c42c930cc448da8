#pragma once

#include "Common/Clock.h"
#include "Coordination/Forwarding/FlowKey.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace auburnroute::forwarding {

/// Records recently ended flows, so that each end is counted once.
///
/// A FIN may be retransmitted, and a backend server answers a segment that
/// arrives after the end of its flow with a reset, which must not count as a
/// broken flow. Bounded in time and number; the oldest end is evicted first.
class EndedFlows {
public:
  /// The maximum segment lifetime of RFC 9293, 3.4.1. FINs and resets are
  /// retransmitted for about as long.
  static constexpr std::chrono::minutes RetentionTime{2};
  /// Bound of the table; about 60 bytes per flow.
  static constexpr std::size_t MaxFlows = 65'536;

  /// Records an end; returns whether it is the first one of this flow.
  bool recordEnd(common::TimePoint now, const FlowKey &key);
  /// A caller has reused its port: a new flow with this key begins.
  void onNewFlow(const FlowKey &key) { Ends.erase(key); }

  std::size_t size() const { return Ends.size(); }

private:
  struct End {
    FlowKey Key;
    common::TimePoint Time;
  };
  void evictOldest(common::TimePoint now);

  absl::flat_hash_map<FlowKey, common::TimePoint> Ends;
  /// Oldest first; may contain ends that Ends no longer has.
  std::deque<End> Order;
};

} // namespace auburnroute::forwarding
