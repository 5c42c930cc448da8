#include "State/FlowOutcomeHistory.h"

#include "State/CauseStore.h"

namespace auburnroute::state {

FlowOutcomeCounts &
FlowOutcomeCounts::operator+=(const FlowOutcomeCounts &other) {
  Good += other.Good;
  Refused += other.Refused;
  Broken += other.Broken;
  Slow += other.Slow;
  Placed += other.Placed;
  return *this;
}

void FlowOutcomeHistory::add(common::WallTime now, const std::string &service,
                             const FlowOutcomeCounts &counts) {
  const auto minute = minuteOf(now);
  auto &minutes = ByService[service];
  if (minutes.empty() || minutes.back().Minute < minute)
    minutes.push_back({minute, {}});
  minutes.back().Counts += counts;
  const auto oldest = minuteOf(now - Retention);
  while (minutes.front().Minute < oldest)
    minutes.pop_front();
}

FlowOutcomeCounts FlowOutcomeHistory::sum(common::WallTime now,
                                          const std::string &service,
                                          std::chrono::minutes window) const {
  FlowOutcomeCounts total;
  const auto it = ByService.find(service);
  if (it == ByService.end())
    return total;
  const auto oldest = minuteOf(now) + 1 - window.count();
  for (auto at = it->second.rbegin();
       at != it->second.rend() && at->Minute >= oldest; ++at)
    total += at->Counts;
  return total;
}

std::vector<FlowOutcomeCounts>
FlowOutcomeHistory::minutes(common::WallTime now, const std::string &service,
                            std::size_t n) const {
  std::vector<FlowOutcomeCounts> last(n);
  const auto it = ByService.find(service);
  if (it == ByService.end())
    return last;
  const auto end = minuteOf(now) + 1;
  for (const auto &at : it->second)
    if (at.Minute + n >= end && at.Minute < end)
      last[at.Minute + n - end] = at.Counts;
  return last;
}

std::vector<std::string> FlowOutcomeHistory::services() const {
  std::vector<std::string> names;
  for (const auto &[name, minutes] : ByService)
    names.push_back(name);
  return names;
}

} // namespace auburnroute::state
