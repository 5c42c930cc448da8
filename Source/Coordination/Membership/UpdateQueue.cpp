#include "Coordination/Membership/UpdateQueue.h"

#include <algorithm>

namespace auburnroute::membership {

void UpdateQueue::push(std::string_view host) {
  const auto it =
      std::find_if(Items.begin(), Items.end(),
                   [&](const Item &item) { return item.Host == host; });
  if (it != Items.end())
    it->RoundsLeft = Rounds;
  else
    Items.push_back({std::string(host), Rounds});
}

std::vector<std::string> UpdateQueue::takeRound(std::size_t limit) {
  std::vector<std::string> out;
  for (auto n = std::min(limit, Items.size()); n > 0; --n) {
    auto item = std::move(Items.front());
    Items.pop_front();
    out.push_back(item.Host);
    if (--item.RoundsLeft > 0)
      Items.push_back(std::move(item));
  }
  return out;
}

} // namespace auburnroute::membership
