#pragma once

#include "Coordination/Placement/AdmissionController.h"

#include "absl/status/statusor.h"

#include <string_view>

namespace auburnroute::protocol {

/// Decodes a backend server's response to GET /load. Errors: InvalidArgument if
/// it is not a JSON object with the expected fields.
absl::StatusOr<health::LoadReport> decodeLoadReport(std::string_view text);

} // namespace auburnroute::protocol
