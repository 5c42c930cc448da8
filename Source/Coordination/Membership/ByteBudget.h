#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace auburnroute::membership {

/// A token bucket of bytes. Messages that must go out spend from it even if it
/// is empty; those that can wait ask first.
class ByteBudget {
public:
  /// Fills at \p bytesPerSecond up to what \p burst brings; starts full.
  ByteBudget(common::TimePoint now, std::size_t bytesPerSecond,
             std::chrono::seconds burst);

  /// Bytes that may be spent now; 0 while it is overdrawn.
  std::size_t available(common::TimePoint now);
  /// Takes bytes out, below zero if need be.
  void spend(common::TimePoint now, std::size_t bytes);

private:
  void refill(common::TimePoint now);

  double BytesPerSecond;
  double Capacity;
  double Balance;
  common::TimePoint LastRefill;
};

} // namespace auburnroute::membership
