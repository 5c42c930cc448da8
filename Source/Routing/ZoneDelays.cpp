#include "Routing/ZoneDelays.h"

#include <algorithm>

namespace auburnroute::routing {

namespace {

/// Weight of a new handshake is one in this many, once there are as many.
constexpr std::uint32_t MeanWindow = 64;
/// A longer handshake was delayed by a host, a caller or a lost packet.
constexpr std::chrono::milliseconds MaxHandshake{100};

} // namespace

void ZoneDelays::onHandshake(NameTable::Id zone,
                             common::TimePoint::duration time) {
  if (time > MaxHandshake)
    return;
  if (zone >= ByZone.size())
    ByZone.resize(zone + 1);
  auto &mean = ByZone[zone];
  mean.Samples = std::min(mean.Samples + 1, MeanWindow);
  mean.Value += (Duration(time) - mean.Value) / mean.Samples;
}

const ZoneDelays::Mean *ZoneDelays::find(NameTable::Id zone) const {
  return zone < ByZone.size() && ByZone[zone].Samples >= MinSamples
             ? &ByZone[zone]
             : nullptr;
}

ZoneDelays::Duration ZoneDelays::extraDelay(NameTable::Id zone,
                                            NameTable::Id ownZone) const {
  const auto *there = find(zone);
  const auto *here = find(ownZone);
  if (there == nullptr || here == nullptr)
    return DefaultDelay;
  return std::max(Duration(0), there->Value - here->Value);
}

} // namespace auburnroute::routing
