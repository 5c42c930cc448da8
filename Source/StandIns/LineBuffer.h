#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::standins {

/// Splits a byte stream into lines.
class LineBuffer {
public:
  void append(std::string_view bytes) { Bytes.append(bytes); }
  /// Removes the next complete line and returns it without the line feed;
  /// nothing if no line is complete.
  std::optional<std::string> takeLine();

private:
  std::string Bytes;
};

/// Splits \p line at each space.
std::vector<std::string> splitWords(std::string_view line);

} // namespace auburnroute::standins
