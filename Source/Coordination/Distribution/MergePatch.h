#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace auburnroute::distribution {

/// Returns the JSON merge patch (RFC 7386) that turns \p from into \p to, or
/// nothing if none exists: a merge patch cannot set a member to null.
std::optional<nlohmann::json> makeMergePatch(const nlohmann::json &from,
                                             const nlohmann::json &to);

} // namespace auburnroute::distribution
