#include "State/SettingsChange.h"

namespace auburnroute::state {

std::string_view toString(ChangeKind kind) {
  switch (kind) {
#define AUBURN_CHANGE(name)                                                    \
  case ChangeKind::name:                                                       \
    return #name
    AUBURN_CHANGE(RegionChanged);
    AUBURN_CHANGE(FlowSeedChanged);
    AUBURN_CHANGE(ZoneAdded);
    AUBURN_CHANGE(ZoneRemoved);
    AUBURN_CHANGE(ServiceAdded);
    AUBURN_CHANGE(ServiceRemoved);
    AUBURN_CHANGE(OwnerChanged);
    AUBURN_CHANGE(ListenerAdded);
    AUBURN_CHANGE(ListenerRemoved);
    AUBURN_CHANGE(ListenerChanged);
    AUBURN_CHANGE(BackendServerAdded);
    AUBURN_CHANGE(BackendServerRemoved);
    AUBURN_CHANGE(BackendServerDrained);
    AUBURN_CHANGE(BackendServerActivated);
    AUBURN_CHANGE(BackendServerReweighted);
    AUBURN_CHANGE(BackendServerChanged);
    AUBURN_CHANGE(PolicyChanged);
#undef AUBURN_CHANGE
  }
  return "Invalid";
}

std::string_view toString(WarningKind kind) {
  switch (kind) {
#define AUBURN_WARNING(name)                                                   \
  case WarningKind::name:                                                      \
    return #name
    AUBURN_WARNING(RevisionNotHigher);
    AUBURN_WARNING(FlowSeedChanged);
    AUBURN_WARNING(NumberReused);
    AUBURN_WARNING(RemovedWithoutDraining);
    AUBURN_WARNING(AddressMoved);
    AUBURN_WARNING(ListenerRemoved);
#undef AUBURN_WARNING
  }
  return "Invalid";
}

} // namespace auburnroute::state
