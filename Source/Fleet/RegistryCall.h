#pragma once

#include "Routing/BackendServer.h"
#include "Routing/RouteTable.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnroute::fleet {

enum class RegistryCallKind : std::uint8_t {
  List,  ///< All servers and the configuration, in pages.
  Watch, ///< Changes of servers and configuration after a revision.
};

/// One read of the registry.
struct RegistryCall {
  RegistryCallKind Kind = RegistryCallKind::List;
  std::string After;          ///< List: where the page begins; empty at first.
  std::uint64_t Revision = 0; ///< Watch: the last revision that is known.
  std::chrono::milliseconds Wait{0};    ///< Watch: time to wait for a change.
  std::chrono::milliseconds Timeout{0}; ///< Without an answer it has failed.
};

/// A removed entry.
struct RegistryRemoval {
  std::string Name;
  std::uint64_t Revision = 0;
};

/// The answer to a call.
struct RegistryPage {
  std::uint64_t Revision = 0; ///< Of the registry at the time of the answer.
  std::vector<routing::ServerRegistration> Servers;
  std::vector<RegistryRemoval> Removed;
  std::optional<routing::RoutingConfiguration> Configuration;
  std::string LastKey; ///< List: where the next page begins.
  bool HasMore = false;
  std::uint32_t Unreadable = 0; ///< Entries that were left out.
};

/// How a call failed.
enum class RegistryFailure : std::uint8_t {
  Unreachable, ///< No answer in time, or the connection broke.
  Refused,     ///< Turned away: too many calls, or not served.
  Compacted,   ///< The history after the revision is gone.
  Malformed,   ///< The answer could not be read.
};

} // namespace auburnroute::fleet
