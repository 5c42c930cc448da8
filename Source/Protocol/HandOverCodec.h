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

/// What the receiver of a hand-over datagram does with the packet.
enum class HandOverKind : std::uint8_t {
  Syn = 1,    ///< Admit the flow; the packet is the caller's unchanged SYN.
  Finish = 2, ///< Forward this rewritten FIN or RST and record the flow's end.
  Relay = 3,  ///< Rewrite and forward; the sender's settings lack its route.
};

/// A decoded hand-over datagram; refers to the receiver's buffer.
struct HandOverView {
  HandOverKind Kind = HandOverKind::Syn;
  std::uint8_t Hops = 1; ///< Number of hand-overs so far, 1 or 2.
  std::span<std::byte> Packet;

  /// Whether the receiver may hand the packet over once more; only a host that
  /// is \p stopping may. Any other host places a handed-over SYN itself or
  /// drops it, even if it considers another host the admission owner: two hosts
  /// that disagree on the owner would send it back and forth.
  bool mayHandOverAgain(bool stopping) const { return stopping && Hops == 1; }
};

/// Encodes and authenticates packets that one host hands over to another.
///
/// Layout: 4 bytes magic, 1 byte kind, 1 byte hops, 2 reserved bytes (zero),
/// the first 8 bytes of HMAC-SHA256 over the preceding fields and the packet,
/// and the packet. All hosts share the key.
///
/// Replayed datagrams are accepted, as hosts share no clock that could bound
/// their age. A replay has the same effect as a retransmitted TCP segment: a
/// repeated SYN completes no second handshake, and a repeated FIN or RST is
/// outside the window of a later flow. Thread-safe.
class HandOverCodec {
public:
  static constexpr std::size_t HeaderSize = 16;

  /// \p key is the shared key of the hosts.
  explicit HandOverCodec(const std::string &key);

  /// Whether \p datagram starts with the magic and is as long as a header.
  static bool hasMagic(std::span<const std::byte> datagram);
  /// Returns the header that precedes \p packet in the datagram. \p hops is 1,
  /// or 2 for a packet that was itself received by a hand-over.
  std::array<std::byte, HeaderSize> encode(HandOverKind kind,
                                           std::span<const std::byte> packet,
                                           std::uint8_t hops = 1) const;
  /// Returns Cause::None, or Cause::BadHandOver if the datagram is malformed or
  /// its MAC does not match the key; \p view is valid only in the first case.
  state::Cause decode(std::span<std::byte> datagram, HandOverView &view) const;

private:
  /// MAC over \p fields, the header up to the MAC, and \p packet.
  std::uint64_t computeMac(std::span<const std::byte> fields,
                           std::span<const std::byte> packet) const;

  /// Holds the key; duplicated for each MAC and never modified.
  std::shared_ptr<EVP_MAC_CTX> KeyedContext;
};

} // namespace auburnroute::protocol
