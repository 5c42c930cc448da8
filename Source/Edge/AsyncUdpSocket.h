#pragma once

#include "Transport/UdpSocket.h"

#include <boost/asio/posix/stream_descriptor.hpp>

#include <functional>

namespace auburnroute::edge {

/// A UDP socket that calls a handler on the event loop when it is readable.
class AsyncUdpSocket {
public:
  AsyncUdpSocket(boost::asio::io_context &loop, transport::UdpSocket socket)
      : Socket(std::move(socket)), Descriptor(loop, Socket.descriptor()) {}
  AsyncUdpSocket(const AsyncUdpSocket &) = delete;
  AsyncUdpSocket &operator=(const AsyncUdpSocket &) = delete;
  // Socket owns the file descriptor and closes it.
  ~AsyncUdpSocket() { Descriptor.release(); }

  /// Calls \p handler whenever datagrams are pending, until the event loop
  /// ends.
  void start(std::function<void()> handler) {
    OnReadable = std::move(handler);
    wait();
  }
  transport::UdpSocket &socket() { return Socket; }
  /// Discards pending datagrams, at most \p maxBatches batches. Returns the
  /// number of datagrams discarded.
  std::size_t discard(int maxBatches) {
    std::size_t total = 0;
    for (int i = 0; i < maxBatches; ++i) {
      const auto n = Socket.receive(std::chrono::milliseconds(0)).size();
      total += n;
      if (n < transport::UdpSocket::BatchSize)
        break;
    }
    return total;
  }

private:
  void wait() {
    Descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                          [this](auto ec) {
                            if (ec)
                              return; // The event loop ends.
                            OnReadable();
                            wait();
                          });
  }

  transport::UdpSocket Socket;
  boost::asio::posix::stream_descriptor Descriptor;
  std::function<void()> OnReadable;
};

} // namespace auburnroute::edge
