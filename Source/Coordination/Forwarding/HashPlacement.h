#pragma once

#include "State/ServiceTable.h"

#include <cstdint>
#include <span>

namespace auburnroute::forwarding {

/// Selects the backend server of packets without a tag, for services whose
/// `timestamps` mode is `hash`, by weighted rendezvous hashing (the logarithmic
/// method of Schindelhauer and Schomaker, SPAA 2005).
///
/// All hosts with the same settings revision make the same choice. A change of
/// settings moves, and thereby breaks, these flows:
///  - server added: its share of all flows (weight / sum of weights);
///  - server removed: only the flows of that server;
///  - weight changed: the difference between the old and the new share;
///  - server set to draining: none. A packet does not show whether its flow is
///    older than the drain, so new flows that hash to a draining server are
///    refused, not moved; with its next port the caller most likely gets
///    another server.
/// Until all hosts have a new revision, they disagree on the flows that it
/// moves. Health and zones are not taken into account.
class HashPlacement {
public:
  /// The backend server for \p flowHash (FlowKey::hash); nullptr if no server
  /// has a weight above 0.
  static const state::BackendServerEntry *
  choose(std::span<const state::BackendServerEntry> servers,
         std::uint64_t flowHash);
};

} // namespace auburnroute::forwarding
