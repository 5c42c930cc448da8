#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace auburnroute::reactor {

/// The value of \p key in the query of a request target ("a=1&b=2"); nullopt if
/// the key is missing or its value is not an unsigned 64-bit number.
std::optional<std::uint64_t> numberInQuery(std::string_view query,
                                           std::string_view key);

} // namespace auburnroute::reactor
