#include "Coordination/Placement/HeldQueue.h"

#include "Common/Invariant.h"

namespace auburnroute::placement {

bool HeldQueue::push(const HeldSyn &syn, std::size_t limit) {
  if (Keys.size() >= limit)
    return false;
  common::invariant(Keys.insert(syn.Key).second,
                    "a held SYN must not be pushed again");
  Order.emplace(std::pair(syn.Deadline, Arrivals++), syn.Key);
  return true;
}

HeldSyn HeldQueue::front() const {
  const auto &[order, key] = *Order.begin();
  return {key, order.first};
}

void HeldQueue::popFront() {
  Keys.erase(Order.begin()->second);
  Order.erase(Order.begin());
}

std::vector<forwarding::FlowKey> HeldQueue::takeExpired(common::TimePoint now) {
  std::vector<forwarding::FlowKey> expired;
  while (!empty() && front().Deadline <= now) {
    expired.push_back(front().Key);
    popFront();
  }
  return expired;
}

std::vector<HeldSyn> HeldQueue::takeAll() {
  std::vector<HeldSyn> all;
  for (const auto &[order, key] : Order)
    all.push_back({key, order.first});
  Order.clear();
  Keys.clear();
  return all;
}

} // namespace auburnroute::placement
