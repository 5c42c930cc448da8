#include "StandIns/SlotQueue.h"

namespace auburnroute::standins {

void SlotQueue::cancel(ConnectionId connection) {
  std::erase_if(Waiting, [connection](const Work &it) {
    return it.Connection == connection;
  });
}

std::vector<SlotQueue::Work> SlotQueue::takeFinished(common::TimePoint now) {
  std::vector<Work> finished;
  for (auto &it : Running)
    if (it.Due <= now)
      finished.push_back(it.Request);
  std::erase_if(Running, [now](const Active &it) { return it.Due <= now; });
  return finished;
}

std::vector<SlotQueue::Work> SlotQueue::start(common::TimePoint now) {
  std::vector<Work> started;
  while (!Waiting.empty() && Running.size() < Slots) {
    auto work = std::move(Waiting.front());
    Waiting.pop_front();
    started.push_back(work);
    Running.push_back({std::move(work), now + started.back().Duration});
  }
  return started;
}

} // namespace auburnroute::standins
