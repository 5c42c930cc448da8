#pragma once

#include "Coordination/PacketSummary.h"
#include "Protocol/PacketView.h"

namespace auburnroute::daemon {

/// The headers of \p view that decisions look at.
coordination::PacketSummary summarise(const protocol::PacketView &view);

} // namespace auburnroute::daemon
