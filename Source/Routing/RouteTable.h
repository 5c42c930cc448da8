#pragma once

#include "Common/Endpoint.h"
#include "Routing/NameTable.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <string>
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
  std::vector<ServiceShare> Services;     ///< At least one.
};

/// One version of the routing configuration.
struct RoutingConfiguration {
  std::uint64_t Version = 0; ///< 0 if none is known.
  std::vector<Route> Routes;
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
  std::uint64_t version() const { return Configuration.Version; }
  const RoutingConfiguration &configuration() const { return Configuration; }

private:
  RoutingConfiguration Configuration;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> ByAddress;
};

} // namespace auburnroute::routing
