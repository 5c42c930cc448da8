#pragma once

#include "Common/Endpoint.h"
#include "State/HostTable.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::membership {

/// Who this host is.
struct HostIdentity {
  std::string Name;
  std::string Zone;
  state::HostAddresses Addresses;
  std::uint64_t Incarnation = 0; ///< Process start, ms since the epoch.
};

/// Times and bounds of membership; most come from the daemon settings.
struct MembershipOptions {
  std::chrono::milliseconds HeartbeatInterval{500};
  std::chrono::milliseconds SuspectAfter{1000};
  std::chrono::milliseconds DeadAfter{3000};
  std::chrono::milliseconds PauseLimit{200};
  std::chrono::milliseconds JoinTimeout{2000};
  /// Silence of a neighbour before it is asked for an answer. One lost
  /// heartbeat then does not make it suspect.
  std::chrono::milliseconds ProbeAfter{700};
  /// Least time between two rounds when there is news to spread.
  std::chrono::milliseconds MinRoundInterval{100};
  /// From a doubt to the suspicion if the host does not answer. A live host
  /// answers within 150 ms: at a tick, they are 50 ms apart, but not within
  /// MinRoundInterval of its last round. One that is silent for as long as the
  /// pause limit places nothing by itself when it resumes.
  std::chrono::milliseconds OnDemandProbeTimeout{200};
  /// Least time between two probes of a host for doubts.
  std::chrono::milliseconds OnDemandProbeInterval{1000};
  /// Dead hosts that the platform does not list are kept this long, so that
  /// late reports cannot bring them back.
  std::chrono::minutes ForgetAfter{10};
  std::size_t MaxUpdatesPerHeartbeat = 32; ///< News per heartbeat.
  std::size_t MaxSyncUpdates = 16;     ///< Per heartbeat to a differing peer.
  std::size_t MaxJoinUpdates = 128;    ///< Per heartbeat to a joining peer.
  std::vector<common::Endpoint> Seeds; ///< Peer endpoints to join through.
};

} // namespace auburnroute::membership
