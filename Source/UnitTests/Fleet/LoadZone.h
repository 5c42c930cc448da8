#pragma once

#include "Common/ManualClock.h"
#include "Fleet/GossipCodec.h"
#include "Fleet/LoadExchange.h"
#include "UnitTests/Fleet/FleetFixture.h"

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace auburnroute::unittests {

/// Hosts of one or more zones that exchange loads. Messages are encoded, arrive
/// at the next step and may be lost. Each zone has serverCount servers with two
/// slots; the flows and requests of hosts are set by the test.
class LoadZone {
public:
  static constexpr std::chrono::milliseconds Step{50};
  static constexpr std::uint32_t FirstAddress = 0x0a010001; // 10.1.0.1

  struct Host {
    Host(const fleet::PeerInfo &self, std::uint64_t seed)
        : Peers(self, seed), Loads(Peers, Directory, Health, seed) {}

    routing::ServerDirectory Directory{LapsedServerRetention};
    routing::ServerHealthTracker Health;
    fleet::PeerTable Peers;
    fleet::LoadExchange Loads;
    bool IsDown = false; ///< Neither sends nor receives.
    bool IsMute = false; ///< Its messages are lost, its heartbeat is known.
    std::size_t Bytes = 0;
    std::size_t Messages = 0;
  };

  LoadZone(std::size_t hostsPerZone, std::size_t serversPerZone,
           std::vector<std::string> zones = {"a"}, std::uint64_t seed = 1)
      : Random(seed) {
    for (std::size_t n = 0; n < hostsPerZone * zones.size(); ++n)
      Hosts.push_back(std::make_unique<Host>(
          fleet::PeerInfo{addressOf(n), zones[n / hostsPerZone], 1, 1}, n + 1));
    for (auto &host : Hosts)
      for (std::size_t n = 0; n < serversPerZone * zones.size(); ++n) {
        // As long as identities of the daemon are.
        auto server = sampleServer(n + 1, n + 1);
        server.Zone = zones[n / serversPerZone];
        server.Slots = 2;
        host->Directory.apply(server, Clock.now());
      }
    renewHeartbeats();
  }

  static std::uint32_t addressOf(std::size_t host) {
    return FirstAddress + static_cast<std::uint32_t>(host);
  }
  void setLoss(double share) { Loss = share; }
  /// Host \p host sends a request that is not answered on a new flow.
  void addRequest(std::size_t host, routing::ServerId server) {
    Hosts[host]->Health.load(server).onFlow();
    Hosts[host]->Health.load(server).onRequest(Clock.now());
  }
  void endRequest(std::size_t host, routing::ServerId server) {
    Hosts[host]->Health.load(server).onFlowEnd();
    Hosts[host]->Health.load(server).onRequestEnd(Clock.now());
  }
  /// One request of each host to each server of its zone.
  void loadAll(std::size_t hostsPerServer) {
    for (std::size_t n = 0; n < Hosts.size(); ++n)
      for (const auto &it : Hosts[n]->Directory.all()) {
        const auto id = Hosts[n]->Directory.idOf(it);
        if (it.Registration.Zone == Hosts[n]->Peers.self().Zone &&
            (n + id) % Hosts.size() < hostsPerServer)
          addRequest(n, id);
      }
  }
  void run(std::chrono::milliseconds time) {
    const auto end = Clock.now() + time;
    while (Clock.now() < end) {
      renewHeartbeats();
      exchange();
      Clock.advance(Step);
    }
  }
  /// The largest error of a host's open flows elsewhere on \p server.
  double largestError(routing::ServerId server) const {
    double flows = 0;
    for (const auto &it : Hosts)
      flows += it->Health.activity(server).Load.flows();
    double error = 0;
    for (const auto &it : Hosts)
      if (!it->IsDown && !it->IsMute)
        error = std::max(
            error, std::abs(it->Loads.elsewhere(server, Clock.now()).OpenFlows +
                            it->Health.activity(server).Load.flows() - flows));
    return error;
  }

  common::ManualClock Clock;
  std::vector<std::unique_ptr<Host>> Hosts;

private:
  struct Datagram {
    std::size_t To = 0;
    std::string Bytes;
  };

  /// In place of gossip.
  void renewHeartbeats() {
    ++Heartbeat;
    for (std::size_t from = 0; from < Hosts.size(); ++from)
      if (!Hosts[from]->IsDown)
        for (auto &to : Hosts) {
          auto peer = Hosts[from]->Peers.self();
          peer.Heartbeat = Heartbeat;
          to->Peers.applyDirectUpdate(peer, Clock.now());
        }
  }
  void exchange() {
    const auto now = Clock.now();
    for (auto pending = std::exchange(Datagrams, {}); auto &it : pending)
      if (!Hosts[it.To]->IsDown)
        if (const auto message = fleet::GossipCodec::decode(it.Bytes))
          Hosts[it.To]->Loads.onMessage(*message, now);
    for (auto &host : Hosts) {
      if (host->IsDown)
        continue;
      host->Loads.poll(now);
      for (auto &[message, to] : host->Loads.takeOutgoing())
        send(*host, message, to);
      // Periodic gossip, to one random host of the zone.
      if (Random() % 5 == 0) {
        fleet::GossipMessage gossip;
        gossip.Sender = host->Peers.self();
        gossip.ZoneLoads = host->Loads.ownZoneLoads(now);
        if (!gossip.ZoneLoads.empty())
          Datagrams.push_back(
              {Random() % Hosts.size(), fleet::GossipCodec::encode(gossip)});
      }
    }
  }
  void send(Host &host, const fleet::GossipMessage &message, std::uint32_t to) {
    const auto bytes = fleet::GossipCodec::encode(message);
    host.Loads.onSent(bytes.size());
    host.Bytes += bytes.size();
    ++host.Messages;
    LargestMessage = std::max(LargestMessage, bytes.size());
    if (to - FirstAddress < Hosts.size() && !host.IsMute &&
        Unit(Random) >= Loss)
      Datagrams.push_back({to - FirstAddress, bytes});
  }

public:
  std::size_t LargestMessage = 0;

private:
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Unit{0, 1};
  double Loss = 0;
  std::uint64_t Heartbeat = 1;
  std::deque<Datagram> Datagrams;
};

} // namespace auburnroute::unittests
