#include "Daemon/PacketSummaries.h"

namespace auburnroute::daemon {

coordination::PacketSummary summarise(const protocol::PacketView &view) {
  coordination::PacketSummary packet;
  packet.Source = view.source();
  packet.Destination = view.destination();
  packet.Syn = view.isSyn();
  packet.Fin = view.isFin();
  packet.Rst = view.isRst();
  packet.HasTimestamps = view.hasTimestamps();
  if (packet.HasTimestamps) {
    packet.TimestampValue = view.timestampValue();
    packet.TimestampEcho = view.timestampEcho();
  }
  return packet;
}

} // namespace auburnroute::daemon
