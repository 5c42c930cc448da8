#pragma once

#include "State/HostTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::membership {

/// Returns the two hosts (or one, alone in the zone) that read settings from
/// the platform; the same on all hosts with equal tables.
std::vector<std::string> selectSettingsReaders(const state::HostTable &hosts);

/// Hash of the host table, without dead hosts; equal on hosts with the same
/// view of the zone.
std::uint32_t computeViewDigest(const state::HostTable &hosts);

} // namespace auburnroute::membership
