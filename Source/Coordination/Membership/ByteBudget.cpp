#include "Coordination/Membership/ByteBudget.h"

#include <algorithm>

namespace auburnroute::membership {

ByteBudget::ByteBudget(common::TimePoint now, std::size_t bytesPerSecond,
                       std::chrono::seconds burst)
    : BytesPerSecond(static_cast<double>(bytesPerSecond)),
      Capacity(BytesPerSecond * static_cast<double>(burst.count())),
      Balance(Capacity), LastRefill(now) {}

std::size_t ByteBudget::available(common::TimePoint now) {
  refill(now);
  return static_cast<std::size_t>(std::max(Balance, 0.0));
}

void ByteBudget::spend(common::TimePoint now, std::size_t bytes) {
  refill(now);
  // The overdraft is bounded, so that one large document does not block cause
  // batches for longer than the burst time.
  Balance = std::max(Balance - static_cast<double>(bytes), -Capacity);
}

void ByteBudget::refill(common::TimePoint now) {
  const std::chrono::duration<double> passed = now - LastRefill;
  LastRefill = now;
  Balance = std::min(Balance + passed.count() * BytesPerSecond, Capacity);
}

} // namespace auburnroute::membership
