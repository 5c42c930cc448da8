#pragma once

#include "Common/Clock.h"
#include "Coordination/Forwarding/FlowKey.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace auburnroute::forwarding {

/// Remembers the flows that ended lately, so that each end counts once.
///
/// A FIN may be repeated, and a backend server answers a segment that arrives
/// after the end of its flow with a reset, which is no broken flow. Bounded in
/// time and number; the oldest end is forgotten first.
class EndedFlows {
public:
  /// Segments do not live longer in the network (RFC 9293, 3.4.1, takes 2
  /// minutes for one way; ends are repeated for about as long).
  static constexpr std::chrono::minutes RetentionTime{2};
  /// Flows at most; about 60 bytes each.
  static constexpr std::size_t MaxFlows = 65'536;

  /// Notes an end; returns whether it is the first one of this flow.
  bool recordEnd(common::TimePoint now, const FlowKey &key);
  /// A new flow with this key begins, as a caller reuses its port.
  void onNewFlow(const FlowKey &key) { Ends.erase(key); }

  std::size_t size() const { return Ends.size(); }

private:
  struct End {
    FlowKey Key;
    common::TimePoint Time;
  };
  void evictOldest(common::TimePoint now);

  absl::flat_hash_map<FlowKey, common::TimePoint> Ends;
  std::deque<End> Order; ///< Oldest first; may hold ends that were erased.
};

} // namespace auburnroute::forwarding
