#pragma once

#include "Common/Clock.h"
#include "Fleet/RegistryCall.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnroute::unittests {

/// Model of a registry whose servers are modelled elsewhere: it stores what
/// they write, and lets entries expire, also while it is away.
class OpenFlowRegistry {
public:
  /// Stores \p entry until \p expiresAt. Its revision rises if the content
  /// differs from the stored one.
  void write(const routing::ServerRegistration &entry,
             common::TimePoint expiresAt);
  void remove(const std::string &name);
  void configure(const routing::RoutingConfiguration &configuration);
  void expire(common::TimePoint now);
  /// The answer to \p call, sent at \p sentAt; nullopt if a watch goes on.
  std::optional<fleet::RegistryPage> answer(const fleet::RegistryCall &call,
                                            common::TimePoint sentAt,
                                            common::TimePoint now) const;

  bool holds(const std::string &name) const { return Servers.contains(name); }

private:
  struct StoredServer {
    routing::ServerRegistration Entry;
    common::TimePoint ExpiresAt;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Name; ///< Empty: the configuration.
    std::optional<routing::ServerRegistration> Entry; ///< Unset: removed.
  };

  std::uint64_t Revision = 1;
  std::map<std::string, StoredServer> Servers;
  routing::RoutingConfiguration Configuration;
  std::vector<Event> Events;
};

} // namespace auburnroute::unittests
