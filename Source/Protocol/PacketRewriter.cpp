#include "Protocol/PacketRewriter.h"

namespace auburnroute::protocol {

forwarding::PacketSummary PacketRewriter::summarise(const PacketView &packet) {
  forwarding::PacketSummary summary;
  summary.Source = packet.source();
  summary.Destination = packet.destination();
  summary.Syn = packet.isSyn();
  summary.SynAck = packet.isSynAck();
  summary.Ack = packet.hasFlag(PacketView::AckFlag);
  summary.Fin = packet.isFin();
  summary.Rst = packet.isRst();
  summary.HasTimestamps = packet.hasTimestamps();
  if (summary.HasTimestamps) {
    summary.TimestampValue = packet.timestampValue();
    summary.TimestampEcho = packet.timestampEcho();
  }
  return summary;
}

state::Cause
PacketRewriter::apply(const forwarding::ForwardToBackendServer &forward,
                      PacketView &packet) {
  if (!packet.decrementTimeToLive())
    return state::Cause::BadHeader;
  packet.setDestination(forward.Destination);
  if (packet.hasTimestamps())
    packet.setTimestampEcho(forward.TimestampEcho);
  return state::Cause::None;
}

state::Cause PacketRewriter::apply(const forwarding::ForwardToCaller &forward,
                                   PacketView &packet) {
  if (!packet.decrementTimeToLive())
    return state::Cause::BadHeader;
  packet.setSource(forward.Source);
  if (packet.hasTimestamps())
    packet.setTimestampValue(forward.TimestampValue);
  return state::Cause::None;
}

} // namespace auburnroute::protocol
