#pragma once

namespace auburnroute::routing {

/// What the mean number of outstanding requests for each slot of many servers
/// says about their queues.
///
/// Each server is taken as a queue of its own with two slots and nearly equal
/// service times (M/D/2, whose wait is about half of that of M/M/2): requests
/// on open flows stay with their server, so that some wait while slots of
/// others are free. For a busy share r of the slots a request waits for r^2 /
/// (2 (1 - r^2)) service times on average. Far above one request for each slot
/// this becomes the excess over the slots.
class QueueEstimate {
public:
  /// \p outstanding: requests waiting or running, for each slot; at least 0.
  explicit QueueEstimate(double outstanding);

  /// Share of the slots that are busy, 0 to 1.
  double busyShare() const { return Busy; }
  /// Mean time that a request waits for a slot, in mean service times.
  double wait() const { return Busy * Busy / (2 * (1 - Busy * Busy)); }

private:
  double Busy = 0;
};

} // namespace auburnroute::routing
