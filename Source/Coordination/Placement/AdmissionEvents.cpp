#include "Coordination/Placement/AdmissionEvents.h"

namespace auburnroute::placement {

void AdmissionEvents::add(common::TimePoint now, state::Cause why,
                          std::string_view service,
                          std::string_view backendServer, std::uint64_t count) {
  const Key key{why, {std::string(service), std::string(backendServer)}};
  const auto it = Index.find(key);
  if (it == Index.end() && Events.size() >= MaxEvents) {
    Dropped += count;
    return;
  }
  if (it == Index.end()) {
    Index.emplace(key, Events.size());
    Events.push_back(
        {why, key.second.first, key.second.second, count, now, now});
    return;
  }
  Events[it->second].Count += count;
  Events[it->second].Last = now;
}

std::vector<AdmissionEvent> AdmissionEvents::take() {
  Index.clear();
  return std::exchange(Events, {});
}

} // namespace auburnroute::placement
