#pragma once

#include "State/Settings.h"

#include "absl/status/statusor.h"

#include <string_view>

namespace auburnroute::state {

/// Parses, checks and resolves a settings document (JSON with comments).
///
/// The verdict depends on \p text alone, so all hosts reach the same one.
/// Errors: InvalidArgument with one line per error,
/// "FILE:LINE: PATH: what is wrong, what is accepted".
absl::StatusOr<Settings> loadSettings(std::string_view text,
                                      std::string_view fileName);

} // namespace auburnroute::state
