#include "Coordination/Membership/ByteBudget.h"

#include <algorithm>

namespace auburnroute::membership {

ByteBudget::ByteBudget(common::TimePoint now, std::size_t bytesPerSecond,
                       std::chrono::seconds burst)
    : BytesPerSecond(static_cast<double>(bytesPerSecond)),
      Most(BytesPerSecond * static_cast<double>(burst.count())), Bytes(Most),
      LastFill(now) {}

std::size_t ByteBudget::available(common::TimePoint now) {
  fill(now);
  return static_cast<std::size_t>(std::max(Bytes, 0.0));
}

void ByteBudget::spend(common::TimePoint now, std::size_t bytes) {
  fill(now);
  // Debt is bounded, so that one large document does not silence causes for
  // longer than a burst lasts.
  Bytes = std::max(Bytes - static_cast<double>(bytes), -Most);
}

void ByteBudget::fill(common::TimePoint now) {
  const std::chrono::duration<double> passed = now - LastFill;
  LastFill = now;
  Bytes = std::min(Bytes + passed.count() * BytesPerSecond, Most);
}

} // namespace auburnroute::membership
