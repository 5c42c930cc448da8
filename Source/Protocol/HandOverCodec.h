#pragma once

#include "State/Cause.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include <openssl/types.h>

namespace auburnroute::protocol {

/// What a hand-over datagram asks of the admission owner.
enum class HandOverKind : std::uint8_t {
  Syn = 1,    ///< Admit the flow of this SYN, as its caller sent it.
  Finish = 2, ///< The flow ended; forward this packet, already rewritten.
  Relay = 3,  ///< Forward this packet; the sender's settings do not know it.
};

/// A hand-over datagram, decoded in place.
struct HandOverView {
  HandOverKind Kind = HandOverKind::Syn;
  std::uint8_t Hops = 1; ///< Hosts that handed the packet over, 1 or 2.
  std::span<std::byte> Packet;

  /// Whether the receiver may hand the packet over once more. A host that
  /// takes part in service places a handed-over SYN itself or drops it, even
  /// if it takes another host for the admission owner; two hosts that disagree
  /// would pass it back and forth. A stopping host passes on the SYNs it holds.
  bool mayHandOverAgain(bool stopping) const { return stopping && Hops == 1; }
};

/// Frames packets that one host gives to another.
///
/// Layout: 4 bytes magic, 1 byte kind, 1 byte hops, 2 bytes zero, 8 bytes of
/// HMAC-SHA256 over all that precedes and the packet, packet. The key is shared
/// by all hosts.
///
/// A replayed datagram is accepted. It has the effect of a repeated TCP segment
/// and no other: a repeated SYN completes no second handshake, a repeated FIN
/// or RST is outside the window of a later flow. Hosts share no clock that
/// could bound its age. Safe for use from several threads.
class HandOverCodec {
public:
  static constexpr std::size_t HeaderSize = 16;

  /// \p key is the shared key of the hosts.
  explicit HandOverCodec(const std::string &key);

  /// Whether \p datagram starts like a hand-over.
  static bool hasMagic(std::span<const std::byte> datagram);
  /// Writes the header for \p packet; header and packet together are the
  /// datagram. \p hops is 1, or 2 for what came by a hand-over itself.
  std::array<std::byte, HeaderSize> encode(HandOverKind kind,
                                           std::span<const std::byte> packet,
                                           std::uint8_t hops = 1) const;
  /// Returns Cause::None, or Cause::BadHandOver if the datagram is not from a
  /// host with the same key.
  state::Cause decode(std::span<std::byte> datagram, HandOverView &view) const;

private:
  /// The code over \p fields, the header up to the code, and \p packet.
  std::uint64_t computeMac(std::span<const std::byte> fields,
                           std::span<const std::byte> packet) const;

  std::shared_ptr<EVP_MAC_CTX>
      KeyedContext; ///< Copied for each use, never changed.
};

} // namespace auburnroute::protocol
