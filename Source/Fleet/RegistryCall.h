#pragma once

#include "Fleet/EntryRejection.h"
#include "Routing/BackendServer.h"
#include "Routing/RouteTable.h"
#include "Routing/ZoneEvacuations.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnroute::fleet {

enum class RegistryCallKind : std::uint8_t {
  List,  ///< Reads all servers and the configuration, in pages.
  Watch, ///< Waits for changes of servers and configuration after a revision.
};

/// One read of the registry.
struct RegistryCall {
  RegistryCallKind Kind = RegistryCallKind::List;
  /// List: key after which the page begins; empty for the first page.
  std::string After;
  std::uint64_t Revision = 0; ///< Watch: the last known revision.
  /// Watch: how long the registry waits for a change.
  std::chrono::milliseconds Wait{0};
  /// The call fails if there is no answer within this time.
  std::chrono::milliseconds Timeout{0};
};

/// A registry entry that was removed or became unreadable.
struct RegistryRemoval {
  std::string Name;
  std::uint64_t Revision = 0;
  /// The entry still exists but does not name a usable server.
  bool IsUnreadable = false;
};

/// The answer to a RegistryCall.
struct RegistryPage {
  /// Revision of the registry at the time of the answer.
  std::uint64_t Revision = 0;
  /// History that the revisions belong to. It rises when the registry is
  /// restored from a backup: revisions then go back and are given out again.
  std::uint64_t Era = 0;
  std::vector<routing::ServerRegistration> Servers;
  std::vector<RegistryRemoval> Removed;
  std::optional<routing::RoutingConfiguration> Configuration;
  /// Evacuations of zones, and the ends of such.
  std::vector<routing::ZoneEvacuation> Evacuations;
  std::string LastKey; ///< List: key after which the next page begins.
  bool HasMore = false;
  /// Number of entries that were skipped because they could not be parsed.
  std::uint32_t Unreadable = 0;
  /// The first of them, at most MaxRejected, for the log.
  std::vector<RejectedEntry> Rejected;
  static constexpr std::size_t MaxRejected = 8;
};

/// Why a call failed.
enum class RegistryFailure : std::uint8_t {
  Unreachable, ///< Timeout or connection failure.
  Refused,     ///< Rejected by the registry: too many calls, or not available.
  Compacted,   ///< The registry has compacted its history beyond the requested
               ///< revision.
  Malformed,   ///< The answer could not be parsed.
  TooLarge,    ///< The answer exceeds the size limit of a body.
  Outdated,    ///< The answer is of an era before the known one.
};

} // namespace auburnroute::fleet
