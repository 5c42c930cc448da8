#pragma once

#include "Emulator/Deployment.h"
#include "Routing/ServerHealthTracker.h"
#include "Routing/ServerPlacement.h"

#include <memory>
#include <random>

namespace auburnroute::emulator {

/// Placement rules to compare with the one of the daemon: random choice and
/// power of two choices.
class CandidatePlacement final : public routing::Placement {
public:
  /// References must outlive the object.
  CandidatePlacement(PlacementRule rule,
                     const routing::ServerDirectory &directory,
                     const routing::ServerHealthTracker &health,
                     std::uint64_t seed)
      : Rule(rule), Directory(directory), Health(health), Random(seed) {}

  std::optional<routing::ServerId>
  choose(routing::NameTable::Id service,
         std::span<const routing::ServerId> tried, bool useLapsed,
         common::TimePoint now) override;

  /// Creates the placement of \p candidate for a host in \p zone. LeastLoad
  /// uses \p load, unless it is null.
  static std::unique_ptr<routing::Placement>
  make(const Candidate &candidate, const routing::ServerDirectory &directory,
       const routing::ServerHealthTracker &health, routing::NameTable::Id zone,
       std::uint64_t seed, const routing::SharedLoad *load);

private:
  PlacementRule Rule;
  const routing::ServerDirectory &Directory;
  const routing::ServerHealthTracker &Health;
  std::mt19937_64 Random;
};

} // namespace auburnroute::emulator
