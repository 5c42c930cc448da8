#pragma once

#include "absl/status/statusor.h"

#include <string>

namespace auburnroute::common {

/// Reads a whole file. Errors: NotFound, with the file name and the reason.
absl::StatusOr<std::string> readFile(const std::string &name);

} // namespace auburnroute::common
