#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::standins {

/// Cuts a byte stream into lines.
class LineBuffer {
public:
  void append(std::string_view bytes) { Bytes.append(bytes); }
  /// Removes and returns the next line without its end, if one is complete.
  std::optional<std::string> takeLine();

private:
  std::string Bytes;
};

/// The words of \p line, separated by single spaces.
std::vector<std::string> splitWords(std::string_view line);

} // namespace auburnroute::standins
