#include "Protocol/ResetBuilder.h"

#include "Protocol/PacketBuilder.h"

namespace auburnroute::protocol {

std::vector<std::byte> buildReset(const PacketView &syn) {
  Segment segment;
  segment.Source = syn.destination();
  segment.Destination = syn.source();
  segment.Flags = PacketView::RstFlag | PacketView::AckFlag;
  segment.Acknowledgement =
      syn.sequence() + static_cast<std::uint32_t>(syn.payloadSize()) + 1;
  return buildPacket(segment);
}

} // namespace auburnroute::protocol
