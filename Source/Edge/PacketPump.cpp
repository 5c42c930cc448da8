#include "Edge/PacketPump.h"

#include "platform/PacketCodec.h"

#include <algorithm>

namespace auburnroute::edge {

using platform::PacketCodec;
using transport::UdpSocket;

namespace {

/// Batches that one wake-up handles, so that timers get their turn.
constexpr int MaxBatches = 16;
/// Packets held at once, of 1.2 KB each.
constexpr std::size_t MaxHeld = 512;
/// A fraction of the time that a request takes.
constexpr std::chrono::milliseconds RetryInterval{10};

} // namespace

PacketPump::PacketPump(boost::asio::io_context &loop, UdpSocket socket,
                       routing::PacketRouter &router,
                       const routing::ServerDirectory &directory,
                       const common::Clock &clock, EventRecorder &recorder)
    : Input(loop, std::move(socket)), Router(router), Directory(directory),
      Clock(clock), Recorder(recorder), CallerPort(Input.socket().localPort()),
      RetryTimer(loop) {
  static_assert(PacketCodec::HeadSize ==
                std::tuple_size_v<decltype(Heads)::value_type>);
}

void PacketPump::start() {
  if (Started)
    return;
  Started = true;
  Router.onStart(Clock.now());
  Input.start([this] { onReadable(); });
}

void PacketPump::discardBacklog() {
  for (int i = 0; i < MaxBatches; ++i) {
    const auto n = Input.socket().receive(std::chrono::milliseconds(0)).size();
    Recorder.counters().StalePacketsDropped += n;
    if (n < UdpSocket::BatchSize)
      return;
  }
}

void PacketPump::onReadable() {
  for (int i = 0; i < MaxBatches; ++i) {
    const auto batch = Input.socket().receive(std::chrono::milliseconds(0));
    if (batch.empty())
      return;
    LastPacketAt = Clock.now();
    Recorder.counters().CallerPackets += batch.size();
    for (std::size_t n = 0; n < batch.size(); ++n)
      handle(batch[n].Bytes, n);
    Input.socket().flush();
    if (batch.size() < UdpSocket::BatchSize)
      return;
  }
}

void PacketPump::handle(std::span<std::byte> datagram, std::size_t index) {
  const auto packet = PacketCodec::decode(datagram);
  if (!packet) {
    ++Recorder.counters()
          .Refusals[static_cast<std::size_t>(routing::Refusal::Malformed)];
    return;
  }
  const auto outcome = Router.onPacket(*packet, LastPacketAt);
  if (std::holds_alternative<routing::HoldPacket>(outcome))
    hold(*packet, datagram);
  else
    carryOut(outcome, *packet, datagram, index);
}

void PacketPump::carryOut(const routing::RoutingOutcome &outcome,
                          const routing::FlowPacket &packet,
                          std::span<std::byte> datagram, std::size_t index) {
  if (const auto *forward = std::get_if<routing::ForwardPacket>(&outcome)) {
    const auto &server = Directory.at(forward->Server).Registration;
    PacketCodec::writeEcho(datagram, forward->Tag);
    const auto prefix = PacketCodec::prefix(server.Identity);
    std::ranges::copy(prefix, Heads[index].begin());
    ++Recorder.counters().PacketsForwarded;
    Input.socket().queue(
        server.Address, std::span(Heads[index]).first(prefix.size()), datagram);
  } else if (std::holds_alternative<routing::ResetFlow>(outcome)) {
    Heads[index] = PacketCodec::reset(packet);
    Input.socket().queue({packet.Source.Address, CallerPort}, Heads[index], {});
  }
}

void PacketPump::hold(const routing::FlowPacket &packet,
                      std::span<const std::byte> datagram) {
  const auto sameFlow = [&](const Held &it) {
    return it.Packet.Source == packet.Source &&
           it.Packet.Destination == packet.Destination &&
           it.Packet.Sequence == packet.Sequence;
  };
  if (std::ranges::any_of(Waiting, sameFlow) || Waiting.size() >= MaxHeld)
    return; // The caller's repeat of a held packet, or too many to keep.
  ++Recorder.counters().PacketsHeld;
  Waiting.push_back({packet, {datagram.begin(), datagram.end()}, LastPacketAt});
  if (Waiting.size() > 1)
    return;
  RetryTimer.expires_after(RetryInterval);
  RetryTimer.async_wait([this](auto ec) {
    if (!ec)
      retryHeld();
  });
}

void PacketPump::retryHeld() {
  const auto now = Clock.now();
  std::deque<Held> rest;
  std::deque<Held> done;
  std::size_t n = 0;
  for (auto &it : Waiting) {
    const auto outcome = Router.onHeldPacket(it.Packet, it.Since, now);
    if (std::holds_alternative<routing::HoldPacket>(outcome)) {
      rest.push_back(std::move(it));
      continue;
    }
    // The socket refers to the bytes until it is flushed.
    done.push_back(std::move(it));
    carryOut(outcome, done.back().Packet, done.back().Bytes, n++);
    if (n == UdpSocket::BatchSize) {
      Input.socket().flush();
      n = 0;
    }
  }
  Input.socket().flush();
  Waiting = std::move(rest);
  if (Waiting.empty())
    return;
  RetryTimer.expires_after(RetryInterval);
  RetryTimer.async_wait([this](auto ec) {
    if (!ec)
      retryHeld();
  });
}

} // namespace auburnroute::edge
