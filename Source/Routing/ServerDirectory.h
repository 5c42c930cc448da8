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

/// Index of a backend server in the directory. Reused only after the server was
/// discarded, long after its flows ended.
using ServerId = std::uint32_t;

/// A backend server with what this host knows about it.
struct KnownServer {
  ServerRegistration Registration;
  NameTable::Id Service = 0;
  NameTable::Id Zone = 0;
  std::uint32_t Tag = ServerTag::None; ///< Tag that new flows get.
  common::TimePoint FirstSeen;
  common::TimePoint RunSeenAt; ///< When its current run became known.
  common::TimePoint ColdUntil;
  /// An entry of its current run stated a warm-up time.
  bool HasStatedWarmUp = false;
  common::TimePoint LapsedAt; ///< Valid in state Lapsed.
  bool IsOccupied = false;    ///< This slot of the directory holds a server.
  /// Another server has registered with its address since.
  bool IsAddressReused = false;

  /// Whether it announced the end of the run that \p registration shows as
  /// ready. A run does not become ready again.
  bool hasLeft(const ServerRegistration &registration) const {
    const bool isLeaving = Registration.State == ServerState::Draining ||
                           (Registration.State == ServerState::Lapsed &&
                            !Registration.HasLapsedUnannounced);
    return isLeaving && Registration.Identity != 0 &&
           registration.State == ServerState::Ready &&
           Registration.StartTimeMs == registration.StartTimeMs;
  }
};

/// Effect of an update on the directory.
enum class DirectoryChange {
  None,      ///< Same as or older than the known revision.
  Refreshed, ///< Newer revision with the same content.
  Added,
  Updated,   ///< Fields changed.
  Restarted, ///< Same name, other start time: it holds no flows.
  Draining,
  Lapsed,
};

/// All backend servers, indexed by name, identity and tag.
///
/// The highest revision of a registration wins, so updates may arrive from the
/// registry and from peers in any order. Revisions of different eras are not
/// compared: there the order in which the server wrote the entries decides.
/// Servers whose entry was removed are kept while their flows may be open.
class ServerDirectory {
public:
  /// \p retention: how long a lapsed server is kept.
  explicit ServerDirectory(std::chrono::seconds retention)
      : Retention(retention) {}

  /// Stores a registration in any state if it is newer than the known one.
  DirectoryChange apply(const ServerRegistration &registration,
                        common::TimePoint now);
  /// Stores a registration that the registry holds, whatever is known of the
  /// server. Used when a restored registry has had the time to get the newest
  /// entries again.
  DirectoryChange confirm(const ServerRegistration &registration,
                          common::TimePoint now);
  /// Keeps the address of a server whose entry the registry does not hold any
  /// more, as a peer told it, so that its open flows are forwarded. Does not
  /// change what is known of the server.
  void rememberLapsed(const ServerRegistration &registration,
                      common::TimePoint now);
  /// Discards lapsed servers after the retention time. Returns the highest
  /// revision of \p era among those discarded, 0 if there are none.
  std::uint64_t discardExpired(common::TimePoint now, std::uint64_t era);

  /// The server that \p tag identifies, or nullptr. If several match, one of \p
  /// service is preferred, then the one known longest, since the host that
  /// wrote the tag did not know the other.
  const KnownServer *findByTag(std::uint32_t tag, NameTable::Id service) const;
  /// All servers that \p tag may identify.
  const std::vector<ServerId> &serversWithTag(std::uint32_t tag) const;
  /// The server with \p identity, or nullptr.
  const KnownServer *findByIdentity(std::uint64_t identity) const;
  /// The server named \p name, or nullptr.
  const KnownServer *findByName(std::string_view name) const;
  const KnownServer &at(ServerId id) const { return Servers[id]; }
  ServerId idOf(const KnownServer &server) const {
    return static_cast<ServerId>(&server - Servers.data());
  }
  /// The servers of \p service in any state.
  const std::vector<ServerId> &serversOf(NameTable::Id service) const;
  /// All slots, including unused ones.
  const std::vector<KnownServer> &all() const { return Servers; }
  std::size_t readyCount() const;
  std::chrono::seconds retention() const { return Retention; }
  /// Number of servers in any state.
  std::size_t size() const { return ByName.size(); }
  /// Sum of the lengths of the names of all servers, their services and zones.
  std::size_t nameBytes() const { return NameBytes; }

  NameTable &serviceNames() { return Services; }
  const NameTable &serviceNames() const { return Services; }
  NameTable &zoneNames() { return Zones; }
  const NameTable &zoneNames() const { return Zones; }

private:
  /// Returns a free slot.
  ServerId allocateId();
  void addToIndexes(ServerId id);
  void removeFromIndexes(ServerId id);
  /// Updates ByAddress and IsAddressReused after a new entry of \p id.
  void claimAddress(ServerId id);
  /// Removes \p id from ByAddress.
  void releaseAddress(ServerId id);
  /// Whether \p next takes the place of \p known.
  static bool replaces(const ServerRegistration &next,
                       const ServerRegistration &known);
  /// Applies a registration in state Lapsed. For an unknown name this leaves a
  /// tombstone, so that an older entry does not add the server.
  DirectoryChange remove(const ServerRegistration &lapsed,
                         common::TimePoint now);
  DirectoryChange add(const ServerRegistration &registration,
                      common::TimePoint now);
  /// A new slot for the server of \p registration, without an address.
  KnownServer &addLapsed(const ServerRegistration &registration,
                         common::TimePoint now);
  /// Takes service, zone and address from \p registration.
  void fillAddress(KnownServer &server, const ServerRegistration &registration);
  /// Stores \p registration and returns how it differs from what was known.
  DirectoryChange store(KnownServer &server,
                        const ServerRegistration &registration,
                        common::TimePoint now);

  std::chrono::seconds Retention;
  std::size_t NameBytes = 0;
  NameTable Services;
  NameTable Zones;
  std::vector<KnownServer> Servers;
  std::vector<ServerId> FreeIds;
  absl::flat_hash_map<std::string, ServerId> ByName;
  /// The server with the newest entry of each address, by Endpoint::key().
  absl::flat_hash_map<std::uint64_t, ServerId> ByAddress;
  absl::flat_hash_map<std::uint32_t, std::vector<ServerId>> ByTag;
  std::vector<std::vector<ServerId>> ByService;
};

} // namespace auburnroute::routing
