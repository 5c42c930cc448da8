#pragma once

#include "Common/Clock.h"
#include "Coordination/Membership/MembershipOptions.h"
#include "Coordination/Membership/PeerRecord.h"
#include "State/HostTable.h"

#include <string>
#include <vector>

namespace auburnroute::membership {

/// The hosts that this one sends heartbeats to and watches.
class NeighbourSet {
public:
  /// Their names, sorted.
  const std::vector<std::string> &names() const { return Names; }
  /// Chooses them anew and begins to watch those that were added.
  void refresh(common::TimePoint now, const state::HostTable &hosts,
               PeerRecords &peers, const std::string &self);
  /// Answers to doubts are waited for from \p now on.
  void restartProbeTimeouts(common::TimePoint now, PeerRecords &peers);
  /// Those that have become suspect: silent, or without an answer to a doubt.
  std::vector<std::string> findSuspects(common::TimePoint now,
                                        const state::HostTable &hosts,
                                        PeerRecords &peers,
                                        const MembershipOptions &options) const;

private:
  std::vector<std::string> Names;
};

} // namespace auburnroute::membership
