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

/// What a host tells another in one datagram.
struct GossipMessage {
  PeerInfo Sender;
  std::vector<PeerInfo> Hosts;
  std::uint64_t ConfigurationVersion = 0;
  ViewChanges Changes;
  std::chrono::milliseconds ViewAge{0};
  std::vector<ReportedSuspect> Suspects;
  /// Causes that the sender recorded. Copies keep the hour's answer when the
  /// sender is gone.
  std::vector<state::CauseEntry> Causes;
  bool WantsAnswer = false; ///< From a host that knows too little.
};

/// A snapshot with its age at the sender.
struct AgedSnapshot {
  ViewSnapshot View;
  std::chrono::milliseconds Age{0};
};

} // namespace auburnroute::fleet
