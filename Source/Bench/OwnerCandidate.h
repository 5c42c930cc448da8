#pragma once

#include "Bench/PlacementCandidate.h"

#include "absl/container/flat_hash_map.h"

namespace auburnroute::bench {

/// One owner per flow by rendezvous hash over the hosts; its table names the
/// server. All packets pass the owner. If it does not know the flow, the second
/// in rank is asked, the owner before a host was added; then the hash decides.
class OwnerCandidate final : public PlacementCandidate {
public:
  std::string_view name() const override { return "owner"; }

  void addHost(RevisionPtr revision) override {
    Hosts.emplace_back().InForce = std::move(revision);
  }
  void killHost(std::size_t host) override {
    Hosts[host].Alive = false;
    Hosts[host].Flows.clear();
  }
  void setRevision(std::size_t host, RevisionPtr revision) override {
    Hosts[host].InForce = std::move(revision);
  }
  void setMembers(std::size_t host, std::vector<std::size_t> members) override {
    Hosts[host].Members = std::move(members);
  }

  Decision onSyn(std::size_t host, const Flow &flow) override {
    const auto hash = flow.hash();
    const auto owner = rank(hash, Hosts[host].Members).first;
    const std::uint8_t hops = owner == host ? 0 : 1;
    if (!Hosts[owner].Alive)
      return {0, hops};
    const auto server = Hosts[owner].InForce->choose(hash);
    Hosts[owner].Flows[flow.Key] = server;
    return {server, hops};
  }

  Decision onPacket(std::size_t host, const Flow &flow) override {
    const auto hash = flow.hash();
    const auto [first, second] = rank(hash, Hosts[host].Members);
    std::uint8_t hops = 0;
    for (const auto to : {first, second}) {
      hops += to == host ? 0 : 1;
      if (!Hosts[to].Alive)
        return {0, hops};
      const auto it = Hosts[to].Flows.find(flow.Key);
      if (it != Hosts[to].Flows.end())
        return {it->second, hops};
    }
    return {Hosts[first].InForce->choose(hash), hops};
  }

  Decision onFinish(std::size_t host, const Flow &flow) override {
    const auto [first, second] = rank(flow.hash(), Hosts[host].Members);
    Hosts[first].Flows.erase(flow.Key);
    Hosts[second].Flows.erase(flow.Key);
    return {flow.Server, static_cast<std::uint8_t>(first == host ? 0 : 1)};
  }

  std::size_t memoryBytes() const override {
    std::size_t n = 0;
    for (const auto &it : Hosts)
      n += bytesOf(it.Flows);
    return n;
  }

private:
  struct Host {
    RevisionPtr InForce;
    std::vector<std::size_t> Members;
    absl::flat_hash_map<coordination::FlowKey, std::uint16_t> Flows;
    bool Alive = true;
  };

  std::vector<Host> Hosts;
};

} // namespace auburnroute::bench
