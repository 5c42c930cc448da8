#include "Fleet/PeerTable.h"

#include <algorithm>
#include <utility>

namespace auburnroute::fleet {

using common::TimePoint;

bool PeerTable::isAlive(const Peer &peer, TimePoint now) const {
  return now - peer.HeartbeatRoseAt < Limits.FailureTimeout;
}

PeerTable::Peer *PeerTable::entryOf(const PeerInfo &peer, TimePoint now,
                                    bool &added) {
  if (peer.Address == Self.Address || peer.Address == 0)
    return nullptr;
  const auto it = Peers.find(peer.Address);
  added = it == Peers.end();
  if (!added)
    return &it->second;
  if (Peers.size() >= Limits.MaxPeers)
    return nullptr;
  return &Peers.emplace(peer.Address, Peer{peer, now}).first->second;
}

bool PeerTable::applyDirectUpdate(const PeerInfo &peer, TimePoint now) {
  bool added = false;
  auto *known = entryOf(peer, now, added);
  if (known == nullptr || added)
    return added;
  const bool restarted = peer.Incarnation != known->Info.Incarnation;
  if (!restarted && peer.Heartbeat <= known->Info.Heartbeat)
    return false;
  const bool wasAlive = isAlive(*known, now);
  if (restarted && !known->Info.IsLeaving && !known->IsReportedLost)
    ReplacedPeers.push_back(known->Info);
  *known = {peer, now};
  return restarted || !wasAlive;
}

void PeerTable::applyRelayedUpdate(const PeerInfo &peer, TimePoint now) {
  bool added = false;
  auto *known = entryOf(peer, now, added);
  if (known == nullptr || added)
    return;
  const bool newer = peer.Incarnation == known->Info.Incarnation
                         ? peer.Heartbeat > known->Info.Heartbeat
                         : !isAlive(*known, now);
  if (newer)
    *known = {peer, now};
}

void PeerTable::advanceHeartbeat(TimePoint now) {
  ++Self.Heartbeat;
  expire(now);
}

void PeerTable::expire(TimePoint now) {
  absl::erase_if(Peers, [&](const auto &it) {
    return now - it.second.HeartbeatRoseAt > Limits.RemovalTimeout;
  });
}

std::vector<PeerInfo> PeerTable::takeLostHosts(TimePoint now) {
  auto lost = std::exchange(ReplacedPeers, {});
  for (auto &[address, peer] : Peers) {
    if (peer.IsReportedLost || isAlive(peer, now))
      continue;
    peer.IsReportedLost = true;
    if (!peer.Info.IsLeaving)
      lost.push_back(peer.Info);
  }
  return lost;
}

std::vector<std::uint32_t> PeerTable::alive(TimePoint now) const {
  std::vector<std::uint32_t> addresses;
  for (const auto &[address, peer] : Peers)
    if (isAlive(peer, now))
      addresses.push_back(address);
  std::ranges::sort(addresses);
  return addresses;
}

std::vector<std::uint32_t> PeerTable::hostsInZone(TimePoint now) const {
  std::vector<std::uint32_t> addresses{Self.Address};
  for (const auto &[address, peer] : Peers)
    if (isAlive(peer, now) && !peer.Info.IsLeaving &&
        peer.Info.Zone == Self.Zone)
      addresses.push_back(address);
  std::ranges::sort(addresses);
  return addresses;
}

TimePoint PeerTable::lastHeardAt() const {
  TimePoint last;
  for (const auto &[address, peer] : Peers)
    last = std::max(last, peer.HeartbeatRoseAt);
  return last;
}

std::vector<std::uint32_t> PeerTable::leavingInZone() const {
  std::vector<std::uint32_t> addresses;
  for (const auto &[address, peer] : Peers)
    if (peer.Info.IsLeaving && peer.Info.Zone == Self.Zone)
      addresses.push_back(address);
  return addresses;
}

std::map<std::string, std::vector<std::uint32_t>>
PeerTable::hostsByZone(std::chrono::milliseconds timeout, TimePoint now) const {
  std::map<std::string, std::vector<std::uint32_t>> zones;
  zones[Self.Zone].push_back(Self.Address);
  for (const auto &[address, peer] : Peers)
    if (now - peer.HeartbeatRoseAt < timeout && !peer.Info.IsLeaving)
      zones[peer.Info.Zone].push_back(address);
  for (auto &[zone, hosts] : zones)
    std::ranges::sort(hosts);
  return zones;
}

std::size_t PeerTable::aliveCount(TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Peers, [&](const auto &it) { return isAlive(it.second, now); }));
}

std::vector<std::uint32_t> PeerTable::choose(std::size_t n, TimePoint now) {
  std::vector<std::uint32_t> sameZone;
  std::vector<std::uint32_t> otherZones;
  for (const auto &[address, peer] : Peers)
    if (isAlive(peer, now))
      (peer.Info.Zone == Self.Zone ? sameZone : otherZones).push_back(address);
  std::ranges::shuffle(sameZone, Random);
  std::ranges::shuffle(otherZones, Random);
  std::vector<std::uint32_t> chosen;
  for (std::size_t i = 0; chosen.size() < n; ++i) {
    if (i >= sameZone.size() && i >= otherZones.size())
      break;
    if (i < sameZone.size())
      chosen.push_back(sameZone[i]);
    if (i < otherZones.size() && chosen.size() < n)
      chosen.push_back(otherZones[i]);
  }
  return chosen;
}

std::vector<PeerInfo> PeerTable::sample(std::size_t n, TimePoint now) {
  std::vector<PeerInfo> all;
  for (const auto &it : Peers)
    if (isAlive(it.second, now))
      all.push_back(it.second.Info);
  std::ranges::shuffle(all, Random);
  if (all.size() > n)
    all.resize(n);
  return all;
}

bool PeerTable::hasLowestAddress(TimePoint now) const {
  return std::ranges::none_of(Peers, [&](const auto &it) {
    const auto &peer = it.second;
    return isAlive(peer, now) && !peer.Info.IsLeaving &&
           peer.Info.Address < Self.Address;
  });
}

std::size_t PeerTable::rankInZone(TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Peers, [&](const auto &it) {
        const auto &peer = it.second;
        return isAlive(peer, now) && !peer.Info.IsLeaving &&
               peer.Info.Zone == Self.Zone && peer.Info.Address < Self.Address;
      }));
}

} // namespace auburnroute::fleet
