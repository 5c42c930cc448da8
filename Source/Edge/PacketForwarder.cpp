#include "Edge/PacketForwarder.h"

#include "platform/PacketCodec.h"

#include <algorithm>

namespace auburnroute::edge {

using platform::PacketCodec;
using transport::UdpSocket;

namespace {

/// Batches handled per wake-up. Bounded so that timers are not starved.
constexpr int MaxBatches = 16;
/// Batches discarded at once: more than the socket's buffer holds.
constexpr int MaxDiscardedBatches = 256;

} // namespace

PacketForwarder::PacketForwarder(
    boost::asio::io_context &loop, UdpSocket socket,
    routing::PacketRouter &router, const routing::ServerDirectory &directory,
    const common::Clock &clock, EventRecorder &recorder,
    std::function<void()> onWakeUp, std::function<void()> onBatchHandled)
    : Socket(loop, std::move(socket)), Router(router), Directory(directory),
      Clock(clock), Recorder(recorder), OnWakeUp(std::move(onWakeUp)),
      OnBatchHandled(std::move(onBatchHandled)),
      ClientPort(Socket.socket().localPort()) {
  static_assert(PacketCodec::HeaderSize ==
                std::tuple_size_v<decltype(LeadingBytes)::value_type>);
}

void PacketForwarder::start() {
  if (IsStarted)
    return;
  IsStarted = true;
  Socket.start([this] { onReadable(); });
}

void PacketForwarder::discardBacklog() {
  Recorder.metrics().add(EdgeCounter::StalePacketsDropped,
                         Socket.discard(MaxDiscardedBatches));
}

void PacketForwarder::resetFlows(
    const std::vector<routing::FlowPacket> &packets) {
  std::size_t index = 0;
  for (const auto &it : packets) {
    LeadingBytes[index] = PacketCodec::makeReset(it);
    Socket.socket().queue({it.Source.Address, ClientPort}, LeadingBytes[index],
                          {});
    if (++index == LeadingBytes.size()) {
      Socket.socket().flush();
      index = 0;
    }
  }
  Socket.socket().flush();
  Recorder.metrics().add(EdgeCounter::FlowsAbandoned, packets.size());
}

void PacketForwarder::onReadable() {
  OnWakeUp();
  for (int i = 0; i < MaxBatches; ++i) {
    const auto batch = Socket.socket().receive(std::chrono::milliseconds(0));
    if (batch.empty())
      break;
    LastPacketAt = Clock.now();
    Recorder.metrics().add(EdgeCounter::CallerPackets, batch.size());
    for (std::size_t n = 0; n < batch.size(); ++n)
      handle(batch[n], n);
    Socket.socket().flush();
    if (batch.size() < UdpSocket::BatchSize)
      break;
  }
  OnBatchHandled();
}

void PacketForwarder::handle(transport::Datagram &datagram, std::size_t index) {
  const auto packet = PacketCodec::decode(datagram.Bytes);
  if (!packet) {
    Recorder.metrics().add(EdgeCounter::PacketsDropped);
    return;
  }
  const auto outcome = Router.onPacket(*packet, LastPacketAt);
  if (const auto *forward = std::get_if<routing::ForwardPacket>(&outcome)) {
    const auto &server = Directory.at(forward->Server).Registration;
    PacketCodec::writeEcho(datagram.Bytes, forward->Tag);
    const auto prefix = PacketCodec::identityPrefix(server.Identity);
    std::ranges::copy(prefix, LeadingBytes[index].begin());
    Recorder.metrics().add(EdgeCounter::PacketsForwarded);
    Socket.socket().queue(server.Address,
                          std::span(LeadingBytes[index]).first(prefix.size()),
                          datagram.Bytes);
  } else if (std::holds_alternative<routing::ResetFlow>(outcome)) {
    LeadingBytes[index] = PacketCodec::makeReset(*packet);
    Socket.socket().queue({packet->Source.Address, ClientPort},
                          LeadingBytes[index], {});
  }
}

} // namespace auburnroute::edge
