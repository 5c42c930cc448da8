#include "Transport/PeerLink.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

#include <zmq.hpp>

namespace auburnroute::transport {

namespace {

// On shutdown, do not wait for queued frames to be delivered.
constexpr int LingerMs = 0;
constexpr int ReconnectMs = 100;
constexpr int MaxReconnectMs = 2000;
// Reconnects when sent data stays unacknowledged, as during a network
// partition. ZeroMQ heartbeats would also detect this, but send extra bytes on
// every connection.
constexpr int MaxRetransmitMs = 6000;
constexpr int KeepAliveSeconds = 30;
// ZMTP header: 2 bytes for a frame of up to 255 bytes, 9 for a longer one.
constexpr std::size_t MaxShortFrameBytes = 255;
constexpr std::size_t ShortHeaderBytes = 2;
constexpr std::size_t LongHeaderBytes = 9;

std::size_t wireBytes(std::size_t frameBytes) {
  return frameBytes + (frameBytes <= MaxShortFrameBytes ? ShortHeaderBytes
                                                        : LongHeaderBytes);
}

std::string zmqAddress(common::Endpoint endpoint) {
  return absl::StrCat("tcp://", common::toString(endpoint));
}

void setCommonOptions(zmq::socket_t &socket) {
  socket.set(zmq::sockopt::linger, LingerMs);
  socket.set(zmq::sockopt::maxmsgsize, PeerLink::MaxFrameBytes);
  socket.set(zmq::sockopt::tcp_maxrt, MaxRetransmitMs);
  socket.set(zmq::sockopt::tcp_keepalive, 1);
  socket.set(zmq::sockopt::tcp_keepalive_idle, KeepAliveSeconds);
}

} // namespace

struct PeerLink::Implementation {
  struct PeerSocket {
    zmq::socket_t Socket;
    std::uint64_t LastUsed = 0;
  };

  zmq::context_t Context;
  zmq::socket_t RouterSocket{Context, zmq::socket_type::router};
  absl::flat_hash_map<std::uint64_t, PeerSocket> PeerSockets;
  std::uint64_t UseCount = 0;
  PeerLinkCounters Counters;

  PeerSocket *findOrConnect(common::Endpoint to) {
    const auto it = PeerSockets.find(to.key());
    if (it != PeerSockets.end())
      return &it->second;
    if (PeerSockets.size() >= MaxPeerSockets)
      closeLeastRecentlyUsed();
    try {
      zmq::socket_t socket(Context, zmq::socket_type::dealer);
      setCommonOptions(socket);
      socket.set(zmq::sockopt::sndhwm, MaxQueuedFrames);
      socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
      socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMs);
      socket.connect(zmqAddress(to));
      return &PeerSockets.emplace(to.key(), PeerSocket{std::move(socket)})
                  .first->second;
    } catch (const zmq::error_t &) {
      return nullptr;
    }
  }

  void closeLeastRecentlyUsed() {
    PeerSockets.erase(std::min_element(PeerSockets.begin(), PeerSockets.end(),
                                       [](const auto &a, const auto &b) {
                                         return a.second.LastUsed <
                                                b.second.LastUsed;
                                       }));
  }

  // Receives one frame and passes it to the handler; false if none is waiting.
  bool receiveFrame(const Handler &handler) {
    zmq::message_t identity;
    if (!RouterSocket.recv(identity, zmq::recv_flags::dontwait))
      return false;
    // PeerLink sends one frame per message; further parts are discarded.
    zmq::message_t frame;
    bool isFirstPart = true;
    for (bool hasMoreParts = identity.more(); hasMoreParts;) {
      zmq::message_t part;
      if (!RouterSocket.recv(part, zmq::recv_flags::dontwait))
        break;
      hasMoreParts = part.more();
      if (std::exchange(isFirstPart, false))
        frame = std::move(part);
    }
    ++Counters.FramesReceived;
    Counters.BytesReceived += wireBytes(frame.size());
    handler(frame.to_string_view());
    return true;
  }
};

absl::StatusOr<PeerLink> PeerLink::bind(common::Endpoint endpoint) {
  try {
    auto impl = std::make_unique<Implementation>();
    setCommonOptions(impl->RouterSocket);
    impl->RouterSocket.bind(zmqAddress(endpoint));
    return PeerLink(std::move(impl));
  } catch (const zmq::error_t &ex) {
    return absl::UnavailableError(absl::StrCat("cannot bind peer endpoint ",
                                               common::toString(endpoint), ": ",
                                               ex.what()));
  }
}

PeerLink::PeerLink(std::unique_ptr<Implementation> impl)
    : Impl(std::move(impl)) {}
PeerLink::PeerLink(PeerLink &&other) noexcept = default;
PeerLink &PeerLink::operator=(PeerLink &&other) noexcept = default;
PeerLink::~PeerLink() = default;

void PeerLink::send(common::Endpoint to, std::string_view frame) {
  auto *peer = Impl->findOrConnect(to);
  auto &counters = Impl->Counters;
  bool isQueued = false;
  if (peer != nullptr) {
    peer->LastUsed = ++Impl->UseCount;
    try {
      isQueued = peer->Socket
                     .send(zmq::buffer(frame.data(), frame.size()),
                           zmq::send_flags::dontwait)
                     .has_value();
    } catch (const zmq::error_t &) {
      isQueued = false;
    }
  }
  if (!isQueued) {
    ++counters.FramesDropped;
    return;
  }
  ++counters.FramesSent;
  counters.BytesSent += wireBytes(frame.size());
}

void PeerLink::poll(std::chrono::milliseconds timeout, const Handler &handler) {
  try {
    zmq::pollitem_t item{Impl->RouterSocket.handle(), 0, ZMQ_POLLIN, 0};
    if (zmq::poll(&item, 1, timeout) == 0)
      return;
    for (int n = 0; n < MaxFramesPerPoll && Impl->receiveFrame(handler); ++n)
      ;
  } catch (const zmq::error_t &) {
    // Interrupted by a signal; the caller's event loop polls again.
  }
}

void PeerLink::disconnect(common::Endpoint to) {
  Impl->PeerSockets.erase(to.key());
}

const PeerLinkCounters &PeerLink::counters() const { return Impl->Counters; }

} // namespace auburnroute::transport
