#pragma once

#include "Coordination/Messages/HostList.h"

#include "absl/status/statusor.h"

#include <string_view>

namespace auburnroute::protocol {

/// Decodes the answer of the platform to GET /hosts. Unknown members are
/// ignored, so that the platform can add some. Errors: InvalidArgument, naming
/// the entry and the member, if a member is missing or has the wrong form, or
/// if there are more than MaxListEntries hosts.
absl::StatusOr<messages::HostList> decodeHostList(std::string_view text);

/// Hosts on a list; the plan size is 13,000 over all zones.
inline constexpr std::size_t MaxListEntries = 65536;

} // namespace auburnroute::protocol
