#pragma once

#include "Common/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnroute::state {

/// Settings of one daemon, from a local file.
struct DaemonSettings {
  std::string Host;
  std::string Zone;
  common::Endpoint Packets;                 ///< UDP, packets from the fabric.
  common::Endpoint Admission;               ///< UDP, hand-overs from hosts.
  common::Endpoint Peer;                    ///< TCP, ZeroMQ.
  common::Endpoint Operator;                ///< TCP, HTTP.
  common::Endpoint Gateway;                 ///< UDP, packets to callers.
  std::optional<common::Endpoint> Platform; ///< TCP, HTTP.
  std::string SharedKey;
  std::uint32_t TrafficThreads = 1;
  std::vector<common::Endpoint> Seeds; ///< Peers to ask first.
  std::chrono::milliseconds SuspectAfter{1000};
  std::chrono::milliseconds DeadAfter{3000};
  std::chrono::milliseconds HeartbeatInterval{500};
  std::chrono::milliseconds PauseLimit{200};
  std::chrono::milliseconds JoinTimeout{2000};
  /// A stopping host ends once no packet has arrived for this long.
  std::chrono::milliseconds StopQuiet{500};
  std::chrono::milliseconds StopTimeout{10000};
};

} // namespace auburnroute::state
