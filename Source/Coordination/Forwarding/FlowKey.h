#pragma once

#include "Common/Endpoint.h"

#include <cstdint>

namespace auburnroute::forwarding {

/// Identifies a flow by the addresses that its caller uses.
struct FlowKey {
  common::Endpoint Caller;
  common::Endpoint Service;

  bool operator==(const FlowKey &) const = default;

  /// Seeded 64-bit hash (XXH3).
  std::uint64_t hash(std::uint64_t seed) const;

  template <typename H> friend H AbslHashValue(H h, const FlowKey &key) {
    return H::combine(std::move(h), key.Caller.key(), key.Service.key());
  }
};

} // namespace auburnroute::forwarding
