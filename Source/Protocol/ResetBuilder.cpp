#include "Protocol/ResetBuilder.h"

#include "Protocol/PacketBuilder.h"

namespace auburnroute::protocol {

std::vector<std::byte> ResetBuilder::build(const PacketView &syn) {
  Segment reset;
  reset.Source = syn.destination();
  reset.Destination = syn.source();
  reset.Flags = PacketView::RstFlag | PacketView::AckFlag;
  // A SYN takes one sequence number, and PacketView refuses SYNs with payload.
  reset.Acknowledgement = syn.sequence() + 1;
  return buildPacket(reset);
}

} // namespace auburnroute::protocol
