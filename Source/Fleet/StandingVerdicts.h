#pragma once

#include "Common/Clock.h"
#include "Fleet/VerdictEvent.h"
#include "Routing/ServerDirectory.h"
#include "Routing/ServerHealthTracker.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnroute::fleet {

/// The verdicts that stand on this host. Tells when one ended and by what.
class StandingVerdicts {
public:
  /// References must outlive the object.
  StandingVerdicts(const routing::ServerDirectory &directory,
                   const routing::ServerHealthTracker &health)
      : Directory(directory), Health(health) {}

  /// A verdict that \p id is suspected or dead was applied. A death replaces a
  /// suspicion, a renewed verdict changes nothing.
  void onApplied(routing::ServerId id, VerdictKind kind,
                 std::uint32_t decidedBy, common::TimePoint now);
  /// The verdict on \p id if it ended since the last call.
  std::optional<VerdictEnd> takeEnded(routing::ServerId id,
                                      common::TimePoint now);
  /// All verdicts that ended since the last call.
  std::vector<VerdictEnd> takeEnded(common::TimePoint now);
  std::size_t size() const { return Verdicts.size(); }

private:
  struct Verdict {
    VerdictKind Kind = VerdictKind::Suspected;
    std::uint32_t DecidedBy = 0;
    common::TimePoint AppliedAt;
    /// Ids are reused, and a server may be restarted.
    std::uint64_t Identity = 0;
    std::int64_t StartTimeMs = 0;
  };
  std::optional<VerdictEnd> endOf(routing::ServerId id, const Verdict &it,
                                  common::TimePoint now) const;

  const routing::ServerDirectory &Directory;
  const routing::ServerHealthTracker &Health;
  absl::flat_hash_map<routing::ServerId, Verdict> Verdicts;
};

} // namespace auburnroute::fleet
