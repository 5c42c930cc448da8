#pragma once

#include "Common/Clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
} // namespace spdlog

namespace auburnroute::edge {

/// Kinds of log lines; the name is the value of "event".
enum class LogEvent : std::uint8_t {
  Start,
  Stop,
  Reload,
  Ready,
  Pause,
  Configuration,
  Server,
  Registry,
  Peer,
  Placed,
  Refused,
  Suspected,
  Cleared,
  Late,
  LogDropped,
  Count, ///< Number of kinds; not a kind.
};

std::string_view toString(LogEvent event);

/// Structured log on standard output: one JSON object a line.
///
/// Each kind of event has a rate limit; what goes beyond it is counted and
/// reported. Lines are collected and written in one piece by flush(), which
/// never waits: what a slow reader does not take is dropped and counted.
class EventLog {
public:
  /// Lines of one kind in a second; state changes are rarer, decisions on
  /// flows are sampled. A line costs some 10 us of a share of 0.055 of a core.
  static constexpr std::uint32_t MaxLinesPerSecond = 100;
  /// Lines that wait to be written, in bytes.
  static constexpr std::size_t MaxPendingBytes = std::size_t{64} * 1024;

  explicit EventLog(const common::Clock &clock);
  ~EventLog();

  /// Whether a line of this kind may be written now; counts it if not.
  bool tryAdmit(LogEvent event);
  /// Adds a line. \p fields: the members of a JSON object without braces.
  void write(LogEvent event, std::string_view fields);
  /// Lines that were not written since the start.
  std::uint64_t dropped() const { return DroppedTotal; }
  /// Writes what is pending, and a line on what was dropped.
  void flush();

private:
  class Sink;

  const common::Clock &Clock;
  std::shared_ptr<Sink> Output;
  std::shared_ptr<spdlog::logger> Logger;
  struct RateLimit {
    std::uint32_t LinesLeft = MaxLinesPerSecond;
    std::uint64_t Dropped = 0;
  };
  std::array<RateLimit, static_cast<std::size_t>(LogEvent::Count)> RateLimits{};
  common::TimePoint RefilledAt;
  std::uint64_t DroppedTotal = 0;
};

} // namespace auburnroute::edge
