#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace auburnroute::membership {

/// What is kept of a host besides its entry in the table.
struct PeerRecord {
  std::uint64_t HeardIncarnation = 0;
  std::uint64_t HeardSequence = 0;  ///< Last one heard directly, for echoes.
  common::TimePoint NeighbourSince; ///< Since when it is a neighbour.
  common::TimePoint LastProbe;
  common::TimePoint OnDemandProbeSince;
  std::string SyncCursor;            ///< Last host told to it.
  bool IsNeighbour = false;          ///< Is a neighbour.
  bool HasEchoed = false;            ///< Has echoed this incarnation.
  bool NeedsAnswer = false;          ///< Asked for a heartbeat.
  bool OnDemandProbePending = false; ///< Has not answered the probe of a doubt.
  bool ViewDiffers = false;          ///< Its host table differs from this one.
  bool WasListedLeaving = false;     ///< Leaving on the last host list.
};

/// By name of the host.
using PeerRecords = std::map<std::string, PeerRecord, std::less<>>;

} // namespace auburnroute::membership
