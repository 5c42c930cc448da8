#pragma once

#include <string>

namespace auburnroute::common {

/// Severity of a log line.
enum class LogLevel { Info, Warning, Error };

/// Configures log4cxx to write "TIME LEVEL TEXT" lines to standard error.
/// Call once at program start.
void initialiseLog();

/// Writes one log line. For state changes only; recurring events are counted
/// in metrics instead.
void logLine(LogLevel level, const std::string &text);

} // namespace auburnroute::common
