#pragma once

#include "absl/status/statusor.h"

#include <string>

namespace auburnroute::common {

/// The content of a file. Errors: NotFound, with the name and the reason.
absl::StatusOr<std::string> readFile(const std::string &name);

} // namespace auburnroute::common
