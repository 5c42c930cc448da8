#pragma once

#include "Coordination/Messages/PeerMessage.h"

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace auburnroute::protocol {

/// Why a frame from a peer was refused.
enum class PeerRefusalReason : std::uint8_t {
  WrongKey,      ///< The HMAC does not match.
  Malformed,     ///< Not a valid envelope, or a value out of range.
  Oversized,     ///< Longer than MaxFrameBytes, or too many entries.
  OldSequence,   ///< Replayed, or older than the sender's last frame.
  UnknownSender, ///< Not introduced, or MaxSenders reached.
  Count,         ///< Number of reasons; not a reason.
};

/// Label of the reason in metrics.
std::string_view toString(PeerRefusalReason refusal);

/// Encodes, authenticates and validates frames between hosts.
///
/// Layout: the first 16 bytes of HMAC-SHA256 over the envelope, then the
/// envelope (protobuf). A sender's first frame must be a heartbeat that
/// introduces it.
class PeerCodec {
public:
  /// RFC 2104, section 5, allows truncation; 32 bytes would be a third of a
  /// heartbeat.
  static constexpr std::size_t MacBytes = 16;
  /// Settings documents have up to 1 MB; the rest is for the envelope.
  static constexpr std::size_t MaxFrameBytes = 1'250'000;
  static constexpr int MaxUpdates = 256;      ///< Per heartbeat.
  static constexpr int MaxCauseEntries = 512; ///< Per batch.
  static constexpr std::size_t MaxNameBytes = 255;
  static constexpr std::size_t MaxSenders = state::HostTable::MaxHosts;

  using DecodeResult = std::variant<messages::PeerMessage, PeerRefusalReason>;

  /// \p key is the shared key of the hosts.
  explicit PeerCodec(std::string key);

  /// Errors: ResourceExhausted if the message exceeds MaxUpdates,
  /// MaxCauseEntries or MaxFrameBytes.
  absl::StatusOr<std::string>
  encode(const messages::PeerMessage &message) const;
  /// Checks the size, the HMAC, the values and the sender, in this order, and
  /// counts refused frames.
  DecodeResult decode(std::string_view frame);
  /// Removes the state of a sender after membership has forgotten the host.
  void forgetSender(std::string_view sender);

  /// Frames refused so far for \p reason.
  std::uint64_t refusedFrames(PeerRefusalReason reason) const {
    return RefusedFrames[static_cast<std::size_t>(reason)];
  }

private:
  struct LastFrame {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
  };

  std::array<unsigned char, MacBytes>
  computeMac(std::string_view envelope) const;
  DecodeResult refuse(PeerRefusalReason reason);
  std::optional<PeerRefusalReason>
  checkSender(const messages::PeerMessage &message);

  std::string Key;
  absl::flat_hash_map<std::string, LastFrame> Senders;
  std::array<std::uint64_t, static_cast<std::size_t>(PeerRefusalReason::Count)>
      RefusedFrames{};
};

} // namespace auburnroute::protocol
