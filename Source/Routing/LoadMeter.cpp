#include "Routing/LoadMeter.h"

#include <algorithm>
#include <cmath>

namespace auburnroute::routing {

using common::TimePoint;
using Seconds = std::chrono::duration<double>;

double LoadMeter::decay(TimePoint now) const {
  return now <= UpdatedAt
             ? 1
             : std::exp(-(Seconds(now - UpdatedAt) / Seconds(TimeConstant)));
}

double LoadMeter::meanOutstanding(TimePoint now) const {
  return Count + (Mean - Count) * decay(now);
}

double LoadMeter::rate(TimePoint now) const { return Rate * decay(now); }

void LoadMeter::advance(TimePoint now) {
  Mean = meanOutstanding(now);
  Rate = rate(now);
  UpdatedAt = std::max(UpdatedAt, now);
}

void LoadMeter::onRequest(TimePoint now) {
  advance(now);
  ++Count;
  Rate += 1 / Seconds(TimeConstant).count();
}

void LoadMeter::onRequestEnd(TimePoint now) {
  advance(now);
  Count -= Count > 0;
}

} // namespace auburnroute::routing
