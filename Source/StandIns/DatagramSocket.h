#pragma once

#include "Common/Endpoint.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <optional>
#include <span>

namespace auburnroute::standins {

/// A non-blocking UDP socket.
class DatagramSocket {
public:
  /// Size of receive buffers in bytes; longer datagrams are truncated.
  static constexpr std::size_t MaxDatagramBytes = 2048;

  struct Datagram {
    common::Endpoint From;
    std::span<std::byte> Bytes;
  };

  /// Binds to \p local. Errors: Unavailable if it cannot be bound.
  static absl::StatusOr<DatagramSocket> bind(const common::Endpoint &local);
  ~DatagramSocket();
  DatagramSocket(DatagramSocket &&other) noexcept;
  DatagramSocket &operator=(DatagramSocket &&other) noexcept;
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// Receives the next datagram into \p buf; nothing if none is waiting.
  std::optional<Datagram> receive(std::span<std::byte> buf) const;
  /// Sends \p bytes. Errors are ignored: the datagram counts as lost on the
  /// network.
  void send(const common::Endpoint &to, std::span<const std::byte> bytes) const;
  int descriptor() const { return Descriptor; }

private:
  explicit DatagramSocket(int descriptor) : Descriptor(descriptor) {}

  int Descriptor = -1;
};

} // namespace auburnroute::standins
