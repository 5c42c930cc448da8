#include "StandIns/SlotQueue.h"

namespace auburnroute::standins {

void SlotQueue::cancelQueued(ConnectionId connection) {
  std::erase_if(Queued, [connection](const Work &it) {
    return it.Connection == connection;
  });
}

std::vector<SlotQueue::Work> SlotQueue::takeFinished(common::TimePoint now) {
  std::vector<Work> finished;
  for (auto &it : Running)
    if (it.FinishesAt <= now)
      finished.push_back(it.Request);
  std::erase_if(Running,
                [now](const RunningWork &it) { return it.FinishesAt <= now; });
  return finished;
}

std::vector<SlotQueue::Work> SlotQueue::startQueued(common::TimePoint now) {
  std::vector<Work> started;
  while (!Queued.empty() && Running.size() < SlotCount) {
    auto work = std::move(Queued.front());
    Queued.pop_front();
    started.push_back(work);
    Running.push_back({std::move(work), now + started.back().Duration});
  }
  return started;
}

} // namespace auburnroute::standins
