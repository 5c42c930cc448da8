#include "Emulator/CandidatePlacement.h"

#include <algorithm>

namespace auburnroute::emulator {

using routing::ServerId;

std::optional<ServerId>
CandidatePlacement::choose(routing::NameTable::Id service,
                           std::span<const ServerId> tried, bool /*useLapsed*/,
                           common::TimePoint now) {
  std::vector<ServerId> usable;
  std::vector<ServerId> good;
  for (const auto id : Directory.serversOf(service)) {
    if (Directory.at(id).Registration.State != routing::ServerState::Ready)
      continue;
    usable.push_back(id);
    if (!Health.isSuspect(id, now) &&
        std::ranges::find(tried, id) == tried.end())
      good.push_back(id);
  }
  const auto &from = good.empty() ? usable : good;
  if (from.empty())
    return std::nullopt;
  const auto first = from[Random() % from.size()];
  if (Rule == PlacementRule::Random)
    return first;
  const auto second = from[Random() % from.size()];
  const auto loadOf = [&](ServerId id) {
    const auto &activity = Health.activity(id);
    return static_cast<double>(activity.PendingRequests +
                               activity.PendingSyns) /
           std::max(1U, Directory.at(id).Registration.Slots);
  };
  return loadOf(first) <= loadOf(second) ? first : second;
}

std::unique_ptr<routing::Placement> CandidatePlacement::make(
    const Candidate &candidate, const routing::ServerDirectory &directory,
    const routing::ServerHealthTracker &health, routing::NameTable::Id zone,
    std::uint64_t seed, const routing::SharedLoad *load) {
  if (candidate.Rule != PlacementRule::LeastLoad)
    return std::make_unique<CandidatePlacement>(candidate.Rule, directory,
                                                health, seed);
  auto placement = std::make_unique<routing::ServerPlacement>(
      directory, health, zone, seed,
      routing::PlacementWeights{candidate.OtherZone, candidate.Cold,
                                candidate.OpenFlow, candidate.Margin,
                                candidate.Choices, candidate.RemoteRequests,
                                candidate.RemoteFlows});
  placement->setParts({.Load = load});
  return placement;
}

} // namespace auburnroute::emulator
