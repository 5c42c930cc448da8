#include "Routing/OverloadControl.h"

#include "Routing/QueueEstimate.h"

#include <algorithm>
#include <cmath>

namespace auburnroute::routing {

using common::TimePoint;
using std::chrono::milliseconds;

namespace {

/// After a longer time without SYNs the refused share starts again at 0.
constexpr std::chrono::seconds MaxGap{2};
/// The load counts as known if it is for this part of the usable slots.
constexpr double MinKnownPart = 0.5;
/// Response times above this many service times are not told apart in logs.
constexpr double MaxWait = 100;

double secondsOf(milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

} // namespace

bool OverloadControl::admits(const FlowId &flow, const Route &route,
                             NameTable::Id id, TimePoint now) {
  auto &service = update(id, now);
  const auto index = std::min<std::size_t>(route.Priority, PriorityClasses - 1);
  auto &priority = service.Classes[index];
  ++priority.Recent;
  if (route.Objective > milliseconds(0) &&
      (priority.Objective == milliseconds(0) ||
       route.Objective < priority.Objective))
    priority.Objective = route.Objective;
  service.Callers.onSyn(flow.Caller.Address);
  if (priority.RefusedShare <= 0)
    return true;
  // What callers send beyond their fair share is refused first.
  const double excess = service.Callers.totalExcess();
  const double own = service.Callers.excessOf(flow.Caller.Address);
  const double first =
      excess > 0 ? own * std::min(1.0, priority.RefusedShare / excess) : 0;
  const double rest =
      excess < 1
          ? std::max(0.0, (priority.RefusedShare - excess) / (1 - excess))
          : 0;
  const double share = std::min(1 - Limits.Floor, first + (1 - first) * rest);
  if (std::uniform_real_distribution<>(0, 1)(Random) >= share)
    return true;
  ++Refused[index];
  return false;
}

OverloadControl::Service &OverloadControl::update(NameTable::Id id,
                                                  TimePoint now) {
  if (id >= Services.size())
    Services.resize(id + 1);
  auto &service = Services[id];
  const bool isFirst = !service.IsUsed || now - service.UpdatedAt > MaxGap;
  if (!isFirst && now - service.UpdatedAt < Limits.Interval)
    return service;
  if (isFirst) {
    service = {};
    service.IsUsed = true;
  }
  const std::chrono::duration<double> elapsed =
      isFirst ? Limits.Interval : now - service.UpdatedAt;
  service.UpdatedAt = now;
  updateLoad(service, id, now);
  service.Target = targetOf(service);
  adjust(service, elapsed);
  const double kept =
      std::exp(-elapsed.count() / secondsOf(Limits.RecentWindow));
  service.Callers.age(kept);
  for (auto &it : service.Classes) {
    it.Recent *= kept;
    // Routes change; the objectives of recent SYNs are seen again.
    if (it.Recent < 1)
      it.Objective = milliseconds(0);
  }
  return service;
}

void OverloadControl::updateLoad(Service &service, NameTable::Id id,
                                 TimePoint now) const {
  const auto slots = Zones.slotsOf(id, now);
  double usable = 0;
  double known = 0;
  double outstanding = 0;
  double busy = 0;
  double rate = 0;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    if (slots[i] <= 0)
      continue;
    usable += slots[i];
    const auto load = Load.zoneLoad(id, static_cast<NameTable::Id>(i), now);
    if (!load)
      continue;
    known += slots[i];
    outstanding += load->Outstanding;
    busy += QueueEstimate(load->Outstanding / slots[i]).busyShare() * slots[i];
    rate += load->Rate;
  }
  const bool wasKnown = service.IsLoadKnown;
  service.IsLoadKnown = known > 0 && known >= MinKnownPart * usable;
  const double utilization = service.IsLoadKnown ? outstanding / known : 0;
  if (utilization != service.Utilization)
    service.LoadChangedAt = now;
  service.Utilization = utilization;
  if (!wasKnown)
    service.SmoothedUtilization = utilization;
  // Little's law on the requests that run.
  if (rate > 0)
    service.ServiceTime = std::chrono::duration<double>(busy / rate);
}

double OverloadControl::targetOf(const Service &service) const {
  double target = Limits.MaxTarget;
  if (service.ServiceTime <= Duration(0))
    return target;
  const double strictness =
      std::min(1.0, service.LostShare / Limits.FullLostShare);
  const double part =
      std::lerp(Limits.FirstObjectivePart, Limits.ObjectivePart, strictness);
  const double least =
      std::lerp(Limits.FirstMinTarget, Limits.MinTarget, strictness);
  for (const auto &it : service.Classes) {
    // Where a free server misses the objective, refusing brings nobody back in
    // time.
    if (it.Recent < 1 || it.Objective <= service.ServiceTime)
      continue;
    // A new flow waits for the requests above the slots of the least loaded
    // servers, so utilization u means a response time of about u service times.
    const double met = part * it.Objective / service.ServiceTime;
    target = std::min(target, std::max(met, least));
  }
  return target;
}

void OverloadControl::adjust(Service &service,
                             std::chrono::duration<double> elapsed) const {
  const double window = secondsOf(Limits.TrendWindow);
  service.SmoothedUtilization +=
      (service.Utilization - service.SmoothedUtilization) *
      std::min(1.0, elapsed.count() / window);
  // What arrives beyond what is served, as a part of the capacity.
  const double excess =
      std::clamp((service.Utilization - service.SmoothedUtilization) / window *
                     std::chrono::duration<double>(service.ServiceTime).count(),
                 -1.0, 1.0);
  const double error = std::clamp(
      (service.Utilization - service.Target) / service.Target, -1.0, 1.0);
  double speed = 0;
  if (!service.IsLoadKnown || service.Utilization <= Limits.FreeUtilization)
    speed = -service.LostShare * Limits.FreeFall;
  else
    speed = (error > 0 ? Limits.MaxRise : Limits.MaxFall) * error *
                std::abs(error) +
            Limits.Damping * excess;
  // A rising load that the target allows for is no reason to begin.
  if (service.LostShare <= 0 && error <= 0)
    speed = 0;
  service.LostShare = std::clamp(service.LostShare + speed * elapsed.count(),
                                 0.0, 1 - Limits.Floor);
  const double open =
      service.IsLoadKnown
          ? std::clamp((service.Utilization - Limits.FreeUtilization) /
                           Limits.GateWidth,
                       0.0, 1.0)
          : 0;
  service.RefusedShare =
      open * std::pow(service.LostShare, Limits.RefusalExponent);
  splitByPriority(service);
}

void OverloadControl::splitByPriority(Service &service) const {
  double total = 0;
  for (const auto &it : service.Classes)
    total += it.Recent;
  const bool isFree =
      !service.IsLoadKnown || service.Utilization <= Limits.FreeUtilization;
  double left = isFree ? 0 : service.RefusedShare * total;
  for (auto it = service.Classes.rbegin(); it != service.Classes.rend(); ++it) {
    const double most = (1 - Limits.Floor) * it->Recent;
    const double refused = std::min(left, most);
    it->RefusedShare = it->Recent > 0 ? refused / it->Recent : 0;
    left -= refused;
  }
}

std::vector<OverloadControl::State> OverloadControl::states(TimePoint now) {
  std::vector<State> states;
  for (NameTable::Id i = 0; i < Services.size(); ++i) {
    if (!Services[i].IsUsed)
      continue;
    const auto &service = update(i, now);
    const double wait =
        std::min(MaxWait, std::max(0.0, service.Utilization - 1));
    states.push_back({.Service = i,
                      .RefusedShare = service.RefusedShare,
                      .Utilization = service.Utilization,
                      .Target = service.Target,
                      .ExpectedTime = service.ServiceTime * (1 + wait),
                      .Age = std::chrono::duration_cast<milliseconds>(
                          now - service.LoadChangedAt)});
  }
  return states;
}

} // namespace auburnroute::routing
