#pragma once

#include "Coordination/Messages/HostList.h"

#include "absl/status/statusor.h"

#include <string_view>

namespace auburnroute::protocol {

/// Decodes the platform's response to GET /hosts. Unknown members are ignored,
/// so that the platform can add members. Errors: InvalidArgument, naming the
/// entry and the member, if a member is missing or malformed, or if an array
/// has more than MaxListEntries elements.
absl::StatusOr<messages::HostList> decodeHostList(std::string_view text);

/// Maximum number of elements of each array. The system is planned for 13,000
/// hosts over all zones.
inline constexpr std::size_t MaxListEntries = 65536;

} // namespace auburnroute::protocol
