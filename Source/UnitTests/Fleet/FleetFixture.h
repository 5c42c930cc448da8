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

  std::vector<std::uint64_t> Versions;
  std::uint64_t ServerChanges = 0;
};

/// A view with its route table and server directory.
struct ViewFixture {
  routing::RouteTable Routes;
  routing::ServerDirectory Directory{std::chrono::seconds(65)};
  RecordingViewObserver Observer;
  fleet::FleetView View{Routes, Directory, Observer};

  /// State of server \p name; Lapsed if it is unknown.
  routing::ServerState stateOf(const std::string &name) const {
    const auto *it = Directory.findByName(name);
    return it == nullptr ? routing::ServerState::Lapsed
                         : it->Registration.State;
  }
};

inline routing::ServerRegistration
sampleServer(std::uint64_t identity, std::uint64_t revision,
             routing::ServerState state = routing::ServerState::Ready) {
  routing::ServerRegistration it;
  it.Name = "s" + std::to_string(identity);
  it.Identity = identity;
  it.Service = "orders";
  it.Zone = "a";
  it.Address = {static_cast<std::uint32_t>(0x0a000000 + identity), 8000};
  it.State = state;
  it.Revision = revision;
  return it;
}

inline routing::RoutingConfiguration
sampleConfiguration(std::uint64_t version) {
  routing::RoutingConfiguration it;
  it.Version = version;
  routing::Route route;
  route.Name = "r";
  route.Address = {0xc6120001, 443};
  route.Services.push_back({"orders", 1});
  it.Routes.push_back(route);
  return it;
}

/// An answer of the registry at \p revision.
inline fleet::RegistryPage
samplePage(std::uint64_t revision,
           std::vector<routing::ServerRegistration> servers,
           std::uint64_t version = 0) {
  fleet::RegistryPage page;
  page.Revision = revision;
  page.Servers = std::move(servers);
  if (version != 0)
    page.Configuration = sampleConfiguration(version);
  return page;
}

} // namespace auburnroute::unittests
