#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace auburnroute::distribution {

/// The JSON merge patch (RFC 7386) that turns \p from into \p to, or nothing
/// if there is none, which is so when \p to has a null value to be set.
std::optional<nlohmann::json> makeMergePatch(const nlohmann::json &from,
                                             const nlohmann::json &to);

} // namespace auburnroute::distribution
