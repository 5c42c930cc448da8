#include "Transport/PeerLink.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

#include <zmq.hpp>

namespace auburnroute::transport {

namespace {

// Frames to a host that is gone are not worth waiting for at the end.
constexpr int LingerMs = 0;
constexpr int ReconnectMs = 100;
constexpr int MaxReconnectMs = 2000;
// A connection whose data is not acknowledged, as in a partition, is closed and
// set up anew. ZeroMQ's own heartbeats would cost bytes on every connection.
constexpr int MaxRetransmitMs = 6000;
constexpr int KeepAliveSeconds = 30;
// ZeroMQ puts 2 bytes before a frame of up to 255 bytes, 9 before a longer one.
constexpr std::size_t ShortFrame = 255;
constexpr std::size_t ShortHeader = 2;
constexpr std::size_t LongHeader = 9;

std::size_t bytesOnWire(std::size_t frame) {
  return frame + (frame <= ShortFrame ? ShortHeader : LongHeader);
}

std::string addressOf(common::Endpoint endpoint) {
  return absl::StrCat("tcp://", common::toString(endpoint));
}

void configure(zmq::socket_t &socket) {
  socket.set(zmq::sockopt::linger, LingerMs);
  socket.set(zmq::sockopt::maxmsgsize, PeerLink::MaxFrameBytes);
  socket.set(zmq::sockopt::tcp_maxrt, MaxRetransmitMs);
  socket.set(zmq::sockopt::tcp_keepalive, 1);
  socket.set(zmq::sockopt::tcp_keepalive_idle, KeepAliveSeconds);
}

} // namespace

struct PeerLink::Sockets {
  struct Receiver {
    zmq::socket_t Socket;
    std::uint64_t LastUse = 0;
  };

  zmq::context_t Context;
  zmq::socket_t Router{Context, zmq::socket_type::router};
  absl::flat_hash_map<std::uint64_t, Receiver> Receivers;
  std::uint64_t Uses = 0;
  PeerLinkCounters Counters;

  Receiver *receiver(common::Endpoint to) {
    const auto it = Receivers.find(to.key());
    if (it != Receivers.end())
      return &it->second;
    if (Receivers.size() >= MaxReceivers)
      closeOldest();
    try {
      zmq::socket_t socket(Context, zmq::socket_type::dealer);
      configure(socket);
      socket.set(zmq::sockopt::sndhwm, QueueFrames);
      socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
      socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMs);
      socket.connect(addressOf(to));
      return &Receivers.emplace(to.key(), Receiver{std::move(socket)})
                  .first->second;
    } catch (const zmq::error_t &) {
      return nullptr;
    }
  }

  void closeOldest() {
    Receivers.erase(std::min_element(
        Receivers.begin(), Receivers.end(), [](const auto &a, const auto &b) {
          return a.second.LastUse < b.second.LastUse;
        }));
  }

  // Takes one frame; false if there is none.
  bool receive(const Handler &handler) {
    zmq::message_t identity;
    if (!Router.recv(identity, zmq::recv_flags::dontwait))
      return false;
    // Our own senders use one frame per message; extra ones are ignored.
    zmq::message_t frame;
    bool first = true;
    for (bool more = identity.more(); more;) {
      zmq::message_t part;
      if (!Router.recv(part, zmq::recv_flags::dontwait))
        break;
      more = part.more();
      if (std::exchange(first, false))
        frame = std::move(part);
    }
    ++Counters.FramesReceived;
    Counters.BytesReceived += bytesOnWire(frame.size());
    handler(frame.to_string_view());
    return true;
  }
};

absl::StatusOr<PeerLink> PeerLink::bind(common::Endpoint endpoint) {
  try {
    auto sockets = std::make_unique<Sockets>();
    configure(sockets->Router);
    sockets->Router.bind(addressOf(endpoint));
    return PeerLink(std::move(sockets));
  } catch (const zmq::error_t &ex) {
    return absl::UnavailableError(absl::StrCat(
        "cannot bind to ", common::toString(endpoint), ": ", ex.what()));
  }
}

PeerLink::PeerLink(std::unique_ptr<Sockets> sockets)
    : Storage(std::move(sockets)) {}
PeerLink::PeerLink(PeerLink &&other) noexcept = default;
PeerLink &PeerLink::operator=(PeerLink &&other) noexcept = default;
PeerLink::~PeerLink() = default;

void PeerLink::send(common::Endpoint to, std::string_view frame) {
  auto *receiver = Storage->receiver(to);
  auto &counters = Storage->Counters;
  bool sent = false;
  if (receiver != nullptr) {
    receiver->LastUse = ++Storage->Uses;
    try {
      sent = receiver->Socket
                 .send(zmq::buffer(frame.data(), frame.size()),
                       zmq::send_flags::dontwait)
                 .has_value();
    } catch (const zmq::error_t &) {
      sent = false;
    }
  }
  if (!sent) {
    ++counters.FramesDropped;
    return;
  }
  ++counters.FramesSent;
  counters.BytesSent += bytesOnWire(frame.size());
}

void PeerLink::poll(std::chrono::milliseconds timeout, const Handler &handler) {
  try {
    zmq::pollitem_t item{Storage->Router.handle(), 0, ZMQ_POLLIN, 0};
    if (zmq::poll(&item, 1, timeout) == 0)
      return;
    for (int n = 0; n < MaxFramesPerPoll && Storage->receive(handler); ++n)
      ;
  } catch (const zmq::error_t &) {
    // Interrupted by a signal; the caller's loop comes back.
  }
}

void PeerLink::disconnect(common::Endpoint to) {
  Storage->Receivers.erase(to.key());
}

const PeerLinkCounters &PeerLink::counters() const { return Storage->Counters; }

} // namespace auburnroute::transport
