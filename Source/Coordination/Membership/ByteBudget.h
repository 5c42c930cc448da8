#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace auburnroute::membership {

/// A token bucket that limits bytes per second. Mandatory messages are sent
/// even if it is empty and leave it overdrawn; senders of others check
/// available() first.
class ByteBudget {
public:
  /// Refills at \p bytesPerSecond, up to the bytes of \p burst; starts full.
  ByteBudget(common::TimePoint now, std::size_t bytesPerSecond,
             std::chrono::seconds burst);

  /// Bytes that may be spent now; 0 while it is overdrawn.
  std::size_t available(common::TimePoint now);
  /// Deducts \p bytes; the balance may become negative.
  void spend(common::TimePoint now, std::size_t bytes);

private:
  void refill(common::TimePoint now);

  double BytesPerSecond;
  double Capacity;
  double Balance;
  common::TimePoint LastRefill;
};

} // namespace auburnroute::membership
