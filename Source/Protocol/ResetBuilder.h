#pragma once

#include "Protocol/PacketView.h"

#include <cstddef>
#include <vector>

namespace auburnroute::protocol {

/// Builds the packet that refuses a SYN.
///
/// This reset is the only signal in the system that means "not run": the host
/// forwarded none of the flow's payload, because none exists before the
/// handshake. A reset or silence after the handshake means "unknown".
class ResetBuilder {
public:
  /// The RST|ACK that answers \p syn (RFC 9293, 3.10.7.1): from the service to
  /// the caller, sequence 0, acknowledging the SYN. The sequence of 0 keeps a
  /// reset that answers a late copy of a SYN from ending the flow that another
  /// copy established: it lies outside the caller's window (RFC 5961, 3.2).
  static std::vector<std::byte> build(const PacketView &syn);
};

} // namespace auburnroute::protocol
