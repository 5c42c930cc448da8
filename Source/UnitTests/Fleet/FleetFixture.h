#pragma once

#include "Common/ManualClock.h"
#include "Fleet/FleetView.h"

#include <string>
#include <vector>

namespace auburnroute::unittests {

/// Records what a view reports.
class RecordingViewObserver final : public fleet::ViewObserver {
public:
  void onConfiguration(std::uint64_t version) override {
    Versions.push_back(version);
  }
  void onServer(const routing::ServerRegistration &,
                routing::DirectoryChange) override {
    ++ServerChanges;
  }
  void onServerRefused(const routing::ServerRegistration &) override {
    ++Refused;
  }
  void onEvacuation(const routing::ZoneEvacuation &evacuation) override {
    Evacuations.push_back(evacuation);
  }
  void onEvacuationRefused(const routing::ZoneEvacuation &) override {
    ++Refused;
  }
  void onEra(const fleet::EraChange &change) override {
    Eras.push_back(change.To);
  }
  void onEraReconciled(const fleet::EraReconciliation &result) override {
    Reconciliations.push_back(result);
  }

  std::vector<std::uint64_t> Versions;
  std::uint64_t ServerChanges = 0;
  std::uint64_t Refused = 0;
  std::vector<routing::ZoneEvacuation> Evacuations;
  std::vector<std::uint64_t> Eras;
  std::vector<fleet::EraReconciliation> Reconciliations;
};

/// How long the directory of a fixture keeps lapsed servers.
inline constexpr std::chrono::seconds LapsedServerRetention{65};

/// A view with its route table and server directory.
struct ViewFixture {
  routing::RouteTable Routes;
  routing::ServerDirectory Directory{LapsedServerRetention};
  RecordingViewObserver Observer;
  fleet::FleetView View{Routes, Directory, Observer};

  /// State of server \p name. Lapsed also stands for a server that the
  /// directory never had.
  routing::ServerState stateOf(const std::string &name) const {
    const auto *server = Directory.findByName(name);
    return server == nullptr ? routing::ServerState::Lapsed
                             : server->Registration.State;
  }
};

inline routing::ServerRegistration
sampleServer(std::uint64_t identity, std::uint64_t revision,
             routing::ServerState state = routing::ServerState::Ready) {
  routing::ServerRegistration server;
  server.Name = "s" + std::to_string(identity);
  server.Identity = identity;
  server.Service = "orders";
  server.Zone = "a";
  // 10.0.0.0 + identity
  server.Address = {static_cast<std::uint32_t>(0x0a000000 + identity), 8000};
  server.State = state;
  server.Revision = revision;
  return server;
}

inline routing::RoutingConfiguration
sampleConfiguration(std::uint64_t version) {
  routing::RoutingConfiguration configuration;
  configuration.Version = version;
  routing::Route route;
  route.Name = "r";
  route.Address = {0xc6120001, 443}; // 198.18.0.1
  route.Services.push_back({"orders", 1});
  configuration.Routes.push_back(route);
  return configuration;
}

/// An answer of the registry at \p revision; without a configuration if
/// \p configurationVersion is 0.
inline fleet::RegistryPage
samplePage(std::uint64_t revision,
           std::vector<routing::ServerRegistration> servers,
           std::uint64_t configurationVersion = 0) {
  fleet::RegistryPage page;
  page.Revision = revision;
  page.Servers = std::move(servers);
  if (configurationVersion != 0)
    page.Configuration = sampleConfiguration(configurationVersion);
  return page;
}

} // namespace auburnroute::unittests
