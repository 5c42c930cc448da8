#pragma once

namespace auburnroute::common {

/// Logs the broken invariant \p what and ends the process with abort().
[[noreturn]] void invariantFailed(const char *what, const char *file, int line);

/// Ends the process if \p holds is false. For conditions that no input can
/// break; faults in input are errors and are returned as values. Active in
/// every build type.
inline void invariant(bool holds, const char *what,
                      const char *file = __builtin_FILE(),
                      int line = __builtin_LINE()) {
  if (!holds) [[unlikely]]
    invariantFailed(what, file, line);
}

} // namespace auburnroute::common
