#include "State/AffectedFlowShares.h"

#include "State/RendezvousHash.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

#include <xxhash.h>

namespace auburnroute::state {

namespace {

// Standard error of a share: at most 0.4 percentage points.
constexpr std::size_t MaxSamples = 20000;
// Bounds the time for services with thousands of backend servers.
constexpr std::size_t MaxHashScores = 20'000'000;

/// What identifies a backend server to its flows.
struct ServerIdentity {
  std::uint16_t Number;
  std::uint32_t Address;

  bool operator<(const ServerIdentity &it) const {
    return std::tie(Number, Address) < std::tie(it.Number, it.Address);
  }
};

using Weights = std::map<ServerIdentity, double>;

/// Expected share of new flows of each active backend server, by weight.
Weights newFlowShares(const Service &service) {
  Weights weights;
  double sum = 0;
  for (const auto &it : service.BackendServers)
    if (it.Mode == BackendServerMode::Active) {
      weights[{it.Number, it.Address}] = it.Weight;
      sum += it.Weight;
    }
  for (auto &[id, weight] : weights)
    weight /= sum;
  return weights;
}

double lostShare(const Weights &before, const Service &after) {
  Weights kept;
  for (const auto &it : after.BackendServers)
    kept[{it.Number, it.Address}] = it.Weight;
  double lost = 0;
  for (const auto &[id, share] : before)
    if (!kept.contains(id))
      lost += share;
  return lost;
}

/// Share of the flows that change server: the sum of all gains, which is half
/// of the summed absolute differences.
double movedShare(const Weights &before, const Weights &after) {
  if (before.empty() || after.empty())
    return before.empty() == after.empty() ? 0 : 1;
  double gained = 0;
  for (const auto &[id, share] : after) {
    const auto it = before.find(id);
    gained += std::max(0.0, share - (it == before.end() ? 0.0 : it->second));
  }
  return gained;
}

bool usesHash(const Service &service) {
  return std::any_of(
      service.PolicyByZone.begin(), service.PolicyByZone.end(),
      [](const auto &it) { return it.Timestamps == TimestampMode::Hash; });
}

std::vector<RendezvousHash::Candidate> candidates(const Service &service) {
  std::vector<RendezvousHash::Candidate> list;
  for (const auto &it : service.BackendServers)
    list.push_back({it.Number, it.Weight});
  return list;
}

std::map<std::uint16_t, std::uint32_t> addresses(const Service &service) {
  std::map<std::uint16_t, std::uint32_t> map;
  for (const auto &it : service.BackendServers)
    map[it.Number] = it.Address;
  return map;
}

std::uint64_t flowHash(std::size_t sample, common::Endpoint service,
                       std::uint64_t seed) {
  // Callers of 203.0.113.0/24 and of the ranges above it, spread over all
  // ports.
  constexpr std::uint32_t FirstCaller = 0xCB007100;
  const common::Endpoint caller{
      FirstCaller + static_cast<std::uint32_t>(sample % 997),
      static_cast<std::uint16_t>(1024 + sample * 7919 % 64511)};
  const std::array<std::uint64_t, 2> words{caller.key(), service.key()};
  return XXH3_64bits_withSeed(words.data(), sizeof(words), seed);
}

} // namespace

AffectedFlowShares AffectedFlowShares::between(const Settings &oldSettings,
                                               const Service &oldService,
                                               const Settings &newSettings,
                                               const Service &newService) {
  AffectedFlowShares shares;
  const auto before = newFlowShares(oldService);
  shares.New = movedShare(before, newFlowShares(newService));
  shares.Established = oldSettings.FlowSeed == newSettings.FlowSeed
                           ? lostShare(before, newService)
                           : 1;
  if (!usesHash(oldService)) {
    if (usesHash(newService))
      shares.Untagged = 0;
    return shares;
  }
  if (!usesHash(newService)) {
    shares.Untagged = 1;
    return shares;
  }
  const auto from = candidates(oldService);
  const auto to = candidates(newService);
  const auto fromAddress = addresses(oldService);
  const auto toAddress = addresses(newService);
  const auto address = oldService.Listeners.front().Address;
  shares.Samples = std::clamp<std::size_t>(
      MaxHashScores / (from.size() + to.size()), 1, MaxSamples);
  std::size_t moved = 0;
  for (std::size_t i = 0; i < shares.Samples; ++i) {
    const auto a = RendezvousHash::choose(
        from, flowHash(i, address, oldSettings.FlowSeed));
    const auto b =
        RendezvousHash::choose(to, flowHash(i, address, newSettings.FlowSeed));
    if (a != b || fromAddress.at(a) != toAddress.at(b))
      ++moved;
  }
  shares.Untagged =
      static_cast<double>(moved) / static_cast<double>(shares.Samples);
  return shares;
}

} // namespace auburnroute::state
