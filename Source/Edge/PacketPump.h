#pragma once

#include "Common/Clock.h"
#include "Edge/EventRecorder.h"
#include "Edge/ReadableSocket.h"
#include "Routing/PacketRouter.h"

#include <array>
#include <deque>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace auburnroute::edge {

/// Takes the packets of callers from the routers and carries out what the
/// PacketRouter decides.
class PacketPump {
public:
  /// References must outlive the object.
  PacketPump(boost::asio::io_context &loop, transport::UdpSocket socket,
             routing::PacketRouter &router,
             const routing::ServerDirectory &directory,
             const common::Clock &clock, EventRecorder &recorder);

  /// Begins to read. What came before waits in the socket.
  void start();
  /// Drops what waits in the socket, as after a pause: callers have repeated
  /// or given up these packets.
  void discardBacklog();
  /// When the last packet of a caller came.
  common::TimePoint lastPacketAt() const { return LastPacketAt; }

private:
  /// A packet that waits for its backend server.
  struct Held {
    routing::FlowPacket Packet;
    std::vector<std::byte> Bytes;
    common::TimePoint Since;
  };

  void onReadable();
  void handle(std::span<std::byte> datagram, std::size_t index);
  /// Carries out \p outcome, except that a packet to hold is left alone.
  void carryOut(const routing::RoutingOutcome &outcome,
                const routing::FlowPacket &packet,
                std::span<std::byte> datagram, std::size_t index);
  void hold(const routing::FlowPacket &packet,
            std::span<const std::byte> datagram);
  /// Asks again for each held packet.
  void retryHeld();

  ReadableSocket Input;
  routing::PacketRouter &Router;
  const routing::ServerDirectory &Directory;
  const common::Clock &Clock;
  EventRecorder &Recorder;
  std::uint16_t CallerPort; ///< Where callers take packets.
  common::TimePoint LastPacketAt;
  // Own bytes of a batch, kept until it is flushed.
  std::array<std::array<std::byte, 31>, transport::UdpSocket::BatchSize>
      Heads{};
  std::deque<Held> Waiting;
  boost::asio::steady_timer RetryTimer;
  bool Started = false;
};

} // namespace auburnroute::edge
