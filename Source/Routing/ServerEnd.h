#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace auburnroute::routing {

/// Why the backend server of an open flow is taken to have ended.
enum class EndReason : std::uint8_t {
  None,
  AddressTaken,    ///< Its entry lapsed, and another server has its address.
  LapsedAndSilent, ///< Its entry lapsed, and packets went unanswered.
  Verdict,         ///< It was found dead, see SharedFailureDetector.
};

std::string_view toString(EndReason reason);

/// Whether a backend server is taken to have ended, and the unanswered packets
/// that this host knew of.
struct ServerEnd {
  EndReason Reason = EndReason::None;
  /// Retransmitted requests on open flows.
  std::uint32_t RequestCount = 0;
  std::uint32_t SynCount = 0;
  /// Time since the first unanswered packet was sent; 0 without any.
  std::chrono::milliseconds Silence{0};

  explicit operator bool() const { return Reason != EndReason::None; }
};

} // namespace auburnroute::routing
