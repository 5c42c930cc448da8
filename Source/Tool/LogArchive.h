#pragma once

#include "absl/status/status.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace auburnroute::tool {

/// One line that an edge daemon wrote.
struct LogLine {
  std::string Host;
  std::int64_t TimeMs = 0; ///< Wall time of the host, ms since the epoch.
  std::string Event;
  nlohmann::json Fields;

  /// A text field; empty if it is absent.
  std::string text(const char *name) const;
  /// A number field; \p otherwise if it is absent.
  std::int64_t number(const char *name, std::int64_t otherwise = 0) const;
};

/// The log lines of several hosts in order of time.
///
/// Reads what the daemons write, also where a collector put words in front of
/// each line: the last of them is taken for the host. Without such words the
/// host is that of the last start line, or the name of the file.
class LogArchive {
public:
  /// Adds a file. Errors: NotFound.
  absl::Status addFile(const std::string &name);
  void addText(std::string_view text, std::string_view source);

  /// All lines, oldest first.
  const std::vector<LogLine> &lines();
  /// Lines that are no log lines.
  std::size_t unreadable() const { return Unreadable; }

private:
  std::vector<LogLine> Lines;
  std::size_t Unreadable = 0;
  bool Sorted = true;
};

} // namespace auburnroute::tool
