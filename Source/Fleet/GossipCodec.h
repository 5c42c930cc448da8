#pragma once

#include "Fleet/GossipMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburnroute::fleet {

/// Encodes and decodes messages between hosts as protobuf (Fleet.proto).
class GossipCodec {
public:
  /// Maximum datagram size in bytes; fits an Ethernet frame.
  static constexpr std::size_t MaxDatagramBytes = 1400;
  /// Maximum number of changes in one datagram. With names of 20 bytes each
  /// takes 90 bytes.
  static constexpr std::size_t MaxChanges = 8;
  static constexpr std::size_t MaxHosts = 8;
  static constexpr std::size_t MaxSuspects = 16;
  /// Maximum number of verdicts, and of answers, in one datagram. A verdict
  /// takes 24 bytes.
  static constexpr std::size_t MaxVerdicts = 24;
  /// Maximum number of outcome reports, and of outlier verdicts, in one
  /// datagram. A report takes up to 110 bytes.
  static constexpr std::size_t MaxReports = 8;
  /// Limit of each count in a report.
  static constexpr std::uint32_t MaxOutcomes = 1'000'000;
  /// Maximum number of unknown tags in one datagram.
  static constexpr std::size_t MaxTags = 32;

  /// Maximum number of servers in the reports, and in the totals, of one
  /// datagram. Each takes up to 18 bytes.
  static constexpr std::size_t MaxServerLoads = 64;
  /// Maximum number of zone loads in one datagram, and the sum of the lengths
  /// of their names.
  static constexpr std::size_t MaxZoneLoads = 12;
  static constexpr std::size_t MaxZoneLoadNameBytes = 400;
  /// Larger loads are limited to these when they are read: requests without an
  /// answer, requests a second, and flows.
  static constexpr double MaxOutstanding = 100000;
  static constexpr double MaxRate = 1000000;
  static constexpr std::uint32_t MaxOpenFlows = 1000000;

  static std::string encode(const GossipMessage &message);
  /// Returns nullopt if \p bytes are not a valid message.
  static std::optional<GossipMessage> decode(std::string_view bytes);

  static std::string encode(const AgedSnapshot &snapshot);
  /// Returns nullopt if \p bytes are not a valid snapshot.
  static std::optional<AgedSnapshot> decodeSnapshot(std::string_view bytes);

  static std::string encode(const std::vector<state::CauseEntry> &causes);
  /// Skips invalid entries. Returns nullopt if \p bytes cannot be parsed.
  static std::optional<std::vector<state::CauseEntry>>
  decodeCauses(std::string_view bytes);
};

} // namespace auburnroute::fleet
