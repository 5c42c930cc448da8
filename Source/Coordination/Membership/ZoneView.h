#pragma once

#include "State/HostTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::membership {

/// The two hosts (or one, alone in the zone) that read the platform; the same
/// on all hosts with equal tables.
std::vector<std::string> selectSettingsReaders(const state::HostTable &hosts);

/// Equal on hosts that know the same of the zone. Dead hosts do not count.
std::uint32_t computeViewDigest(const state::HostTable &hosts);

} // namespace auburnroute::membership
