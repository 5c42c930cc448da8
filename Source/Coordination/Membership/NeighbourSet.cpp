#include "Coordination/Membership/NeighbourSet.h"

#include "Coordination/Membership/HostReport.h"
#include "Coordination/Membership/NeighbourRing.h"

#include <algorithm>
#include <utility>

namespace auburnroute::membership {

using common::TimePoint;

void NeighbourSet::refresh(TimePoint now, const state::HostTable &hosts,
                           PeerRecords &peers, const std::string &self) {
  std::vector<std::string> ring;
  for (const auto &[name, host] : hosts)
    if (host.State != state::HostState::Dead)
      ring.push_back(name);
  auto next = computeNeighbours(ring, self);
  for (const auto &name : Names)
    if (!std::binary_search(next.begin(), next.end(), name)) {
      const auto it = peers.find(name);
      if (it != peers.end())
        it->second.IsNeighbour = it->second.IsOnDemandProbePending = false;
    }
  for (const auto &name : next) {
    auto &peer = peers[name];
    if (!peer.IsNeighbour)
      peer.NeighbourSince = now;
    peer.IsNeighbour = true;
  }
  Names = std::move(next);
}

void NeighbourSet::restartProbeTimeouts(TimePoint now, PeerRecords &peers) {
  for (const auto &name : Names)
    if (auto &peer = peers[name]; peer.IsOnDemandProbePending)
      peer.OnDemandProbeSince = now;
}

std::vector<std::string>
NeighbourSet::findSuspects(TimePoint now, const state::HostTable &hosts,
                           PeerRecords &peers,
                           const MembershipOptions &options) const {
  std::vector<std::string> found;
  for (const auto &name : Names) {
    const auto &host = *hosts.find(name);
    auto &peer = peers[name];
    const auto since = std::max(host.LastHeard, peer.NeighbourSince);
    const bool isProbeUnanswered =
        peer.IsOnDemandProbePending &&
        now - peer.OnDemandProbeSince >= options.OnDemandProbeTimeout;
    if (isDown(host.State) ||
        (!isProbeUnanswered && now - since < options.SuspectAfter))
      continue;
    peer.IsOnDemandProbePending = false;
    found.push_back(name);
  }
  return found;
}

} // namespace auburnroute::membership
