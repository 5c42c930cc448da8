#pragma once

#include "Fleet/FleetView.h"
#include "Fleet/PeerTable.h"
#include "State/CauseStore.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace auburnroute::fleet {

/// A backend server that a host suspects.
struct ReportedSuspect {
  std::uint64_t Identity = 0;
  std::chrono::milliseconds SilentFor{0}; ///< Since the unanswered packet.
};

/// Content of one gossip datagram.
struct GossipMessage {
  PeerInfo Sender;
  std::vector<PeerInfo> Hosts;
  std::uint64_t ConfigurationVersion = 0;
  ViewChanges Changes;
  std::chrono::milliseconds ViewAge{0};
  std::vector<ReportedSuspect> Suspects;
  /// Causes that the sender recorded. Copies keep the last hour available after
  /// the sender is gone.
  std::vector<state::CauseEntry> Causes;
  /// Set by a host whose view is incomplete or outdated.
  bool WantsAnswer = false;
};

/// A snapshot and its age when it was sent.
struct AgedSnapshot {
  ViewSnapshot View;
  std::chrono::milliseconds Age{0};
};

} // namespace auburnroute::fleet
