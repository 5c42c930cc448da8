#pragma once

#include "State/AffectedFlowShares.h"
#include "State/Settings.h"
#include "State/SettingsChange.h"

#include <optional>
#include <string>
#include <vector>

namespace auburnroute::state {

/// Differences of one service.
struct ServiceDiff {
  std::string Name;
  std::vector<SettingsChange> Changes;
  /// Nothing if the service is added or removed.
  std::optional<AffectedFlowShares> Shares;
};

/// Differences between two settings documents and their risks.
struct SettingsDiff {
  std::uint64_t OldRevision = 0;
  std::uint64_t NewRevision = 0;
  std::vector<SettingsChange> Changes; ///< Outside services.
  std::vector<ServiceDiff> Services;   ///< With changes only, by name.
  std::vector<SettingsWarning> Warnings;

  /// Whether the settings differ in more than the revision.
  bool empty() const { return Changes.empty() && Services.empty(); }

  static SettingsDiff between(const Settings &before, const Settings &after);
};

} // namespace auburnroute::state
