#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace auburnroute::membership {

/// State of a peer that Membership keeps besides the host table.
struct PeerRecord {
  std::uint64_t HeardIncarnation = 0;
  std::uint64_t HeardSequence = 0; ///< Last one heard directly, for echoes.
  common::TimePoint NeighbourSince;
  common::TimePoint LastProbe;
  common::TimePoint OnDemandProbeSince;
  std::string SyncCursor;   ///< Last host whose state was sent to the peer.
  bool IsNeighbour = false; ///< Exchanges heartbeats with this host.
  bool HasEchoed = false;   ///< Echoed the incarnation of this host.
  bool NeedsAnswer = false; ///< Waits for a heartbeat.
  bool IsOnDemandProbePending = false; ///< Sent and not answered.
  bool ViewDiffers = false;      ///< Its host table differs from this one.
  bool WasListedLeaving = false; ///< In the last host list.
};

/// Keyed by host name.
using PeerRecords = std::map<std::string, PeerRecord, std::less<>>;

} // namespace auburnroute::membership
