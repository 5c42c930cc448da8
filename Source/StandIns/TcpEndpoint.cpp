#include "StandIns/TcpEndpoint.h"

#include "Protocol/PacketBuilder.h"

namespace auburnroute::standins {

using protocol::PacketView;

TcpEndpoint::TcpEndpoint(std::uint64_t seed, TcpOptions options)
    : Options(options), Random(seed) {}

void TcpEndpoint::listen(common::Endpoint local) {
  ListeningEndpoints.insert(local);
}

template <typename Action>
void TcpEndpoint::apply(ConnectionId id, Action action) {
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  auto &connection = it->second;
  const auto before = connection.deadline();
  action(connection);
  const auto after = connection.deadline();
  if (before != after) {
    if (before)
      Timers.erase({*before, id});
    if (after)
      Timers.emplace(*after, id);
  }
  if (connection.state() == TcpState::Closed)
    removeConnection(id);
}

void TcpEndpoint::removeConnection(ConnectionId id) {
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  if (const auto deadline = it->second.deadline())
    Timers.erase({*deadline, id});
  const auto flow =
      IdByFlow.find(FlowId{it->second.local(), it->second.remote()});
  if (flow != IdByFlow.end() && flow->second == id)
    IdByFlow.erase(flow);
  Connections.erase(it);
}

std::uint32_t TcpEndpoint::randomInitialSequence() {
  return static_cast<std::uint32_t>(Random());
}

ConnectionId TcpEndpoint::connect(common::TimePoint now, common::Endpoint local,
                                  common::Endpoint remote) {
  const FlowId flow{local, remote};
  if (const auto it = IdByFlow.find(flow); it != IdByFlow.end())
    removeConnection(it->second);
  const auto id = NextId++;
  const auto at = Connections.emplace(
      id, TcpConnection::open(now, id, local, remote, randomInitialSequence(),
                              Options, Output));
  IdByFlow[flow] = id;
  Timers.emplace(*at.first->second.deadline(), id);
  return id;
}

void TcpEndpoint::send(common::TimePoint now, ConnectionId id,
                       std::string_view bytes) {
  apply(id, [&](TcpConnection &it) { it.send(now, bytes, Output); });
}

void TcpEndpoint::close(common::TimePoint now, ConnectionId id) {
  apply(id, [&](TcpConnection &it) { it.close(now, Output); });
}

void TcpEndpoint::abort(common::TimePoint now, ConnectionId id) {
  apply(id, [&](TcpConnection &it) { it.abort(now, Output); });
}

void TcpEndpoint::onDatagram(common::TimePoint now,
                             std::span<std::byte> datagram) {
  PacketView segment;
  if (segment.parse(datagram) != state::Cause::None) {
    ++Output.Counters.Malformed;
    return;
  }
  if (!segment.hasValidChecksums()) {
    ++Output.Counters.ChecksumErrors;
    return;
  }
  auto it = IdByFlow.find(FlowId{segment.destination(), segment.source()});
  if (it != IdByFlow.end() && segment.isSyn() &&
      Connections.at(it->second).canBeReplacedBy(segment)) {
    removeConnection(it->second);
    it = IdByFlow.end();
  }
  if (it == IdByFlow.end()) {
    onUnmatchedSegment(now, segment);
    return;
  }
  apply(it->second, [&](TcpConnection &connection) {
    connection.onSegment(now, segment, Output);
  });
}

void TcpEndpoint::onUnmatchedSegment(common::TimePoint now,
                                     const PacketView &segment) {
  if (segment.isSyn()) {
    onNewSyn(now, segment);
    return;
  }
  ++Output.Counters.LateSegments;
  if (!segment.isRst())
    sendReset(now, segment);
}

void TcpEndpoint::onNewSyn(common::TimePoint now, const PacketView &syn) {
  if (IsShedding || !ListeningEndpoints.contains(syn.destination())) {
    sendReset(now, syn);
    return;
  }
  const auto id = NextId++;
  Output.Events.emplace_back(
      HandshakeStarted{id, syn.destination(), syn.source()});
  const auto at = Connections.emplace(
      id, TcpConnection::accept(now, id, syn, randomInitialSequence(), Options,
                                Output));
  IdByFlow[FlowId{syn.destination(), syn.source()}] = id;
  Timers.emplace(*at.first->second.deadline(), id);
}

// RFC 9293, section 3.10.7.1. Echoing the timestamp makes the hosts route a
// reset from a caller to the backend server that sent the segment.
void TcpEndpoint::sendReset(common::TimePoint now, const PacketView &segment) {
  protocol::Segment reset;
  reset.Source = segment.destination();
  reset.Destination = segment.source();
  reset.Flags = PacketView::RstFlag;
  if (segment.hasFlag(PacketView::AckFlag)) {
    reset.Sequence = segment.acknowledgement();
  } else {
    reset.Flags |= PacketView::AckFlag;
    reset.Acknowledgement =
        segment.sequence() + static_cast<std::uint32_t>(segment.payloadSize()) +
        (segment.isSyn() ? 1 : 0) + (segment.isFin() ? 1 : 0);
  }
  if (segment.hasTimestamps())
    reset.Times =
        protocol::Timestamps{timestampOf(now), segment.timestampValue()};
  Output.Packets.push_back(protocol::buildPacket(reset));
  ++Output.Counters.ResetsSent;
}

void TcpEndpoint::onTimer(common::TimePoint now) {
  // The loop ends because handlers set only timers in the future.
  while (!Timers.empty() && Timers.begin()->first <= now)
    apply(Timers.begin()->second,
          [&](TcpConnection &it) { it.onTimer(now, Output); });
}

std::optional<common::TimePoint> TcpEndpoint::nextTimer() const {
  if (Timers.empty())
    return std::nullopt;
  return Timers.begin()->first;
}

bool TcpEndpoint::isInUse(common::Endpoint local,
                          common::Endpoint remote) const {
  const auto it = IdByFlow.find(FlowId{local, remote});
  return it != IdByFlow.end() &&
         Connections.at(it->second).state() != TcpState::TimeWait;
}

std::vector<TcpEvent> TcpEndpoint::takeEvents() {
  return std::exchange(Output.Events, {});
}

std::vector<std::vector<std::byte>> TcpEndpoint::takePackets() {
  return std::exchange(Output.Packets, {});
}

} // namespace auburnroute::standins
