#pragma once

#include "Coordination/Forwarding/Outcome.h"
#include "Coordination/Forwarding/PacketSummary.h"
#include "Protocol/PacketView.h"
#include "State/Cause.h"

namespace auburnroute::protocol {

/// Extracts the input of the forwarding engine from packets and applies its
/// outcomes to them. Does not allocate.
class PacketRewriter {
public:
  /// Returns the fields of \p packet that forwarding decisions depend on.
  static forwarding::PacketSummary summarise(const PacketView &packet);
  /// Rewrites \p packet for \p forward and decrements its time to live. Returns
  /// Cause::None, or Cause::BadHeader if the time to live has run out.
  static state::Cause apply(const forwarding::ForwardToBackendServer &forward,
                            PacketView &packet);
  static state::Cause apply(const forwarding::ForwardToCaller &forward,
                            PacketView &packet);
};

} // namespace auburnroute::protocol
