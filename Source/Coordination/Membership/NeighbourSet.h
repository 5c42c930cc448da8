#pragma once

#include "Common/Clock.h"
#include "Coordination/Membership/MembershipOptions.h"
#include "Coordination/Membership/PeerRecord.h"
#include "State/HostTable.h"

#include <string>
#include <vector>

namespace auburnroute::membership {

/// The hosts that this one sends heartbeats to and monitors.
class NeighbourSet {
public:
  /// Names of the neighbours, sorted.
  const std::vector<std::string> &names() const { return Names; }
  /// Recomputes the neighbours from \p hosts and starts to monitor new ones.
  void refresh(common::TimePoint now, const state::HostTable &hosts,
               PeerRecords &peers, const std::string &self);
  /// Restarts the timeout of pending on-demand probes at \p now.
  void restartProbeTimeouts(common::TimePoint now, PeerRecords &peers);
  /// Returns the neighbours that become suspect: not heard from for
  /// SuspectAfter, or an on-demand probe was not answered.
  std::vector<std::string> findSuspects(common::TimePoint now,
                                        const state::HostTable &hosts,
                                        PeerRecords &peers,
                                        const MembershipOptions &options) const;

private:
  std::vector<std::string> Names;
};

} // namespace auburnroute::membership
