#pragma once

#include "Common/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::state {

/// Kind of the flows through a listener.
enum class ListenerKind {
  Request, ///< One short exchange; takes a slot until the server ends it.
  Feed,    ///< A long-lived flow; takes a connection only.
};

/// What happens to a SYN that carries no TCP timestamps.
enum class TimestampMode {
  Refuse, ///< Answer with a reset.
  Hash,   ///< Place by hash; planned changes may break the flow.
};

/// State of a backend server that the operator asks for.
enum class BackendServerMode { Active, Draining };

/// Whether new flows may go to another availability zone.
enum class ZoneMode {
  Local,    ///< Own zone only.
  Failover, ///< Other zones when the own zone has no healthy backend server.
};

/// An address that callers connect to.
struct Listener {
  common::Endpoint Address;
  ListenerKind Kind = ListenerKind::Request;
  std::uint16_t BackendPort = 0; ///< Port of the backend servers behind it.

  bool operator==(const Listener &) const = default;
};

/// One backend server of a service.
struct BackendServer {
  std::string Name;
  std::uint16_t Number = 0; ///< 1 to 4095, unique in the service.
  std::string Zone;
  std::uint32_t Address = 0;   ///< IPv4 address that packets carry.
  common::Endpoint Tunnel;     ///< UDP endpoint that takes its packets.
  common::Endpoint LoadReport; ///< HTTP endpoint that serves GET /load.
  BackendServerMode Mode = BackendServerMode::Active;
  std::uint32_t Weight = 1;
  std::uint32_t Slots = 1;          ///< Requests it works on at once.
  std::uint32_t Connections = 2000; ///< Open flows it takes.

  bool operator==(const BackendServer &) const = default;
};

/// Values of a service that are resolved through the layers
/// defaults <- availability zone <- owner <- service.
struct ServicePolicy {
  std::uint32_t QueueLimit = 256; ///< SYNs held at once.
  std::chrono::milliseconds QueueTimeout{800};
  TimestampMode Timestamps = TimestampMode::Refuse;
  ZoneMode Zones = ZoneMode::Failover;
  std::chrono::milliseconds SlowStart{10000};
  std::chrono::milliseconds ReportInterval{1000};
  std::chrono::milliseconds ReportTtl{3000};
  std::uint32_t EjectAfter = 3; ///< Consecutive failures.
  std::chrono::milliseconds EjectFor{5000};
  double MaxEjectedShare = 0.3;         ///< 0 to 1.
  double AvailabilityObjective = 0.999; ///< Share of flows that end well.
  std::chrono::milliseconds WaitObjective{100};
  double WaitObjectiveShare = 0.99; ///< Share of flows placed in time.

  bool operator==(const ServicePolicy &) const = default;
};

/// A service with its listeners, backend servers and the policy that is in
/// force in each availability zone.
struct Service {
  std::string Name;
  std::string Owner;
  std::vector<Listener> Listeners;
  std::vector<BackendServer> BackendServers;
  std::vector<ServicePolicy> PolicyByZone; ///< Same order as Settings::Zones.

  bool operator==(const Service &) const = default;
};

/// A checked settings document.
struct Settings {
  std::uint64_t Revision = 0; ///< Strictly increasing over time.
  std::uint64_t Digest = 0;   ///< Hash of the document's canonical JSON.
  std::uint64_t FlowSeed = 0; ///< Seed of the flow hash.
  std::string Region;
  std::vector<std::string> Zones;
  std::vector<Service> Services;

  /// Index into Zones, or nothing if there is no such zone.
  std::optional<std::size_t> zoneIndex(std::string_view zone) const;
  /// The service of that name, or nullptr.
  const Service *findService(std::string_view name) const;
};

} // namespace auburnroute::state
