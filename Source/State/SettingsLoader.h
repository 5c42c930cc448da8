#pragma once

#include "State/Settings.h"

#include "absl/status/statusor.h"

#include <string_view>

namespace auburnroute::state {

/// Parses, checks and resolves a settings document (JSON with comments).
///
/// The result depends on \p text alone, so all hosts accept or refuse the same
/// documents.
/// Errors: InvalidArgument with one line per error,
/// "FILE:LINE: KEY: what is wrong, expected what is accepted". KEY is the path
/// of the value in the document, such as seeds[1].
absl::StatusOr<Settings> loadSettings(std::string_view text,
                                      std::string_view fileName);

} // namespace auburnroute::state
