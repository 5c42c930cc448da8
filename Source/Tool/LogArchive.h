#pragma once

#include "absl/status/status.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace auburnroute::tool {

/// One log line of an edge daemon.
struct LogLine {
  std::string Host;
  std::int64_t TimeMs = 0; ///< Wall time of the host since the Unix epoch.
  std::string Event;
  nlohmann::json Fields;

  /// Value of a string field; empty if absent.
  std::string text(const char *name) const;
  /// Whether a field is true; false if absent.
  bool flag(const char *name) const;
  /// Value of a number field; \p fallback if absent.
  std::int64_t number(const char *name, std::int64_t fallback = 0) const;
};

/// Log lines of several hosts, merged in order of time.
///
/// A log collector may have put a prefix in front of each line; the last word
/// of the prefix is taken as the host. Without a prefix the host is that of the
/// preceding "start" line of the file, or else the file name.
class LogArchive {
public:
  /// Adds the lines of a file. Errors: NotFound, with the name and the reason.
  absl::Status addFile(const std::string &name);
  /// Adds the lines of \p text; \p source is the host until a line names one.
  void addText(std::string_view text, std::string_view source);

  /// All lines, oldest first.
  const std::vector<LogLine> &lines();
  /// Number of lines that are not log lines of a daemon.
  std::size_t unparsedLines() const { return UnparsedLines; }

private:
  std::vector<LogLine> Lines;
  std::size_t UnparsedLines = 0;
  bool IsSorted = true;
};

} // namespace auburnroute::tool
