#include "Emulator/EventQueue.h"

#include <algorithm>
#include <utility>

namespace auburnroute::emulator {

void EventQueue::scheduleAfter(std::chrono::nanoseconds delay,
                               Handler handler) {
  const auto wait = std::max(delay, std::chrono::nanoseconds(0));
  Events.push(
      {Now + std::chrono::duration_cast<common::TimePoint::duration>(wait),
       ++Sequence, std::move(handler)});
}

void EventQueue::runUntil(common::TimePoint end) {
  while (!Events.empty() && Events.top().Time <= end) {
    // The queue gives out constant references only; the event is removed next.
    auto run = std::move(const_cast<Event &>(Events.top()).Run);
    Now = Events.top().Time;
    Events.pop();
    run();
  }
  Now = end;
}

} // namespace auburnroute::emulator
