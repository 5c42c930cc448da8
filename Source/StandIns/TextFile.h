#pragma once

#include "absl/status/statusor.h"

#include <string>

namespace auburnroute::standins {

/// Reads a whole file. Errors: NotFound.
absl::StatusOr<std::string> readTextFile(const std::string &path);

} // namespace auburnroute::standins
