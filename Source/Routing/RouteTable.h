#pragma once

#include "Common/Endpoint.h"
#include "Common/Text.h"
#include "Routing/NameTable.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::routing {

/// Whether requests of a route may be retried.
enum class RequestKind : std::uint8_t { Idempotent, NonIdempotent, Download };

/// Share of a route's new flows that goes to one service.
struct ServiceShare {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// A service address with the services that serve it.
struct Route {
  std::string Name;
  common::Endpoint Address;
  RequestKind Kind = RequestKind::Idempotent;
  std::chrono::milliseconds Timeout{0};   ///< Time limit of a request.
  std::chrono::milliseconds Objective{0}; ///< Latency objective of a request.
  /// Importance of the requests; 0 is the highest.
  std::uint32_t Priority = DefaultPriority;
  std::vector<ServiceShare> Services; ///< At least one.

  /// Of routes that state none.
  static constexpr std::uint32_t DefaultPriority = 2;
};

/// What a service's servers bear while they are cold.
struct ColdStartLimit {
  std::string Service;
  /// How long a server is cold after its start.
  std::chrono::milliseconds Duration{0};
  /// New flows a second that a cold server bears.
  double FlowsPerSecond = 0;
};

/// One version of the routing configuration.
struct RoutingConfiguration {
  std::uint64_t Version = 0; ///< 0 if none is known.
  std::vector<Route> Routes;
  /// Of the services that limit the rate of new flows to cold servers.
  std::vector<ColdStartLimit> ColdStarts;
  /// A flow that was idle for longer may be discarded.
  std::chrono::milliseconds IdleTimeout{15000};
};

/// The active configuration. Its version only increases.
class RouteTable {
public:
  /// Activates \p configuration if it is newer. Returns whether it was.
  bool apply(RoutingConfiguration configuration);

  /// The route at \p address, or nullptr.
  const Route *find(common::Endpoint address) const;
  /// Whether an earlier configuration of this host had a route at \p address
  /// and the active one has none. A route that another host knows from a later
  /// configuration is not a removed one.
  bool wasRemoved(common::Endpoint address) const {
    return RemovedAddresses.contains(address.key());
  }
  /// Whether a route of the active configuration sends flows to \p service.
  bool isRouted(std::string_view service) const {
    return RoutedServices.contains(common::toAbsl(service));
  }
  std::uint64_t version() const { return Configuration.Version; }
  const RoutingConfiguration &configuration() const { return Configuration; }

private:
  /// Bounds RemovedAddresses over the life of a process. Addresses beyond it
  /// count as unknown, so that their flows end by the callers' timeouts.
  static constexpr std::size_t MaxRemovedAddresses = 65536;

  RoutingConfiguration Configuration;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> ByAddress;
  absl::flat_hash_set<std::string> RoutedServices;
  absl::flat_hash_set<std::uint64_t> RemovedAddresses;
};

} // namespace auburnroute::routing
