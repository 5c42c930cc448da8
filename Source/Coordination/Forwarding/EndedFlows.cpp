#include "Coordination/Forwarding/EndedFlows.h"

namespace auburnroute::forwarding {

bool EndedFlows::recordEnd(common::TimePoint now, const FlowKey &key) {
  evictOldest(now);
  if (!Ends.try_emplace(key, now).second)
    return false;
  Order.push_back({key, now});
  return true;
}

void EndedFlows::evictOldest(common::TimePoint now) {
  while (!Order.empty() && (Order.front().Time + RetentionTime < now ||
                            Order.size() >= MaxFlows)) {
    const auto &oldest = Order.front();
    // The key may since have been reused by a flow that ended later.
    if (const auto it = Ends.find(oldest.Key);
        it != Ends.end() && it->second == oldest.Time)
      Ends.erase(it);
    Order.pop_front();
  }
}

} // namespace auburnroute::forwarding
