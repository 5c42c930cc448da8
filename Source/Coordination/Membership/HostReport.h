#pragma once

#include "Common/Endpoint.h"
#include "Coordination/Messages/PeerMessage.h"
#include "State/HostTable.h"

#include <cstdint>
#include <tuple>

namespace auburnroute::membership {

/// Order of states among reports with the same incarnation and sequence.
inline int severity(state::HostState state) {
  switch (state) {
  case state::HostState::Suspect:
    return 1;
  case state::HostState::Dead:
    return 2;
  default:
    return 0;
  }
}

inline bool isDown(state::HostState state) { return severity(state) > 0; }

/// Reports are ordered by this key; the higher one replaces the lower one.
inline auto reportOrder(const state::Host &host) {
  return std::tuple(host.Incarnation, host.Sequence, severity(host.State));
}

inline auto reportOrder(const messages::HostUpdate &update) {
  return std::tuple(update.Incarnation, update.Sequence,
                    severity(update.State));
}

inline messages::HostUpdate makeUpdate(const state::Host &host) {
  return {host.Name,  host.Incarnation, host.Sequence,
          host.State, host.IsLeaving,   host.Addresses};
}

inline bool isKnown(const common::Endpoint &endpoint) {
  return endpoint.Port != 0;
}

inline std::uint32_t low32Bits(std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(incarnation);
}

} // namespace auburnroute::membership
