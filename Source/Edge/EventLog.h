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

/// Kinds of log lines. toString() gives the value of the field "event".
enum class LogEvent : std::uint8_t {
  Start,
  Stop,
  Reload,
  Ready,
  Pause,
  Configuration,
  Server,
  Registry,
  RegistryRead,
  RegistryEra,
  Evacuation,
  EntryRejected,
  Peer,
  ViewFetch,
  Placed,
  ColdStart,
  ColdLimited,
  Refused,
  Suspected,
  Cleared,
  Verdict,
  VerdictEnded,
  VerdictRejected,
  LoadSharing,
  Degraded,
  DegradedEnded,
  Late,
  ZoneShare,
  Overload,
  LogDropped,
  Count, ///< Number of kinds, not a kind itself.
};

std::string_view toString(LogEvent event);

/// Structured log on standard output, one JSON object per line.
///
/// Each kind of event has its own rate limit; suppressed lines are counted and
/// reported. Lines are buffered until flush(), which never blocks: if the
/// reader is too slow, lines that do not fit the buffer are dropped and
/// counted.
class EventLog {
public:
  /// Rate limit per kind of event. State changes stay below it, decisions on
  /// flows are sampled. A line takes some 10 us of CPU time, and the daemon's
  /// share is 0.055 of a core.
  static constexpr std::uint32_t MaxLinesPerSecond = 100;
  /// Size limit of the buffered lines, in bytes.
  static constexpr std::size_t MaxPendingBytes = std::size_t{64} * 1024;

  /// \p text as a JSON string. It is limited to \p maxBytes, and all but
  /// printable ASCII characters are replaced by '?', since other processes may
  /// have written it.
  static std::string quoted(std::string_view text, std::size_t maxBytes = 64);

  explicit EventLog(const common::Clock &clock);
  ~EventLog();

  /// Takes one line from the rate limit of \p event. Returns false if the limit
  /// is exhausted, and counts the line as dropped.
  bool tryAdmit(LogEvent event);
  /// Buffers a line, regardless of the rate limit. \p fields are the members of
  /// a JSON object, without braces.
  void write(LogEvent event, std::string_view fields);
  /// Total number of lines dropped since the start.
  std::uint64_t dropped() const { return DroppedTotal; }
  /// Writes buffered lines as far as standard output takes them, and adds lines
  /// that report the number of dropped ones.
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
