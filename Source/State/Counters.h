#pragma once

#include "State/Cause.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace auburnroute::state {

/// Monotonic event counters of a thread; the metric name states the unit.
enum class Counter {
  CallerPackets,        ///< Packets of callers forwarded to backend servers.
  BackendServerPackets, ///< Packets of backend servers forwarded to callers.
  HandOverPacketsSent,  ///< SYNs and finishing packets sent to an owner.
  HandOverPacketsReceived,
  FlowsPlaced,   ///< SYNs sent to a backend server by admission.
  FlowsHeld,     ///< SYNs that had to wait for a slot.
  FlowsRefused,  ///< SYNs answered by a reset.
  FlowsFinished, ///< Flows ended by FIN or RST.
  SynsRepeated,  ///< SYNs handed over again after the owner was lost.
  PausesDetected,
  LoadReportsReceived,
  LoadReportFailures,
  PlatformReads,
  PlatformFailures,
  Count, ///< Number of counters; not a counter.
};

/// Name of a counter with its unit, as in metrics.
std::string_view toString(Counter counter);

/// Counters of one thread; other threads may read them.
class CounterSet {
public:
  void add(Counter counter, std::uint64_t n = 1) {
    increment(Counts[static_cast<std::size_t>(counter)], n);
  }
  void add(Cause cause, std::uint64_t n = 1) {
    increment(Causes[static_cast<std::size_t>(cause)], n);
  }
  std::uint64_t value(Counter counter) const {
    return Counts[static_cast<std::size_t>(counter)].load(
        std::memory_order_relaxed);
  }
  std::uint64_t value(Cause cause) const {
    return Causes[static_cast<std::size_t>(cause)].load(
        std::memory_order_relaxed);
  }

private:
  using AtomicCount = std::atomic<std::uint64_t>;
  // One writer: a plain load and store avoids a locked instruction.
  static void increment(AtomicCount &count, std::uint64_t n) {
    count.store(count.load(std::memory_order_relaxed) + n,
                std::memory_order_relaxed);
  }

  std::array<AtomicCount, static_cast<std::size_t>(Counter::Count)> Counts{};
  std::array<AtomicCount, static_cast<std::size_t>(Cause::Count)> Causes{};
};

} // namespace auburnroute::state
