#pragma once

#include <chrono>

namespace auburnroute::standins {

/// SIGTERM and SIGINT as a flag that loops look at.
class StopSignal {
public:
  /// Installs the handlers. Call once, before threads start.
  static void install();
  /// Whether one of the signals has arrived.
  static bool hasArrived();
  /// Returns when one of the signals has arrived; checks every 20 ms.
  static void wait();
};

} // namespace auburnroute::standins
