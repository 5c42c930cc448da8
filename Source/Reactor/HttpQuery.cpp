#include "Reactor/HttpQuery.h"

#include "Common/Text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <utility>

namespace auburnroute::reactor {

std::optional<std::uint64_t> numberInQuery(std::string_view query,
                                           std::string_view key) {
  for (const auto part : absl::StrSplit(common::toAbsl(query), '&')) {
    const std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    std::uint64_t value = 0;
    if (pair.first == common::toAbsl(key) &&
        absl::SimpleAtoi(pair.second, &value))
      return value;
  }
  return std::nullopt;
}

} // namespace auburnroute::reactor
