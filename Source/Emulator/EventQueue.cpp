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
    // top() returns a const reference. Moving from it is safe, since the event
    // is removed next and the order does not depend on Run.
    auto run = std::move(const_cast<Event &>(Events.top()).Run);
    Now = Events.top().Time;
    Events.pop();
    run();
  }
  Now = end;
}

} // namespace auburnroute::emulator
