#include "Fleet/SharedColdStartLimiter.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace auburnroute::fleet {

using common::TimePoint;
using routing::ColdStartLimit;
using routing::KnownServer;
using routing::ServerId;

namespace {

/// A server also writes its entry when it changes, so that each write counts
/// for a part of the interval only.
constexpr int MaxWritesPerHeartbeat = 2;

} // namespace

std::uint32_t SharedColdStartLimiter::dividedFlows(const ColdStartRule &rule,
                                                   double flowsPerSecond) {
  constexpr double MaxFlows = 1e6;
  const auto limit =
      std::min(flowsPerSecond * rule.Overage + rule.Slack, MaxFlows);
  if (limit < 1)
    return 0;
  return static_cast<std::uint32_t>(std::max(1.0, limit * DividedPart));
}

std::uint32_t SharedColdStartLimiter::shareOf(std::uint32_t flows,
                                              std::size_t rank,
                                              std::size_t members) {
  if (rank >= flows)
    return 0;
  return static_cast<std::uint32_t>((flows - rank + members - 1) / members);
}

const ColdStartLimit *
SharedColdStartLimiter::limitOf(const KnownServer &server) const {
  const auto &limits = Routes.configuration().ColdStarts;
  if (limits.empty())
    return nullptr;
  if (Routes.version() == LimitsVersion) {
    const auto it = Limits.find(server.Service);
    return it == Limits.end() ? nullptr : &limits[it->second];
  }
  // The configuration changed since the last update.
  const auto it = std::ranges::find(limits, server.Registration.Service,
                                    &ColdStartLimit::Service);
  return it == limits.end() ? nullptr : &*it;
}

bool SharedColdStartLimiter::isCold(const KnownServer &server,
                                    const ColdStartLimit &limit,
                                    TimePoint now) const {
  if (now < server.ColdUntil)
    return true;
  if (server.HasStatedWarmUp)
    return false;
  // The entry does not say, or it said so before this host saw it. Its sequence
  // number then shows how long the server has been running at least.
  const auto sinceSeen = now - server.RunSeenAt;
  const auto writes = server.Registration.Sequence / MaxWritesPerHeartbeat;
  return sinceSeen < limit.Duration &&
         writes <
             static_cast<std::uint64_t>(limit.Duration / Rule.Heartbeat) + 1;
}

bool SharedColdStartLimiter::admits(const KnownServer &server,
                                    TimePoint now) const {
  const auto *limit = limitOf(server);
  if (limit == nullptr || !isCold(server, *limit, now))
    return true;
  const auto it = Cold.find(Directory.idOf(server));
  if (it != Cold.end() && it->second.Identity == server.Registration.Identity &&
      Membership.takesPart(now)) {
    const auto &[identity, share, members, version, placed] = it->second;
    if (share > placed.size() ||
        (share > 0 && now - placed[placed.size() - share] >= Window))
      return true;
  }
  IsLimited = true;
  return false;
}

void SharedColdStartLimiter::onPlaced(const KnownServer &server,
                                      TimePoint now) {
  const auto id = Directory.idOf(server);
  if (std::exchange(IsLimited, false))
    Observer.onLimited(id);
  if (Cold.empty())
    return;
  const auto it = Cold.find(id);
  if (it == Cold.end())
    return;
  auto &placed = it->second.PlacedAt;
  const auto old = std::ranges::find_if(
      placed, [&](TimePoint at) { return now - at < Window; });
  placed.erase(placed.begin(), old);
  placed.push_back(now);
}

void SharedColdStartLimiter::onRefused(TimePoint /*now*/) {
  if (std::exchange(IsLimited, false))
    Observer.onLimited(std::nullopt);
}

void SharedColdStartLimiter::rebuildLimits() {
  if (LimitsVersion == Routes.version())
    return;
  LimitsVersion = Routes.version();
  Limits.clear();
  const auto &limits = Routes.configuration().ColdStarts;
  for (std::size_t i = 0; i < limits.size(); ++i)
    Limits.try_emplace(Directory.serviceNames().idOf(limits[i].Service), i);
}

std::size_t SharedColdStartLimiter::rankFor(std::uint64_t identity) const {
  const auto keyOf = [&](std::uint32_t host) {
    return std::pair(XXH3_64bits_withSeed(&identity, sizeof(identity), host),
                     host);
  };
  const auto own = keyOf(Peers.self().Address);
  return static_cast<std::size_t>(std::ranges::count_if(
      Membership.others(), [&](auto host) { return keyOf(host) < own; }));
}

void SharedColdStartLimiter::updateServer(ServerId id,
                                          const ColdStartLimit &limit,
                                          TimePoint now) {
  const auto &server = Directory.at(id);
  if (!server.Registration.hasAddress() || !isCold(server, limit, now))
    return;
  auto [it, added] = Cold.try_emplace(id);
  auto &cold = it->second;
  const auto identity = server.Registration.Identity;
  if (cold.Identity != identity) {
    cold = ColdServer();
    cold.Identity = identity;
    added = true;
  }
  if (added || cold.MembersSeen != Membership.changeCount() ||
      cold.VersionSeen != LimitsVersion) {
    cold.MembersSeen = Membership.changeCount();
    cold.VersionSeen = LimitsVersion;
    cold.Share =
        server.Registration.Zone == Peers.self().Zone
            ? shareOf(dividedFlows(Rule, limit.FlowsPerSecond),
                      rankFor(identity), Membership.others().size() + 1)
            : 0;
  }
  if (added)
    Observer.onCold(id, cold.Share);
}

void SharedColdStartLimiter::update(TimePoint now) {
  rebuildLimits();
  if (Limits.empty() && Cold.empty())
    return;
  Membership.update(now);
  const auto &limits = Routes.configuration().ColdStarts;
  for (const auto &[service, index] : Limits)
    for (const auto id : Directory.serversOf(service))
      updateServer(id, limits[index], now);
  absl::erase_if(Cold, [&](const auto &it) {
    const auto &server = Directory.at(it.first);
    const auto *limit = server.IsOccupied ? limitOf(server) : nullptr;
    const auto &placed = it.second.PlacedAt;
    if ((limit != nullptr &&
         server.Registration.Identity == it.second.Identity &&
         isCold(server, *limit, now)) ||
        (!placed.empty() && now - placed.back() < Window))
      return false;
    if (server.IsOccupied)
      Observer.onWarm(it.first);
    return true;
  });
}

} // namespace auburnroute::fleet
