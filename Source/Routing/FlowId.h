#pragma once

#include "Common/Endpoint.h"

#include <string>
#include <utility>

namespace auburnroute::routing {

/// Identity of a flow: source and destination as the caller sends them.
struct FlowId {
  common::Endpoint Caller;
  common::Endpoint Service;

  bool operator==(const FlowId &) const = default;

  template <typename H> friend H AbslHashValue(H h, const FlowId &id) {
    return H::combine(std::move(h), id.Caller.key(), id.Service.key());
  }
};

/// "CALLER>SERVICE", the format of a flow id in logs and on the command line.
inline std::string toString(const FlowId &id) {
  return common::toString(id.Caller) + ">" + common::toString(id.Service);
}

} // namespace auburnroute::routing
