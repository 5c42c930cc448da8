#include "StandIns/LineBuffer.h"

#include "Common/Text.h"

#include "absl/strings/str_split.h"

namespace auburnroute::standins {

std::optional<std::string> LineBuffer::takeLine() {
  const auto end = Bytes.find('\n');
  if (end == std::string::npos)
    return std::nullopt;
  auto line = Bytes.substr(0, end);
  Bytes.erase(0, end + 1);
  return line;
}

std::vector<std::string> splitWords(std::string_view line) {
  return absl::StrSplit(common::toAbsl(line), ' ');
}

} // namespace auburnroute::standins
