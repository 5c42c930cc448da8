#pragma once

namespace auburnroute::common {

/// Logs \p text with its place in the source and aborts the process.
[[noreturn]] void invariantFailed(const char *text, const char *file, int line);

} // namespace auburnroute::common

/// Ends the process if \p condition does not hold. For program faults only;
/// bad input is an error value. Active in every build type.
#define AUBURN_INVARIANT(condition, text)                                      \
  do {                                                                         \
    if (!(condition))                                                          \
      ::auburnroute::common::invariantFailed(text, __FILE__, __LINE__);        \
  } while (false)
