#pragma once

#include "Common/Endpoint.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>

namespace auburnroute::transport {

/// A received datagram; its bytes lie in a receive buffer of the socket.
struct Datagram {
  common::Endpoint Sender;
  std::span<std::byte> Bytes;
};

/// Bound UDP socket that receives and sends in batches (recvmmsg, sendmmsg).
///
/// Buffers are allocated once; receiving and sending do not allocate. Not
/// thread-safe.
class UdpSocket {
public:
  /// Most datagrams that one system call receives or sends.
  static constexpr std::size_t BatchSize = 64;
  /// Longest datagram, in bytes. A longer one is truncated by the kernel and
  /// then dropped by the packet parser.
  static constexpr std::size_t MaxDatagramBytes = 2048;

  /// Binds to \p address. With \p reusePort several sockets can bind the same
  /// port (SO_REUSEPORT), and the kernel distributes datagrams among them by
  /// sender. Errors: Unavailable, with the address and the reason.
  static absl::StatusOr<UdpSocket> bind(common::Endpoint address,
                                        bool reusePort);

  UdpSocket(UdpSocket &&other) noexcept;
  UdpSocket &operator=(UdpSocket &&other) noexcept;
  ~UdpSocket();

  /// Waits up to \p timeout (0: does not wait) and returns the datagrams that
  /// have arrived, valid until the next call. Empty on timeout.
  std::span<Datagram> receive(std::chrono::milliseconds timeout);

  /// Queues a datagram of \p header followed by \p body, which must both stay
  /// valid until flush(). Flushes first if the batch is full.
  void queue(common::Endpoint to, std::span<const std::byte> header,
             std::span<const std::byte> body);
  /// Sends the queued datagrams. Those that the kernel rejects are dropped and
  /// counted in sendFailures(); callers must cope with loss anyway.
  void flush();

  /// File descriptor to watch for readability; remains owned by the socket.
  int descriptor() const { return Descriptor; }
  /// Port that the socket is bound to.
  std::uint16_t localPort() const { return LocalPort; }

  /// Datagrams that the kernel rejected.
  std::uint64_t sendFailures() const { return SendFailures; }

private:
  struct Buffers;
  explicit UdpSocket(int descriptor);

  int Descriptor = -1;
  std::uint16_t LocalPort = 0;
  std::uint64_t SendFailures = 0;
  std::unique_ptr<Buffers> Batch;
};

} // namespace auburnroute::transport
