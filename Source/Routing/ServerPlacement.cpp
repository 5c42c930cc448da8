#include "Routing/ServerPlacement.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace auburnroute::routing {

using common::TimePoint;

namespace {

// Limits how often all servers are scanned. Detection of an unreachable zone is
// delayed by at most this long.
constexpr std::chrono::milliseconds ZoneCheckInterval{50};

} // namespace

void ServerPlacement::updateUnreachableZones(TimePoint now) {
  if (now - ZonesCheckedAt < ZoneCheckInterval)
    return;
  ZonesCheckedAt = now;
  UnreachableZones = Health.unreachableZones(Directory, OwnZone, now);
}

ServerPlacement::Rank ServerPlacement::rankOf(ServerId id,
                                              std::span<const ServerId> tried,
                                              bool useLapsed,
                                              TimePoint now) const {
  const auto &server = Directory.at(id);
  if (server.Registration.State == ServerState::Draining)
    return Rank::Unusable;
  if (Parts.Evacuations != nullptr &&
      Parts.Evacuations->isEvacuated(server.Registration.Zone))
    return Rank::Unusable;
  if (Parts.ColdStarts != nullptr && !Parts.ColdStarts->admits(server, now))
    return Rank::Unusable;
  if (server.Registration.State == ServerState::Lapsed)
    return useLapsed && server.Registration.HasLapsedUnannounced
               ? Rank::Lapsed
               : Rank::Unusable;
  if (Health.isSuspect(id, now) ||
      (server.Zone < UnreachableZones.size() && UnreachableZones[server.Zone]))
    return Rank::Suspected;
  if (Parts.Degraded != nullptr && !Parts.Degraded->admits(id, now))
    return Rank::Degraded;
  return std::ranges::find(tried, id) != tried.end() ? Rank::Tried
                                                     : Rank::Preferred;
}

double ServerPlacement::loadOf(ServerId id, double otherZonePenalty,
                               TimePoint now) const {
  const auto &server = Directory.at(id);
  const auto &activity = Health.activity(id);
  double requests = activity.PendingRequests;
  double flows = activity.OpenFlows;
  if (Parts.Load != nullptr) {
    requests = activity.Load.outstanding();
    flows = activity.Load.flows();
    // A look-up for each server at each SYN.
    if (Weights.RemoteRequests > 0 || Weights.RemoteFlows > 0) {
      const auto remote = Parts.Load->elsewhere(id, now);
      requests += Weights.RemoteRequests * remote.Outstanding;
      flows += Weights.RemoteFlows * remote.OpenFlows;
    }
  }
  const double work =
      1.0 + requests + activity.PendingSyns + Weights.OpenFlow * flows;
  double load = work / std::max(1U, server.Registration.Slots);
  if (server.Zone != OwnZone)
    load += otherZonePenalty;
  if (now < server.ColdUntil)
    load += Weights.Cold;
  return load;
}

ServerId ServerPlacement::chooseShared() {
  if (Weights.Choices > 0) {
    std::ranges::shuffle(Rated, Random);
    std::array<std::uint32_t, 2> counts{};
    std::erase_if(Rated, [&](const auto &it) {
      return ++counts[it.IsInZone] > Weights.Choices;
    });
  }
  const double limit =
      std::ranges::min(Rated, {}, &RatedServer::Load).Load + Weights.Margin;
  std::erase_if(Rated, [&](const auto &it) { return it.Load > limit; });
  return Rated[Random() % Rated.size()].Id;
}

std::optional<ServerId> ServerPlacement::choose(NameTable::Id service,
                                                std::span<const ServerId> tried,
                                                bool useLapsed, TimePoint now) {
  updateUnreachableZones(now);
  const auto zone = Parts.Zones == nullptr ? std::nullopt
                                           : Parts.Zones->zoneFor(service, now);
  const auto preferredZone = zone.value_or(OwnZone);
  std::optional<ServerId> best;
  auto bestRank = Rank::Unusable;
  double bestLoad = 0;
  // The selector has weighed the loads of the zones. A penalty would send flows
  // back that it sent away from a crowded zone, and send others away on top.
  const double otherZonePenalty = zone ? 0 : Weights.OtherZone;
  bool isBestElsewhere = false;
  std::uint32_t equals = 0;
  Rated.clear();
  for (const auto id : Directory.serversOf(service)) {
    const auto rank = rankOf(id, tried, useLapsed, now);
    if (rank == Rank::Unusable || rank > bestRank)
      continue;
    const double load = loadOf(id, otherZonePenalty, now);
    const bool isElsewhere =
        zone.has_value() && Directory.at(id).Zone != preferredZone;
    if (Parts.Load != nullptr) {
      const auto group = std::tie(rank, isElsewhere);
      const auto bestGroup = std::tie(bestRank, isBestElsewhere);
      if (!Rated.empty() && group > bestGroup)
        continue;
      if (group != bestGroup)
        Rated.clear();
      bestRank = rank;
      isBestElsewhere = isElsewhere;
      Rated.push_back({id, load, Directory.at(id).Zone == preferredZone});
      continue;
    }
    const auto order = std::tie(rank, isElsewhere, load);
    const auto bestOrder = std::tie(bestRank, isBestElsewhere, bestLoad);
    const bool equal = best && order == bestOrder;
    if (equal) {
      // Reservoir sampling: each of n equals is chosen with probability 1/n.
      if (Random() % ++equals == 0)
        best = id;
      continue;
    }
    if (!best || order < bestOrder) {
      best = id;
      bestRank = rank;
      isBestElsewhere = isElsewhere;
      bestLoad = load;
      equals = 1;
    }
  }
  if (!Rated.empty())
    best = chooseShared();
  if (Parts.ColdStarts != nullptr) {
    if (best)
      Parts.ColdStarts->onPlaced(Directory.at(*best), now);
    else
      Parts.ColdStarts->onRefused(now);
  }
  if (best && Parts.Degraded != nullptr)
    Parts.Degraded->onPlaced(service, *best, now);
  return best;
}

} // namespace auburnroute::routing
