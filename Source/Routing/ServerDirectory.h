#pragma once

#include "Common/Clock.h"
#include "Routing/BackendServer.h"
#include "Routing/NameTable.h"
#include "Routing/ServerTag.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace auburnroute::routing {

/// Index of a backend server in the directory. Not used again for another one
/// until the server was forgotten, long after its flows ended.
using ServerId = std::uint32_t;

/// A backend server as this host knows it.
struct KnownServer {
  ServerRegistration Registration;
  NameTable::Id Service = 0;
  NameTable::Id Zone = 0;
  std::uint32_t Tag = ServerTag::None; ///< Written into the echo of new flows.
  common::TimePoint FirstSeen;
  common::TimePoint ColdUntil;
  common::TimePoint LapsedAt; ///< Valid in state Lapsed.
  bool Used = false; ///< Whether this allocateId of the directory is taken.
  /// Lapsed straight from Ready, as by a crash or a fault of the registry.
  bool LapsedWithoutDraining = false;
};

/// What a change to the directory did.
enum class DirectoryChange {
  None,      ///< Known already, or older than what is known.
  Refreshed, ///< Newer, with the same content.
  Added,
  Updated,   ///< Fields changed.
  Restarted, ///< The same name with another lifetime: it holds no flows.
  Draining,
  Lapsed,
};

/// All backend servers, by name, identity and tag.
///
/// The registrations are last-writer-wins by revision, so that they may arrive
/// from the registry and from peers in any order. Servers whose entry is gone
/// are kept for the life of their flows.
class ServerDirectory {
public:
  /// \p retention: how long a lapsed server is remembered.
  explicit ServerDirectory(std::chrono::seconds retention)
      : Retention(retention) {}

  /// Takes over a registration of any state if it is newer.
  DirectoryChange apply(const ServerRegistration &registration,
                        common::TimePoint now);
  /// Records that the entry \p name was removed at \p revision. Remembered for
  /// names that are not known, so that an older entry does not add them.
  DirectoryChange remove(std::string_view name, std::uint64_t revision,
                         common::TimePoint now);
  /// Forgets lapsed servers after the retention. Returns the highest revision
  /// of those that it forgot, 0 if there are none.
  std::uint64_t expire(common::TimePoint now);

  /// The server that \p tag names; ties are broken in favour of \p service,
  /// then of the server that was known first, since the writer of the tag did
  /// not know the other one. nullptr if there is none.
  const KnownServer *findByTag(std::uint32_t tag, NameTable::Id service) const;
  /// nullptr if there is none.
  const KnownServer *findByIdentity(std::uint64_t identity) const;
  const KnownServer *findByName(std::string_view name) const;
  const KnownServer &at(ServerId id) const { return Servers[id]; }
  ServerId idOf(const KnownServer &server) const {
    return static_cast<ServerId>(&server - Servers.data());
  }
  /// The servers of \p service in any state.
  const std::vector<ServerId> &serversOf(NameTable::Id service) const;
  /// All places, including unused ones.
  const std::vector<KnownServer> &all() const { return Servers; }
  std::size_t readyCount() const;

  NameTable &serviceNames() { return Services; }
  const NameTable &serviceNames() const { return Services; }
  NameTable &zoneNames() { return Zones; }
  const NameTable &zoneNames() const { return Zones; }

private:
  ServerId allocateId();
  void addToIndexes(ServerId id);
  void removeFromIndexes(ServerId id);
  DirectoryChange update(KnownServer &server, const ServerRegistration &it,
                         common::TimePoint now);

  std::chrono::seconds Retention;
  NameTable Services;
  NameTable Zones;
  std::vector<KnownServer> Servers;
  std::vector<ServerId> FreeIds;
  absl::flat_hash_map<std::string, ServerId> ByName;
  absl::flat_hash_map<std::uint32_t, std::vector<ServerId>> ByTag;
  std::vector<std::vector<ServerId>> ByService;
};

} // namespace auburnroute::routing
