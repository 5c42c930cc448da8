#pragma once

#include "Common/Endpoint.h"
#include "State/HostTable.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::membership {

/// Identity of this host.
struct HostIdentity {
  std::string Name;
  std::string Zone;
  state::HostAddresses Addresses;
  std::uint64_t Incarnation = 0; ///< Process start, ms since the epoch.
};

/// Timeouts and limits of membership; most come from the daemon settings.
struct MembershipOptions {
  std::chrono::milliseconds HeartbeatInterval{500};
  std::chrono::milliseconds SuspectAfter{1000};
  std::chrono::milliseconds DeadAfter{3000};
  std::chrono::milliseconds PauseLimit{200};
  std::chrono::milliseconds JoinTimeout{2000};
  /// A neighbour that was not heard from for this long is probed, so that one
  /// lost heartbeat does not make it suspect.
  std::chrono::milliseconds ProbeAfter{700};
  /// Minimum time between two rounds, also when updates are pending.
  std::chrono::milliseconds MinRoundInterval{100};
  /// Time that a host has to answer an on-demand probe before it becomes
  /// suspect. A live host answers within 150 ms: at one of its ticks, which are
  /// 50 ms apart, but not within MinRoundInterval of its last round. A host
  /// that is paused for longer than the pause limit (200 ms by default) is
  /// unconfirmed when it resumes and places no flows.
  std::chrono::milliseconds OnDemandProbeTimeout{200};
  /// Minimum time between two on-demand probes of a host.
  std::chrono::milliseconds OnDemandProbeInterval{1000};
  /// Dead hosts that the platform does not list are kept for this long, so that
  /// late reports cannot revive them.
  std::chrono::minutes ForgetAfter{10};
  std::size_t MaxUpdatesPerHeartbeat = 32; ///< Queued updates.
  std::size_t MaxSyncUpdates = 16;     ///< Per heartbeat if the views differ.
  std::size_t MaxJoinUpdates = 128;    ///< Per heartbeat to a joining peer.
  std::vector<common::Endpoint> Seeds; ///< Peer endpoints to join through.
};

} // namespace auburnroute::membership
