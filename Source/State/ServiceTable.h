#pragma once

#include "State/Settings.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <span>
#include <vector>

namespace auburnroute::state {

/// Values of a backend server that the packet path uses.
struct BackendServerEntry {
  std::uint32_t Address = 0; ///< IPv4 address, host byte order.
  common::Endpoint Tunnel;
  std::uint32_t Service = 0; ///< Index of the service in the settings.
  std::uint32_t Id = 0;      ///< Index over all backend servers of the table.
  std::uint16_t Number = 0;
  std::uint32_t Weight = 1;
  BackendServerMode Mode = BackendServerMode::Active;
};

/// Values of a listener that the packet path uses.
struct ListenerEntry {
  common::Endpoint Address;
  std::uint32_t Service = 0;
  std::uint16_t BackendPort = 0;
  ListenerKind Kind = ListenerKind::Request;
  TimestampMode Timestamps = TimestampMode::Refuse;
};

/// Origin of a packet that a backend server sent.
struct FlowSource {
  const BackendServerEntry *BackendServer = nullptr;
  const ListenerEntry *Listener = nullptr;
};

/// Immutable look-up tables of one settings revision.
///
/// Built by the control thread, shared with the traffic threads and never
/// changed afterwards.
class ServiceTable {
public:
  /// \p zone is the availability zone whose policies apply; a zone that the
  /// settings do not name gets the default policy.
  ///
  /// Listeners and backend servers with an address that is used twice, and
  /// backend servers with a number outside 1 to 4095, are left out: their
  /// packets could not be attributed to one service. The settings checker
  /// refuses such settings; this guards against faults of that checker.
  ServiceTable(const Settings &settings, std::string_view zone);

  /// The listener at \p address, or nullptr.
  const ListenerEntry *findListener(common::Endpoint address) const;
  /// The backend server and listener that packets from \p source belong to;
  /// the pointers are null if there is none.
  FlowSource findSource(common::Endpoint source) const;
  /// The backend server with \p number in \p service, or nullptr.
  const BackendServerEntry *findBackendServer(std::uint32_t service,
                                              std::uint16_t number) const;
  /// All backend servers of \p service, ordered by number.
  std::span<const BackendServerEntry>
  backendServersOf(std::uint32_t service) const;
  /// All backend servers of the table; the index is the entry's Id.
  std::span<const BackendServerEntry> backendServers() const {
    return BackendServers;
  }
  std::size_t serviceCount() const { return FirstOfService.size() - 1; }
  std::uint64_t revision() const { return Revision; }
  std::uint64_t flowSeed() const { return FlowSeed; }

private:
  std::uint64_t Revision;
  std::uint64_t FlowSeed;
  std::vector<ListenerEntry> Listeners;
  std::vector<BackendServerEntry> BackendServers; ///< By service and number.
  std::vector<std::uint32_t> FirstOfService;      ///< Into BackendServers.
  struct SourceIds {
    std::uint32_t BackendServer;
    std::uint32_t Listener;
  };
  absl::flat_hash_map<std::uint64_t, std::uint32_t> ListenerByAddress;
  absl::flat_hash_map<std::uint64_t, SourceIds> SourceByAddress;
};

} // namespace auburnroute::state
