#pragma once

#include "Common/Clock.h"
#include "StandIns/TcpEvent.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace auburnroute::standins {

/// FIFO queue of the requests of a backend server with a fixed number of slots,
/// which bounds the requests that run concurrently.
class SlotQueue {
public:
  struct Work {
    ConnectionId Connection = 0;
    std::string RequestId;
    std::chrono::milliseconds Duration{0};
  };

  explicit SlotQueue(std::size_t slots) : SlotCount(slots) {}

  /// Adds a request at the end of the queue.
  void enqueue(Work work) { Queued.push_back(std::move(work)); }
  /// Removes the queued requests of a connection; running ones continue.
  void cancelQueued(ConnectionId connection);
  /// Removes and returns the running requests whose time is up at \p now.
  std::vector<Work> takeFinished(common::TimePoint now);
  /// Starts queued requests while slots are free and returns them.
  std::vector<Work> startQueued(common::TimePoint now);

  std::size_t busy() const { return Running.size(); }
  std::size_t queued() const { return Queued.size(); }

private:
  struct RunningWork {
    Work Request;
    common::TimePoint FinishesAt;
  };

  std::size_t SlotCount;
  std::deque<Work> Queued;
  std::vector<RunningWork> Running;
};

} // namespace auburnroute::standins
