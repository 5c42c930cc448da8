#pragma once

#include "Protocol/PacketView.h"

#include <cstddef>
#include <vector>

namespace auburnroute::protocol {

/// Builds the packet that refuses a SYN.
///
/// This reset is the only signal in the system that guarantees that a request
/// was not executed: before the handshake there is no payload that a host could
/// have forwarded. After a reset or silence that follows the handshake it is
/// unknown whether the request was executed.
class ResetBuilder {
public:
  /// Returns the RST|ACK that responds to \p syn (RFC 9293, 3.10.7.1): from the
  /// service to the caller, with sequence number 0, acknowledging the SYN. If
  /// the SYN was a late duplicate, sequence number 0 is outside the caller's
  /// window (RFC 5961, 3.2), so that the reset does not end the flow that
  /// another copy established.
  static std::vector<std::byte> build(const PacketView &syn);
};

} // namespace auburnroute::protocol
