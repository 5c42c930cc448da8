#include "Routing/ZoneBalancer.h"

#include "Routing/QueueEstimate.h"

#include <algorithm>
#include <cmath>

namespace auburnroute::routing {

using common::TimePoint;
using std::chrono::milliseconds;

namespace {

/// After a longer time without flows shares start again at 0: they rest on
/// loads of then.
constexpr std::chrono::seconds MaxGap{2};

double waitOf(const ZoneLoad &load) {
  return QueueEstimate(load.utilization()).wait();
}

} // namespace

double ZoneBalancer::Service::leavingShare() const {
  double sum = 0;
  for (const auto &it : ByZone)
    sum += it.Share;
  return std::min(1.0, sum);
}

bool ZoneBalancer::isOwnZoneUsable(const Service &service) const {
  return Zones.ownZone() < service.ByZone.size() &&
         service.ByZone[Zones.ownZone()].Slots > 0;
}

std::optional<NameTable::Id> ZoneBalancer::zoneFor(NameTable::Id id,
                                                   TimePoint now) {
  const auto &service = update(id, now);
  if (!service.HasPreference)
    return std::nullopt;
  double sum = 0;
  for (const auto &it : service.ByZone)
    sum += it.Share;
  const double total = isOwnZoneUsable(service) ? std::max(1.0, sum) : sum;
  double rest = std::uniform_real_distribution<>(0, total)(Random);
  for (std::size_t i = 0; i < service.ByZone.size(); ++i) {
    rest -= service.ByZone[i].Share;
    if (rest < 0) {
      ++SentAway;
      return static_cast<NameTable::Id>(i);
    }
  }
  return Zones.ownZone();
}

ZoneBalancer::Service &ZoneBalancer::update(NameTable::Id id, TimePoint now) {
  if (id >= Services.size())
    Services.resize(id + 1);
  auto &service = Services[id];
  const bool isFirst = !service.IsUsed || now - service.UpdatedAt > MaxGap;
  const auto changes = Zones.evacuationChanges();
  if (!isFirst && now - service.UpdatedAt < Limits.Interval &&
      changes == service.EvacuationChanges)
    return service;
  if (isFirst)
    service = {};
  const std::chrono::duration<double> elapsed =
      isFirst ? Limits.Interval : now - service.UpdatedAt;
  const bool wasUsable = !isFirst && isOwnZoneUsable(service);
  service.IsUsed = true;
  service.UpdatedAt = now;
  service.EvacuationChanges = changes;
  const auto slots = Zones.slotsOf(id, now);
  service.ByZone.resize(slots.size());
  for (std::size_t i = 0; i < slots.size(); ++i) {
    service.ByZone[i].Slots = slots[i];
    if (slots[i] <= 0)
      service.ByZone[i].Share = 0;
  }
  updateLoads(service, id, now);
  if (!isOwnZoneUsable(service)) {
    splitAll(service, isFirst || wasUsable);
    return service;
  }
  // Flows that left because the own zone was unusable do not come back all at
  // once: the shares move from where they are.
  service.HasPreference = service.ByZone[Zones.ownZone()].Load.has_value();
  adjust(service, elapsed);
  return service;
}

void ZoneBalancer::updateLoads(Service &service, NameTable::Id id,
                               TimePoint now) const {
  double busy = 0;
  double rate = 0;
  for (std::size_t i = 0; i < service.ByZone.size(); ++i) {
    auto &zone = service.ByZone[i];
    zone.Load = Load.zoneLoad(id, static_cast<NameTable::Id>(i), now);
    if (!zone.Load || zone.Slots <= 0)
      continue;
    // The own view of the servers is as recent as that of the reporting hosts.
    zone.Load->Slots = zone.Slots;
    busy += QueueEstimate(zone.Load->utilization()).busyShare() * zone.Slots;
    rate += zone.Load->Rate;
  }
  // Little's law on the requests that run.
  if (rate > 0)
    service.ServiceTime = std::chrono::duration<double>(busy / rate);
  if (Zones.ownZone() >= service.ByZone.size())
    return;
  const auto &own = service.ByZone[Zones.ownZone()].Load;
  if (!service.LastOwnLoad || !own ||
      own->Outstanding != service.LastOwnLoad->Outstanding ||
      own->Rate != service.LastOwnLoad->Rate)
    service.LoadChangedAt = now;
  service.LastOwnLoad = own;
}

void ZoneBalancer::adjust(Service &service,
                          std::chrono::duration<double> elapsed) const {
  double otherSlots = 0;
  for (std::size_t i = 0; i < service.ByZone.size(); ++i)
    if (i != Zones.ownZone())
      otherSlots += service.ByZone[i].Slots;
  if (otherSlots <= 0)
    return;
  // Larger zones take a larger part of each step, so that the speed of the sum
  // does not depend on the number of zones.
  for (std::size_t i = 0; i < service.ByZone.size(); ++i)
    if (i != Zones.ownZone() && service.ByZone[i].Slots > 0)
      adjust(service, static_cast<NameTable::Id>(i),
             service.ByZone[i].Slots / otherSlots, elapsed);
  double sum = 0;
  for (const auto &it : service.ByZone)
    sum += it.Share;
  if (sum > 1)
    for (auto &it : service.ByZone)
      it.Share /= sum;
}

void ZoneBalancer::adjust(Service &service, NameTable::Id id, double stepWeight,
                          std::chrono::duration<double> elapsed) const {
  auto &zone = service.ByZone[id];
  const auto &own = service.ByZone[Zones.ownZone()].Load;
  if (!own || !zone.Load) {
    zone.HasGain = false;
    zone.Share = std::max(0.0, zone.Share - Limits.MaxFall * elapsed.count());
    return;
  }
  const auto cost = Delays.extraDelay(id, Zones.ownZone()) + CrossZoneCost;
  // Without a service time nothing is known to run, so nothing waits.
  const bool isBusy = service.ServiceTime.count() > 0;
  const double here = waitOf(*own);
  const double there =
      waitOf(*zone.Load) + (isBusy ? cost / service.ServiceTime : 0);
  // Relative to the response times, so that neither full queues nor their trend
  // move the share at more than the limited speed.
  const double gain = isBusy ? (here - there) / (1 + here + there) : -1;
  if (!zone.HasGain)
    zone.SmoothedGain = gain;
  zone.HasGain = true;
  const double window =
      std::chrono::duration<double>(Limits.TrendWindow).count();
  zone.SmoothedGain +=
      (gain - zone.SmoothedGain) * std::min(1.0, elapsed.count() / window);
  const double trend = (gain - zone.SmoothedGain) / window;
  const double expected =
      gain + trend * std::chrono::duration<double>(Limits.Lookahead).count();
  const double threshold = zone.Share > 0 ? Limits.HoldGain : Limits.StartGain;
  double speed = 0;
  if (expected > threshold)
    speed = Limits.MaxRise * std::min(1.0, expected);
  else if (expected < -Limits.HoldGain)
    // With a wait below the cost, leaving pays nowhere.
    speed = service.ServiceTime * here <= cost
                ? -Limits.MaxFall
                : Limits.MaxFall * std::max(-1.0, expected);
  zone.Share =
      std::clamp(zone.Share + speed * stepWeight * elapsed.count(), 0.0, 1.0);
}

void ZoneBalancer::splitAll(Service &service, bool isFirst) const {
  bool isLoadKnown = true;
  double total = 0;
  const auto isUsed = [&](std::size_t id) {
    return id != Zones.ownZone() && service.ByZone[id].Slots > 0;
  };
  for (std::size_t i = 0; i < service.ByZone.size(); ++i)
    if (isUsed(i))
      isLoadKnown = isLoadKnown && service.ByZone[i].Load.has_value();
  const auto freeSlots = [&](const Zone &zone) {
    return isLoadKnown ? std::max(zone.Slots - zone.Load->Outstanding,
                                  zone.Slots * Limits.MinFreeShare)
                       : zone.Slots;
  };
  for (std::size_t i = 0; i < service.ByZone.size(); ++i)
    if (isUsed(i))
      total += freeSlots(service.ByZone[i]);
  service.HasPreference = total > 0;
  double sum = 0;
  for (std::size_t i = 0; i < service.ByZone.size(); ++i) {
    auto &zone = service.ByZone[i];
    zone.HasGain = false;
    const double target = isUsed(i) ? freeSlots(zone) / total : 0;
    if (isFirst || !isUsed(i))
      zone.Share = target;
    else
      zone.Share += (target - zone.Share) * Limits.SplitStep;
    sum += zone.Share;
  }
  if (sum > 0)
    for (auto &it : service.ByZone)
      it.Share /= sum;
}

ZoneBalancer::Inputs ZoneBalancer::inputsOf(const Service &service,
                                            TimePoint now) const {
  Inputs inputs;
  const auto timeOf = [&](const ZoneLoad &load) {
    return service.ServiceTime * (1 + waitOf(load));
  };
  if (service.LastOwnLoad) {
    inputs.OwnUtilization = service.LastOwnLoad->utilization();
    inputs.OwnTime = timeOf(*service.LastOwnLoad);
    inputs.Age =
        std::chrono::duration_cast<milliseconds>(now - service.LoadChangedAt);
  }
  const auto most = std::ranges::max_element(service.ByZone, {}, &Zone::Share);
  if (most == service.ByZone.end() || most->Share <= 0 || !most->Load)
    return inputs;
  inputs.OtherUtilization = most->Load->utilization();
  inputs.OtherTime = timeOf(*most->Load) + CrossZoneCost +
                     Delays.extraDelay(static_cast<NameTable::Id>(
                                           most - service.ByZone.begin()),
                                       Zones.ownZone());
  return inputs;
}

std::vector<ZoneBalancer::State> ZoneBalancer::states(TimePoint now) {
  std::vector<State> states;
  for (NameTable::Id i = 0; i < Services.size(); ++i) {
    if (!Services[i].IsUsed)
      continue;
    // Also without new flows the shares fall when the load does.
    const auto &service = update(i, now);
    states.push_back(
        {.Service = i,
         .LeavingShare = service.HasPreference ? service.leavingShare() : 0,
         .IsOwnZoneUnusable = !isOwnZoneUsable(service),
         .Basis = inputsOf(service, now)});
  }
  return states;
}

} // namespace auburnroute::routing
