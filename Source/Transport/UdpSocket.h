#pragma once

#include "Common/Endpoint.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>

namespace auburnroute::transport {

/// A datagram in a receive buffer of the socket.
struct Datagram {
  common::Endpoint Sender;
  std::span<std::byte> Bytes;
};

/// A bound UDP socket that receives and sends in batches.
///
/// Buffers are allocated once; receiving and sending allocate nothing. Used
/// from one thread.
class UdpSocket {
public:
  /// Datagrams that one call receives or sends at most.
  static constexpr std::size_t BatchSize = 64;
  /// Longest datagram, in bytes. A longer one is truncated by the kernel and
  /// then dropped by the packet parser.
  static constexpr std::size_t MaxDatagramBytes = 2048;

  /// Binds to \p address. \p shared lets several sockets share the port, over
  /// which the kernel spreads datagrams by sender. Errors: Unavailable, with
  /// the address and the reason.
  static absl::StatusOr<UdpSocket> bind(common::Endpoint address, bool shared);

  UdpSocket(UdpSocket &&other) noexcept;
  UdpSocket &operator=(UdpSocket &&other) noexcept;
  ~UdpSocket();

  /// Waits up to \p timeout, not at all if it is 0, and returns the datagrams
  /// that are there. They stay valid until the next call. Empty on timeout.
  std::span<Datagram> receive(std::chrono::milliseconds timeout);

  /// Queues a datagram that consists of \p header and \p body; both must stay
  /// valid until flush(). Sends what is queued first if the batch is full.
  void queue(common::Endpoint to, std::span<const std::byte> header,
             std::span<const std::byte> body);
  /// Sends the queued datagrams. Those that the kernel does not take are
  /// dropped and counted, as a network does.
  void flush();

  /// For waiting on an event loop; stays the socket's own.
  int descriptor() const { return Descriptor; }
  /// The port that the socket is bound to.
  std::uint16_t localPort() const { return LocalPort; }

  /// Datagrams that the kernel did not take.
  std::uint64_t sendFailures() const { return SendFailures; }

private:
  struct Buffers;
  explicit UdpSocket(int descriptor);

  int Descriptor = -1;
  std::uint16_t LocalPort = 0;
  std::uint64_t SendFailures = 0;
  std::unique_ptr<Buffers> Storage;
};

} // namespace auburnroute::transport
