#pragma once

#include "absl/strings/string_view.h"

#include <string_view>

namespace auburnroute::common {

/// Converts for Abseil calls. Debian builds Abseil as C++14, where its
/// string_view is a type of its own.
inline absl::string_view toAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

/// Converts from Abseil calls.
inline std::string_view fromAbsl(absl::string_view text) {
  return {text.data(), text.size()};
}

} // namespace auburnroute::common
