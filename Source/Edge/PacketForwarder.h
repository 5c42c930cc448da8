#pragma once

#include "Common/Clock.h"
#include "Edge/AsyncUdpSocket.h"
#include "Edge/EventRecorder.h"
#include "Routing/PacketRouter.h"

#include <array>
#include <functional>
#include <vector>

namespace auburnroute::edge {

/// Receives the clients' packets that the routers pass on, and forwards, resets
/// or drops each as the PacketRouter decides.
class PacketForwarder {
public:
  /// References must outlive the object. \p onWakeUp is called before the first
  /// packet of a wake-up is read, \p onBatchHandled after the last one.
  PacketForwarder(boost::asio::io_context &loop, transport::UdpSocket socket,
                  routing::PacketRouter &router,
                  const routing::ServerDirectory &directory,
                  const common::Clock &clock, EventRecorder &recorder,
                  std::function<void()> onWakeUp,
                  std::function<void()> onBatchHandled);

  /// Starts to receive. Packets that arrived before, and were not discarded,
  /// are handled first.
  void start();
  /// Discards the packets in the socket's buffer. Used when they have waited
  /// for long: clients have retransmitted or given up these packets.
  void discardBacklog();
  /// Resets the flows of \p packets, each the last one of its flow.
  void resetFlows(const std::vector<routing::FlowPacket> &packets);
  /// When the last batch of clients' packets was received.
  common::TimePoint lastPacketAt() const { return LastPacketAt; }

private:
  void onReadable();
  void handle(transport::Datagram &datagram, std::size_t index);

  AsyncUdpSocket Socket;
  routing::PacketRouter &Router;
  const routing::ServerDirectory &Directory;
  const common::Clock &Clock;
  EventRecorder &Recorder;
  std::function<void()> OnWakeUp;
  std::function<void()> OnBatchHandled;
  std::uint16_t ClientPort; ///< UDP port on which clients receive resets; same
                            ///< as the local port.
  common::TimePoint LastPacketAt;
  // Bytes that each packet of a batch starts with: an identity prefix or a
  // whole reset. They must stay valid until the batch is flushed. 31 is
  // PacketCodec::HeaderSize.
  std::array<std::array<std::byte, 31>, transport::UdpSocket::BatchSize>
      LeadingBytes{};
  bool IsStarted = false;
};

} // namespace auburnroute::edge
