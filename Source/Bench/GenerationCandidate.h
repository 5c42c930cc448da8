#pragma once

#include "Bench/PlacementCandidate.h"

#include "absl/container/flat_hash_map.h"

namespace auburnroute::bench {

/// Consistent hash per settings generation. A new flow whose choice differs
/// between live generations is an exception: its server is told to an owner
/// (rendezvous hash over the hosts) and to the second in rank. Packets of flows
/// whose choices differ go by way of the owner.
class GenerationCandidate final : public PlacementCandidate {
public:
  std::string_view name() const override { return "generations"; }

  void addHost(RevisionPtr revision) override {
    auto &host = Hosts.emplace_back();
    if (Hosts.size() > 1)
      host.Live = Hosts.front().Live;
    if (host.Live.empty())
      host.Live.push_back(std::move(revision));
  }
  void killHost(std::size_t host) override {
    Hosts[host].Alive = false;
    std::erase_if(Pending, [&](const auto &it) { return it.From == host; });
  }
  void setRevision(std::size_t host, RevisionPtr revision) override {
    Hosts[host].Live.push_back(std::move(revision));
  }
  void setMembers(std::size_t host, std::vector<std::size_t> members) override {
    Hosts[host].Members = std::move(members);
  }

  Decision onSyn(std::size_t host, const Flow &flow) override {
    const auto hash = flow.hash();
    const auto server = Hosts[host].Live.back()->choose(hash);
    if (differs(host, hash)) {
      const auto [first, second] = rank(hash, Hosts[host].Members);
      for (const auto to : {first, second}) {
        ControlBytes += to == host ? 0 : MessageBytes + EntryBytes;
        Pending.push_back({host, to, flow.Key, server});
      }
    }
    return {server, 0};
  }

  Decision onPacket(std::size_t host, const Flow &flow) override {
    const auto hash = flow.hash();
    if (!differs(host, hash))
      return {Hosts[host].Live.back()->choose(hash), 0};
    const auto [first, second] = rank(hash, Hosts[host].Members);
    std::uint8_t hops = 0;
    for (const auto to : {first, second}) {
      hops += to == host ? 0 : 1;
      if (!Hosts[to].Alive)
        return {0, hops};
      const auto it = Hosts[to].Exceptions.find(flow.Key);
      if (it != Hosts[to].Exceptions.end())
        return {it->second, hops};
    }
    return {Hosts[host].Live.front()->choose(hash), hops};
  }

  Decision onFinish(std::size_t host, const Flow &flow) override {
    const auto hash = flow.hash();
    if (!differs(host, hash))
      return {flow.Server, 0};
    const auto [first, second] = rank(hash, Hosts[host].Members);
    for (const auto to : {first, second})
      if (Hosts[to].Exceptions.erase(flow.Key) != 0 && to != host)
        ControlBytes += MessageBytes + EntryBytes;
    return {flow.Server, 0};
  }

  void deliver() override {
    for (const auto &it : Pending)
      Hosts[it.To].Exceptions[it.Key] = it.Server;
    Pending.clear();
  }

  std::size_t memoryBytes() const override {
    std::size_t n = 0;
    for (const auto &it : Hosts)
      n += bytesOf(it.Exceptions);
    return n;
  }

private:
  struct Host {
    std::vector<RevisionPtr> Live; ///< Generations, oldest first.
    std::vector<std::size_t> Members;
    absl::flat_hash_map<coordination::FlowKey, std::uint16_t> Exceptions;
    bool Alive = true;
  };
  struct Message {
    std::size_t From, To;
    coordination::FlowKey Key;
    std::uint16_t Server;
  };

  bool differs(std::size_t host, std::uint64_t hash) const {
    const auto &live = Hosts[host].Live;
    const auto server = live.front()->choose(hash);
    for (std::size_t i = 1; i < live.size(); ++i)
      if (live[i]->choose(hash) != server)
        return true;
    return false;
  }

  std::vector<Host> Hosts;
  std::vector<Message> Pending;
};

} // namespace auburnroute::bench
