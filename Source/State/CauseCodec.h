#pragma once

#include "State/CauseStore.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::state {

/// Encodes the answer to GET /cause: {"host": ..., "entries": [...]}, times in
/// milliseconds since the epoch.
std::string encodeCauses(const std::string &host,
                         const std::vector<CauseEntry> &entries);

/// Decodes the answer to GET /cause; causes of a newer version that are not
/// known here are left out. Errors: InvalidArgument.
absl::StatusOr<std::vector<CauseEntry>> decodeCauses(std::string_view text);

} // namespace auburnroute::state
