#pragma once

#include "State/ServiceTable.h"

#include <cstdint>
#include <span>

namespace auburnroute::forwarding {

/// Names the backend server of packets without a tag, for services whose
/// `timestamps` mode is `hash`: weighted rendezvous hashing (the logarithmic
/// method of Schindelhauer and Schomaker, SPAA 2005).
///
/// Every host of the same revision makes the same choice. A change of settings
/// moves, and so breaks, these flows:
///  - backend server added: its share of all flows (weight / sum of weights);
///  - removed: its own flows, no others;
///  - re-weighted: the difference of its shares;
///  - set to draining: none. Packets cannot tell an old flow of a draining
///    server from a new one, so its share of new flows is refused rather than
///    sent elsewhere; the caller's next port most likely hashes to another
///    server.
/// Hosts with different revisions disagree on the moved share while the change
/// spreads. Health and zones are not considered.
class HashPlacement {
public:
  /// The backend server for \p flowHash (FlowKey::hash); nullptr if no server
  /// has a weight above 0.
  static const state::BackendServerEntry *
  choose(std::span<const state::BackendServerEntry> servers,
         std::uint64_t flowHash);
};

} // namespace auburnroute::forwarding
