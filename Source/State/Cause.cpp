#include "State/Cause.h"

namespace auburnroute::state {

std::string_view toString(Cause cause) {
  switch (cause) {
#define AUBURN_CAUSE(name)                                                     \
  case Cause::name:                                                            \
    return #name
    AUBURN_CAUSE(None);
    AUBURN_CAUSE(Truncated);
    AUBURN_CAUSE(NotIpv4);
    AUBURN_CAUSE(NotTcp);
    AUBURN_CAUSE(Fragment);
    AUBURN_CAUSE(BadHeader);
    AUBURN_CAUSE(UnknownAddress);
    AUBURN_CAUSE(UnknownSource);
    AUBURN_CAUSE(MissingTag);
    AUBURN_CAUSE(UnknownTag);
    AUBURN_CAUSE(BackendServerMoved);
    AUBURN_CAUSE(BadHandOver);
    AUBURN_CAUSE(Unconfirmed);
    AUBURN_CAUSE(NoSettings);
    AUBURN_CAUSE(MissingTimestamps);
    AUBURN_CAUSE(NoBackendServer);
    AUBURN_CAUSE(QueueFull);
    AUBURN_CAUSE(QueueTimeout);
    AUBURN_CAUSE(ConnectionLimit);
    AUBURN_CAUSE(NoRoute);
    AUBURN_CAUSE(RouteRemoved);
    AUBURN_CAUSE(UnknownServer);
    AUBURN_CAUSE(BackendServerRefused);
    AUBURN_CAUSE(BackendServerReset);
    AUBURN_CAUSE(BackendServerDown);
    AUBURN_CAUSE(SynUnanswered);
    AUBURN_CAUSE(AnsweredLate);
    AUBURN_CAUSE(BackendServerSilent);
    AUBURN_CAUSE(BackendServerLapsed);
    AUBURN_CAUSE(BackendServerDraining);
    AUBURN_CAUSE(BackendServerEjected);
    AUBURN_CAUSE(HostStarted);
    AUBURN_CAUSE(HostDead);
    AUBURN_CAUSE(HostPaused);
    AUBURN_CAUSE(HostLeaving);
    AUBURN_CAUSE(PlatformUnreachable);
    AUBURN_CAUSE(SettingsRefused);
    AUBURN_CAUSE(SettingsApplied);
    AUBURN_CAUSE(StopTimeout);
    AUBURN_CAUSE(PlatformRestored);
#undef AUBURN_CAUSE
  case Cause::Count:
    break;
  }
  return "Invalid";
}

} // namespace auburnroute::state
