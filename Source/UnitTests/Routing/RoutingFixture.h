#pragma once

#include "Common/ManualClock.h"
#include "Routing/PacketRouter.h"
#include "Routing/ServerPlacement.h"

#include <string>
#include <vector>

namespace auburnroute::unittests {

/// Records what a router reports.
class RecordingObserver final : public routing::RoutingObserver {
public:
  void onPlaced(const routing::FlowId &, routing::ServerId server,
                std::uint32_t) override {
    Placed.push_back(server);
  }
  void onRefused(const routing::RefusedPacket &packet) override {
    Refused.push_back(packet.Why);
  }
  void onSuspected(const routing::FlowId &, routing::ServerId server,
                   routing::SuspicionReason,
                   std::chrono::milliseconds) override {
    Suspected.push_back(server);
  }
  void onSuspicionCleared(routing::ServerId server) override {
    Cleared.push_back(server);
  }
  void onAnswered(const routing::FlowId &, routing::ServerId,
                  std::chrono::milliseconds,
                  std::chrono::milliseconds) override {}

  std::vector<routing::ServerId> Placed;
  std::vector<routing::RefusalReason> Refused;
  std::vector<routing::ServerId> Suspected;
  std::vector<routing::ServerId> Cleared;
};

/// A router in zone "a" with the services "orders" (198.18.0.1:443) and
/// "sheets" (198.18.0.2:443).
struct RoutingFixture {
  static constexpr common::Endpoint Orders{0xc6120001, 443};
  static constexpr common::Endpoint Sheets{0xc6120002, 443};

  explicit RoutingFixture(std::uint64_t seed = 1)
      : Placement(Directory, Health, Directory.zoneNames().idOf("a"), seed),
        Router(Routes, Directory, Health, Placement, Observer) {
    configure(1);
  }

  static routing::Route route(const std::string &service,
                              common::Endpoint address) {
    routing::Route route;
    route.Name = service;
    route.Address = address;
    route.Objective = std::chrono::milliseconds(100);
    route.Timeout = std::chrono::milliseconds(500);
    route.Services.push_back({service, 1});
    return route;
  }
  void configure(std::uint64_t version, bool withSheets = true) {
    routing::RoutingConfiguration configuration;
    configuration.Version = version;
    configuration.Routes.push_back(route("orders", Orders));
    if (withSheets)
      configuration.Routes.push_back(route("sheets", Sheets));
    Routes.apply(configuration);
  }
  /// Registers server "s<identity>" with an address derived from \p identity.
  routing::ServerId
  add(std::uint64_t identity, const std::string &service = "orders",
      const std::string &zone = "a",
      routing::ServerState state = routing::ServerState::Ready) {
    routing::ServerRegistration server;
    server.Name = "s" + std::to_string(identity);
    server.Identity = identity;
    server.Service = service;
    server.Zone = zone;
    server.Slots = 2;
    server.State = state;
    // 10.0.0.0 + identity
    server.Address = {static_cast<std::uint32_t>(0x0a000000 + identity), 8000};
    server.Revision = ++Revision;
    Directory.apply(server, Clock.now());
    return Directory.idOf(*Directory.findByName(server.Name));
  }
  void lapse(std::uint64_t identity) {
    Directory.apply(
        routing::removalOf("s" + std::to_string(identity), 0, ++Revision),
        Clock.now());
  }

  routing::FlowPacket packet(std::uint16_t port,
                             common::Endpoint to = Orders) const {
    routing::FlowPacket it;
    // Seven callers, so that each has several flows.
    it.Source = {0x64400000U + port % 7, port};
    it.Destination = to;
    it.Sequence = 1000;
    return it;
  }
  routing::RoutingOutcome syn(std::uint16_t port, std::uint32_t copy = 0,
                              common::Endpoint to = Orders) {
    auto it = packet(port, to);
    it.Syn = true;
    it.Acknowledgement = copy;
    return Router.onPacket(it, Clock.now());
  }
  routing::RoutingOutcome data(std::uint16_t port, std::uint32_t echo,
                               std::uint32_t sequence, std::uint32_t ack,
                               std::uint16_t size,
                               common::Endpoint to = Orders) {
    auto it = packet(port, to);
    it.Ack = true;
    it.Echo = echo;
    it.Sequence = sequence;
    it.Acknowledgement = ack;
    it.PayloadSize = size;
    return Router.onPacket(it, Clock.now());
  }
  /// Completes the handshake of a flow to \p to and sends a request on it.
  void request(std::uint16_t port, const routing::ForwardPacket &to) {
    data(port, to.Tag, 1000, 5000, 0);
    data(port, to.Tag, 1000, 5000, 100);
  }

  common::ManualClock Clock;
  std::uint64_t Revision = 0;
  routing::RouteTable Routes;
  routing::ServerDirectory Directory{std::chrono::seconds(65)};
  routing::ServerHealthTracker Health;
  RecordingObserver Observer;
  routing::ServerPlacement Placement;
  routing::PacketRouter Router;
};

/// The ForwardPacket of \p outcome, or one with an invalid server id if the
/// packet was not forwarded.
inline routing::ForwardPacket
forwardOf(const routing::RoutingOutcome &outcome) {
  const auto *it = std::get_if<routing::ForwardPacket>(&outcome);
  return it == nullptr ? routing::ForwardPacket{~0U, 0} : *it;
}

} // namespace auburnroute::unittests
