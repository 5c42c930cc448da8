#pragma once

#include "Bench/PlacementCandidate.h"
#include "Coordination/Forwarding/ForwardingEngine.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>

namespace auburnroute::bench {

/// The mechanism of the daemon: the forwarding engine of each host reads the
/// server from the timestamp echo. SYNs and FINs pass through one admission
/// owner, which places a flow on the server with the fewest open flows relative
/// to its weight.
class TagCandidate final : public PlacementCandidate {
public:
  std::string_view name() const override { return "tag"; }

  void addHost(RevisionPtr revision) override {
    Hosts.emplace_back();
    setRevision(Hosts.size() - 1, std::move(revision));
  }
  void killHost(std::size_t host) override {
    Hosts[host].IsAlive = false;
    Hosts[host].AdmittedFlows.clear();
  }
  void setRevision(std::size_t host, RevisionPtr revision) override {
    Hosts[host].Engine.setTable(revision->Table);
    Hosts[host].CurrentRevision = std::move(revision);
  }
  void setMembers(std::size_t host, std::vector<std::size_t> members) override {
    Hosts[host].Members = std::move(members);
  }

  Decision onSyn(std::size_t host, const Flow &flow) override {
    const auto owner = admissionOwner(host);
    const std::uint8_t hops = owner == host ? 0 : 1;
    auto &at = Hosts[owner];
    if (!at.IsAlive)
      return {0, hops};
    at.OpenFlowsByServer.resize(4096);
    const auto &active = at.CurrentRevision->Active;
    const auto best = std::min_element(
        active.begin(), active.end(), [&](const auto &a, const auto &b) {
          return std::uint64_t{at.OpenFlowsByServer[a.Number]} * b.Weight <
                 std::uint64_t{at.OpenFlowsByServer[b.Number]} * a.Weight;
        });
    ++at.OpenFlowsByServer[best->Number];
    at.AdmittedFlows[flow.Key] = best->Number;
    return {best->Number, hops};
  }

  bool onSynAck(std::size_t host, Flow &flow) override {
    forwarding::PacketSummary packet;
    // The source address follows from the server number, even if this host
    // doesn't know the server yet.
    packet.Source = {ServerAddress + flow.Server, BackendPort};
    packet.Destination = flow.Key.Caller;
    packet.SynAck = packet.Ack = packet.HasTimestamps = true;
    packet.TimestampValue = 5'000'000;
    const auto outcome = Hosts[host].Engine.onBackendServerPacket(packet);
    const auto *forward = std::get_if<forwarding::ForwardToCaller>(&outcome);
    if (forward == nullptr)
      return false;
    flow.Echo = forward->TimestampValue;
    return true;
  }

  Decision onPacket(std::size_t host, const Flow &flow) override {
    forwarding::PacketSummary packet;
    packet.Source = flow.Key.Caller;
    packet.Destination = flow.Key.Service;
    packet.Ack = packet.HasTimestamps = true;
    packet.TimestampEcho = flow.Echo;
    const auto outcome = Hosts[host].Engine.onCallerPacket(packet);
    const auto *forward =
        std::get_if<forwarding::ForwardToBackendServer>(&outcome);
    if (forward == nullptr)
      return {};
    return {static_cast<std::uint16_t>(forward->Destination.Address -
                                       ServerAddress),
            0};
  }

  Decision onFinish(std::size_t host, const Flow &flow) override {
    const auto owner = admissionOwner(host);
    auto &at = Hosts[owner];
    if (at.AdmittedFlows.erase(flow.Key) != 0)
      --at.OpenFlowsByServer[flow.Server];
    return {flow.Server, static_cast<std::uint8_t>(owner == host ? 0 : 1)};
  }

  std::size_t memoryBytes() const override {
    std::size_t n = 0;
    for (const auto &it : Hosts)
      n += allocatedBytes(it.AdmittedFlows);
    return n;
  }

  static constexpr std::uint32_t ServerAddress = 0xC0000200; // 192.0.2.0
  static constexpr std::uint16_t BackendPort = 9001;
  static constexpr std::uint64_t ServiceHash = 31;

private:
  struct Host {
    RevisionPtr CurrentRevision;
    std::vector<std::size_t> Members;
    forwarding::ForwardingEngine Engine;
    std::vector<std::uint32_t> OpenFlowsByServer; ///< By server number.
    absl::flat_hash_map<forwarding::FlowKey, std::uint16_t> AdmittedFlows;
    bool IsAlive = true;
  };

  std::size_t admissionOwner(std::size_t host) const {
    // Host 0 has the highest rank; the change scenarios rely on it.
    return highestRankedMember(ServiceHash, Hosts[host].Members);
  }

  std::vector<Host> Hosts;
};

} // namespace auburnroute::bench
