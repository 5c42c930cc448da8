#include "Coordination/Placement/ServerChooser.h"

#include "Common/Invariant.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace auburnroute::placement {

using state::Cause;

namespace {

/// Load including one more request, relative to the weighted slots.
double requestRatio(const ServerCandidate &it) {
  return (it.Load + 1.0) / (static_cast<double>(it.Slots) * it.Weight);
}

double feedRatio(const ServerCandidate &it) {
  return (it.Feeds + 1.0) / it.Weight;
}

} // namespace

ServerChooser::PoolSummary
ServerChooser::summarize(const std::vector<ServerCandidate> &servers) const {
  PoolSummary pool;
  for (const auto &it : servers) {
    if (it.IsExcluded || (!it.IsLocal && !AllowsOtherZones))
      continue;
    ++pool.Usable;
    if (it.IsEjected)
      ++pool.Ejected;
    else if (it.IsLocal)
      ++pool.LocalHealthy;
  }
  // With two or more servers, one may always be ejected (unless the share is
  // 0). Otherwise a small service could not eject a dead server.
  auto maxEjected = static_cast<std::uint32_t>(
      std::floor(MaxEjectedShare * pool.Usable + 1e-9));
  if (maxEjected == 0 && pool.Usable > 1 && MaxEjectedShare > 0)
    maxEjected = 1;
  pool.IsInPanicMode = pool.Ejected > maxEjected;
  return pool;
}

std::optional<unsigned> ServerChooser::rankOf(const ServerCandidate &server,
                                              const PoolSummary &pool) const {
  const bool isZoneAllowed =
      server.IsLocal || (AllowsOtherZones && pool.LocalHealthy == 0);
  if (server.IsExcluded || !isZoneAllowed ||
      (server.IsEjected && !pool.IsInPanicMode))
    return std::nullopt;
  return (server.IsEjected ? 2U : 0U) + (server.IsLocal ? 0U : 1U);
}

bool ServerChooser::isInPanicMode(
    const std::vector<ServerCandidate> &servers) const {
  return summarize(servers).IsInPanicMode;
}

template <typename IsFree, typename IsBetter>
ServerChoice ServerChooser::choose(const std::vector<ServerCandidate> &servers,
                                   IsFree isFree, IsBetter isBetter) const {
  const auto pool = summarize(servers);
  ServerChoice choice{std::nullopt, Cause::NoBackendServer};
  const ServerCandidate *best = nullptr;
  unsigned bestRank = 0;
  for (const auto &it : servers) {
    const auto rank = rankOf(it, pool);
    if (!rank)
      continue;
    if (it.Connections >= it.ConnectionLimit) {
      if (choice.Why == Cause::NoBackendServer)
        choice.Why = Cause::ConnectionLimit;
      continue;
    }
    choice.Why = Cause::None;
    if (!isFree(it))
      continue;
    if (best == nullptr || *rank < bestRank ||
        (*rank == bestRank && isBetter(it, *best))) {
      best = &it;
      bestRank = *rank;
    }
  }
  if (best == nullptr)
    return choice;
  common::invariant(
      !best->IsExcluded && (!best->IsEjected || pool.IsInPanicMode),
      "a draining or moved server must not be chosen, nor an ejected "
      "one unless too many are ejected");
  choice.Server = best->Id;
  return choice;
}

ServerChoice ServerChooser::chooseForRequest(
    const std::vector<ServerCandidate> &servers) const {
  const auto isBetter = [](const auto &a, const auto &b) {
    return std::tuple(requestRatio(a), a.VirtualStart) <
           std::tuple(requestRatio(b), b.VirtualStart);
  };
  const auto choice = choose(
      servers,
      [](const auto &it) { return !it.IsBackingOff && it.Load < it.Slots; },
      isBetter);
  if (choice.Server || choice.Why != Cause::None)
    return choice;
  return choose(
      servers,
      [](const auto &it) {
        return !it.IsBackingOff && it.Load < it.Slots + it.OvercommitSlots;
      },
      isBetter);
}

ServerChoice ServerChooser::chooseForFeed(
    const std::vector<ServerCandidate> &servers) const {
  // Feeds do not wait, so a server that is backing off is better than none.
  return choose(
      servers, [](const auto &) { return true; },
      [](const auto &a, const auto &b) {
        return std::tuple(a.IsBackingOff, feedRatio(a), a.VirtualStart) <
               std::tuple(b.IsBackingOff, feedRatio(b), b.VirtualStart);
      });
}

} // namespace auburnroute::placement
