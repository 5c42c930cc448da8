#pragma once

#include <string>

namespace auburnroute::common {

/// Severity of a log line.
enum class LogLevel { Info, Warning, Error };

/// Sends log lines to standard error; the line format has time, level, text.
/// Call once at the start of a program.
void initialiseLog();

/// Writes one line through log4cxx. For changes of state only; events that
/// recur are counted instead.
void logLine(LogLevel level, const std::string &text);

} // namespace auburnroute::common
