#pragma once

#include "Fleet/GossipMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburnroute::fleet {

/// Messages between hosts as protobuf (Fleet.proto).
class GossipCodec {
public:
  /// Longest datagram, in bytes; fits an Ethernet frame.
  static constexpr std::size_t MaxDatagramBytes = 1400;
  /// Changes in one datagram at most: with names of 20 bytes they take 90
  /// bytes each.
  static constexpr std::size_t MaxChanges = 8;
  static constexpr std::size_t MaxHosts = 8;
  static constexpr std::size_t MaxSuspects = 16;

  static std::string encode(const GossipMessage &message);
  /// Nothing if \p bytes are no message of a host.
  static std::optional<GossipMessage> decode(std::string_view bytes);

  static std::string encode(const AgedSnapshot &snapshot);
  static std::optional<AgedSnapshot> decodeSnapshot(std::string_view bytes);

  static std::string encode(const std::vector<state::CauseEntry> &causes);
  static std::optional<std::vector<state::CauseEntry>>
  decodeCauses(std::string_view bytes);
};

} // namespace auburnroute::fleet
