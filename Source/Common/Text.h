#pragma once

#include "absl/strings/string_view.h"

#include <string_view>

namespace auburnroute::common {

/// Converts to Abseil's string view. Debian builds Abseil as C++14, where
/// absl::string_view is not an alias of std::string_view.
inline absl::string_view toAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

/// Converts from Abseil's string view.
inline std::string_view fromAbsl(absl::string_view text) {
  return {text.data(), text.size()};
}

} // namespace auburnroute::common
