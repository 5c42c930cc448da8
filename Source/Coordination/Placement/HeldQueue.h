#pragma once

#include "Common/Clock.h"
#include "Coordination/Forwarding/FlowKey.h"

#include "absl/container/flat_hash_set.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace auburnroute::placement {

/// A SYN that waits for a free slot until its deadline.
struct HeldSyn {
  forwarding::FlowKey Key;
  common::TimePoint Deadline;
};

/// The held SYNs of one service, earliest deadline first, in order of arrival
/// for equal deadlines.
class HeldQueue {
public:
  bool contains(const forwarding::FlowKey &key) const {
    return Keys.contains(key);
  }
  bool empty() const { return Keys.empty(); }
  std::size_t size() const { return Keys.size(); }
  /// Adds a SYN whose key must not be held yet. Returns false if the queue
  /// already holds \p limit SYNs (the service's queueLimit).
  bool push(const HeldSyn &syn, std::size_t limit);
  /// The SYN with the earliest deadline. The queue must not be empty.
  HeldSyn front() const;
  void popFront();
  /// Removes and returns the SYNs whose deadline is not after \p now.
  std::vector<forwarding::FlowKey> takeExpired(common::TimePoint now);
  /// Removes and returns all SYNs, in order.
  std::vector<HeldSyn> takeAll();

private:
  std::map<std::pair<common::TimePoint, std::uint64_t>, forwarding::FlowKey>
      Order;
  absl::flat_hash_set<forwarding::FlowKey> Keys;
  std::uint64_t Arrivals = 0;
};

} // namespace auburnroute::placement
