#pragma once

#include <chrono>

namespace auburnroute::standins {

/// Records SIGTERM and SIGINT in a flag for polling.
class StopSignal {
public:
  /// Installs the handlers and ignores SIGPIPE. Call once, before threads
  /// start.
  static void install();
  /// Whether one of the signals has arrived.
  static bool hasArrived();
  /// Blocks until one of the signals has arrived; checks every 20 ms.
  static void wait();
};

} // namespace auburnroute::standins
