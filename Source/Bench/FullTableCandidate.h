#pragma once

#include "Bench/PlacementCandidate.h"

#include "absl/container/flat_hash_map.h"

namespace auburnroute::bench {

/// Baseline: every host holds a table of all flows of the zone. The host that
/// receives a SYN places the flow by hash and replicates the entry to all
/// peers, with one message per peer every 10 ms. A host without an entry for a
/// flow falls back to the hash.
class FullTableCandidate final : public PlacementCandidate {
public:
  std::string_view name() const override { return "fullTable"; }

  void addHost(RevisionPtr revision) override {
    Host host;
    host.CurrentRevision = std::move(revision);
    if (!Hosts.empty()) { // A joining host copies the table first.
      host.Flows = Hosts.front().Flows;
      ControlBytes += host.Flows.size() * EntryBytes;
    }
    Hosts.push_back(std::move(host));
  }
  void killHost(std::size_t host) override {
    Hosts[host].IsAlive = false;
    Hosts[host].PendingUpdates.clear();
  }
  void setRevision(std::size_t host, RevisionPtr revision) override {
    Hosts[host].CurrentRevision = std::move(revision);
  }
  void setMembers(std::size_t host, std::vector<std::size_t> members) override {
    Hosts[host].Members = std::move(members);
  }

  Decision onSyn(std::size_t host, const Flow &flow) override {
    const auto server = Hosts[host].CurrentRevision->choose(flow.hash());
    Hosts[host].Flows[flow.Key] = server;
    Hosts[host].PendingUpdates.emplace_back(flow.Key, server);
    return {server, 0};
  }

  Decision onPacket(std::size_t host, const Flow &flow) override {
    const auto it = Hosts[host].Flows.find(flow.Key);
    return {it != Hosts[host].Flows.end()
                ? it->second
                : Hosts[host].CurrentRevision->choose(flow.hash()),
            0};
  }

  Decision onFinish(std::size_t host, const Flow &flow) override {
    Hosts[host].Flows.erase(flow.Key);
    Hosts[host].PendingUpdates.emplace_back(flow.Key, 0);
    return {flow.Server, 0};
  }

  void deliverControlMessages() override {
    for (std::size_t i = 0; i < Hosts.size(); ++i) {
      auto outgoing = std::exchange(Hosts[i].PendingUpdates, {});
      if (outgoing.empty())
        continue;
      for (const auto peer : Hosts[i].Members) {
        if (peer == i)
          continue;
        ControlBytes += MessageBytes + outgoing.size() * EntryBytes;
        for (const auto &[key, server] : outgoing)
          if (server == 0)
            Hosts[peer].Flows.erase(key);
          else
            Hosts[peer].Flows[key] = server;
      }
    }
  }

  std::size_t memoryBytes() const override {
    std::size_t n = 0;
    for (const auto &it : Hosts)
      n += allocatedBytes(it.Flows);
    return n;
  }

private:
  struct Host {
    RevisionPtr CurrentRevision;
    std::vector<std::size_t> Members;
    absl::flat_hash_map<forwarding::FlowKey, std::uint16_t> Flows;
    std::vector<std::pair<forwarding::FlowKey, std::uint16_t>> PendingUpdates;
    bool IsAlive = true;
  };

  std::vector<Host> Hosts;
};

} // namespace auburnroute::bench
