#pragma once

namespace auburnroute::common {

/// Logs the broken invariant and ends the process with abort().
[[noreturn]] void invariantFailed(const char *description, const char *file,
                                  int line);

/// Ends the process if \p condition is false; active in every build type. For
/// conditions that no input can violate: invalid input is reported as a status.
/// \p description names what must hold.
inline void invariant(bool condition, const char *description,
                      const char *file = __builtin_FILE(),
                      int line = __builtin_LINE()) {
  if (!condition) [[unlikely]]
    invariantFailed(description, file, line);
}

} // namespace auburnroute::common
