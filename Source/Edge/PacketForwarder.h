#pragma once

#include "Common/Clock.h"
#include "Edge/AsyncUdpSocket.h"
#include "Edge/EventRecorder.h"
#include "Routing/PacketRouter.h"

#include <array>

namespace auburnroute::edge {

/// Takes the packets of callers from the routers and carries out what the
/// PacketRouter decides.
class PacketForwarder {
public:
  /// References must outlive the object.
  PacketForwarder(boost::asio::io_context &loop, transport::UdpSocket socket,
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
  void onReadable();
  void handle(transport::Datagram &datagram, std::size_t index);

  AsyncUdpSocket Socket;
  routing::PacketRouter &Router;
  const routing::ServerDirectory &Directory;
  const common::Clock &Clock;
  EventRecorder &Recorder;
  std::uint16_t ClientPort; ///< Where callers take packets.
  common::TimePoint LastPacketAt;
  // Own bytes of a batch, kept until it is flushed.
  std::array<std::array<std::byte, 31>, transport::UdpSocket::BatchSize>
      LeadingBytes{};
  bool IsStarted = false;
};

} // namespace auburnroute::edge
