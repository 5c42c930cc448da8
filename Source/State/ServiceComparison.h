#pragma once

#include "State/Settings.h"
#include "State/SettingsChange.h"

#include <vector>

namespace auburnroute::state {

/// Lists the differences of one service that is in two settings.
class ServiceComparison {
public:
  /// Both services must be part of their settings.
  ServiceComparison(const Settings &oldSettings, const Service &oldService,
                    const Settings &newSettings, const Service &newService);

  const std::vector<SettingsChange> &changes() const { return Changes; }
  const std::vector<SettingsWarning> &warnings() const { return Warnings; }

private:
  void compareOwners();
  void compareListeners();
  void compareBackendServers();
  void compareBackendServer(const BackendServer &before,
                            const BackendServer &after);
  void addRemovedServer(const BackendServer &server);
  void comparePolicies();

  const Settings &OldSettings;
  const Settings &NewSettings;
  const Service &Old;
  const Service &New;
  std::vector<SettingsChange> Changes;
  std::vector<SettingsWarning> Warnings;
};

} // namespace auburnroute::state
