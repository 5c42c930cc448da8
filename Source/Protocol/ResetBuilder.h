#pragma once

#include "Protocol/PacketView.h"

#include <cstddef>
#include <vector>

namespace auburnroute::protocol {

/// Builds the reset that refuses \p syn: RST and ACK of the SYN, as RFC 9293,
/// section 3.10.7.1 asks. It is the only signal that a request was not run.
std::vector<std::byte> buildReset(const PacketView &syn);

} // namespace auburnroute::protocol
