#pragma once

#include "Coordination/Forwarding/Outcome.h"
#include "Coordination/Forwarding/PacketSummary.h"
#include "Protocol/PacketView.h"
#include "State/Cause.h"

namespace auburnroute::protocol {

/// Connects packets with the decisions of the forwarding engine. Allocates
/// nothing.
class PacketRewriter {
public:
  /// What decisions look at in \p packet.
  static forwarding::PacketSummary summarise(const PacketView &packet);
  /// Carries out a decision on \p packet. Returns Cause::None, or
  /// Cause::BadHeader if its time to live has run out.
  static state::Cause apply(const forwarding::ForwardToBackendServer &forward,
                            PacketView &packet);
  static state::Cause apply(const forwarding::ForwardToCaller &forward,
                            PacketView &packet);
};

} // namespace auburnroute::protocol
