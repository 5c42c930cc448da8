#pragma once

#include "State/Cause.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace auburnroute::protocol {

/// What a hand-over datagram asks of the admission owner.
enum class HandOverKind : std::uint8_t {
  Syn = 1,    ///< Admit the flow of this SYN, as its caller sent it.
  Finish = 2, ///< The flow ended; forward this packet, already rewritten.
};

/// A hand-over datagram, decoded in place.
struct HandOverView {
  HandOverKind Kind = HandOverKind::Syn;
  std::span<std::byte> Packet;
};

/// Frames packets that one host gives to another.
///
/// Layout: 4 bytes magic, 1 byte kind, 3 bytes zero, 8 bytes of HMAC-SHA256
/// over kind and packet headers, packet. The key is shared by all hosts.
class HandOverCodec {
public:
  static constexpr std::size_t HeaderSize = 16;

  /// \p key is the shared key of the hosts.
  explicit HandOverCodec(std::string key);

  /// Whether \p datagram starts like a hand-over.
  static bool matches(std::span<const std::byte> datagram);
  /// Writes the header for \p packet; header and packet together are the
  /// datagram.
  std::array<std::byte, HeaderSize>
  encode(HandOverKind kind, std::span<const std::byte> packet) const;
  /// Returns Cause::None, or Cause::BadHandOver if the datagram is not from a
  /// host with the same key.
  state::Cause decode(std::span<std::byte> datagram, HandOverView &view) const;

private:
  std::uint64_t authenticate(HandOverKind kind,
                             std::span<const std::byte> packet) const;

  std::string Key;
};

} // namespace auburnroute::protocol
