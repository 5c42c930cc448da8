#pragma once

#include "Common/Clock.h"
#include "StandIns/TcpEvent.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace auburnroute::standins {

/// Requests of a backend server: a fixed number is worked on at once, the rest
/// waits in order of arrival.
class SlotQueue {
public:
  struct Work {
    ConnectionId Connection = 0;
    std::string RequestId;
    std::chrono::milliseconds Duration{0};
  };

  explicit SlotQueue(std::size_t slots) : Slots(slots) {}

  /// Adds a request at the end of the queue.
  void add(Work work) { Queued.push_back(std::move(work)); }
  /// Removes the requests of a connection that have not started.
  void cancelQueued(ConnectionId connection);
  /// Removes and returns the requests whose work is complete.
  std::vector<Work> takeFinished(common::TimePoint now);
  /// Starts requests while slots are free and returns them.
  std::vector<Work> startQueued(common::TimePoint now);

  std::size_t busy() const { return Running.size(); }
  std::size_t queued() const { return Queued.size(); }

private:
  struct RunningWork {
    Work Request;
    common::TimePoint Due;
  };

  std::size_t Slots;
  std::deque<Work> Queued;
  std::vector<RunningWork> Running;
};

} // namespace auburnroute::standins
