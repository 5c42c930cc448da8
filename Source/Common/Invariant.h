#pragma once

#include <source_location>

namespace auburnroute::common {

/// Logs the broken invariant \p what and ends the process with abort().
[[noreturn]] void invariantFailed(const char *what,
                                  const std::source_location &where);

/// Ends the process if \p holds is false. For conditions that no input can
/// break; faults in input are errors and are returned as values. Active in
/// every build type.
inline void
invariant(bool holds, const char *what,
          const std::source_location &where = std::source_location::current()) {
  if (!holds) [[unlikely]]
    invariantFailed(what, where);
}

} // namespace auburnroute::common

#define AUBURN_INVARIANT(condition, text)                                      \
  ::auburnroute::common::invariant((condition), (text))
