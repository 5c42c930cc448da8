#include "Coordination/Distribution/RelayPolicy.h"

namespace auburnroute::distribution {

using state::Cause;

bool RelayPolicy::shouldRelay(common::TimePoint now, Cause why) {
  if (why != Cause::UnknownTag && why != Cause::UnknownSource &&
      why != Cause::UnknownAddress)
    return false;
  if (now >= IntervalEnd) {
    IntervalEnd = now + Interval;
    RelayedInInterval = 0;
  }
  return RelayedInInterval++ < PacketsPerInterval;
}

} // namespace auburnroute::distribution
