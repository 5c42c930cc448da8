#pragma once

#include "Transport/UdpSocket.h"

#include <boost/asio/posix/stream_descriptor.hpp>

#include <functional>

namespace auburnroute::edge {

/// A UDP socket on the event loop.
class ReadableSocket {
public:
  ReadableSocket(boost::asio::io_context &loop, transport::UdpSocket socket)
      : Socket(std::move(socket)), Waiter(loop, Socket.descriptor()) {}
  ReadableSocket(const ReadableSocket &) = delete;
  ReadableSocket &operator=(const ReadableSocket &) = delete;
  // The descriptor belongs to the socket.
  ~ReadableSocket() { Waiter.release(); }

  /// Calls \p handler each time there are datagrams, until close().
  void start(std::function<void()> handler) {
    OnReadable = std::move(handler);
    wait();
  }
  transport::UdpSocket &socket() { return Socket; }

private:
  void wait() {
    Waiter.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                      [this](auto ec) {
                        if (ec)
                          return; // The loop ends.
                        OnReadable();
                        wait();
                      });
  }

  transport::UdpSocket Socket;
  boost::asio::posix::stream_descriptor Waiter;
  std::function<void()> OnReadable;
};

} // namespace auburnroute::edge
