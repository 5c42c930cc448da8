#include "Coordination/Health/BackendServerHealth.h"

#include <algorithm>
#include <cmath>

namespace auburnroute::health {

using state::Cause;

namespace {

std::uint32_t saturatingIncrement(std::uint32_t n) {
  return n == UINT32_MAX ? n : n + 1;
}

} // namespace

void BackendServerHealth::beginSlowStart(common::TimePoint now) {
  SlowStartBegin = now;
}

Cause BackendServerHealth::drainingCause(bool wasDraining) const {
  return !wasDraining && isDraining() ? Cause::BackendServerDraining
                                      : Cause::None;
}

Cause BackendServerHealth::onSettings(state::BackendServerMode mode) {
  const bool wasDraining = isDraining();
  IsDrainingBySettings = mode == state::BackendServerMode::Draining;
  return drainingCause(wasDraining);
}

Cause BackendServerHealth::onLeaving(bool isLeaving) {
  const bool wasDraining = isDraining();
  IsLeaving = isLeaving;
  return drainingCause(wasDraining);
}

Cause BackendServerHealth::onReport(common::TimePoint now,
                                    const LoadReport &report,
                                    std::string_view service) {
  ReportFailures = 0;
  const bool hadMoved = HasMoved;
  HasMoved = report.Service != service;
  if (HasMoved) // The rest of the report concerns the other service.
    return hadMoved ? Cause::None : Cause::BackendServerMoved;
  const bool wasDraining = isDraining();
  IsDrainingByReport = report.Mode == state::BackendServerMode::Draining;
  const bool wasShedding = IsShedding;
  IsShedding = report.IsShedding;
  if (hadMoved || (wasShedding && !IsShedding))
    beginSlowStart(now);
  if (isDraining())
    return drainingCause(wasDraining);
  return IsShedding && !wasShedding ? Cause::BackendServerEjected : Cause::None;
}

Cause BackendServerHealth::onReportFailure(common::TimePoint now,
                                           const state::ServicePolicy &policy) {
  ReportFailures = saturatingIncrement(ReportFailures);
  if (isEjected(now) && ReportFailures >= policy.EjectAfter) {
    // Still failing: extend the ejection without counting another one.
    EjectedUntil = std::max(EjectedUntil, now + policy.EjectFor);
    SlowStartBegin = EjectedUntil;
    return Cause::None;
  }
  return ReportFailures >= policy.EjectAfter ? eject(now, policy) : Cause::None;
}

Cause BackendServerHealth::onSynRefused(common::TimePoint now,
                                        const state::ServicePolicy &policy) {
  const auto cause = onSynUnanswered(now, policy);
  BackoffUntil = now + InitialBackoff * (1U << std::min(SynFailures - 1,
                                                        MaxBackoffDoublings));
  return cause;
}

Cause BackendServerHealth::onSynUnanswered(common::TimePoint now,
                                           const state::ServicePolicy &policy) {
  SynFailures = saturatingIncrement(SynFailures);
  LastSynFailure = now;
  return SynFailures >= policy.EjectAfter ? eject(now, policy) : Cause::None;
}

Cause BackendServerHealth::eject(common::TimePoint now,
                                 const state::ServicePolicy &policy) {
  if (isEjected(now))
    return Cause::None;
  EjectedUntil =
      now + policy.EjectFor * (1U << std::min(Ejections, MaxEjectionDoublings));
  Ejections = saturatingIncrement(Ejections);
  SlowStartBegin = EjectedUntil;
  return Cause::BackendServerEjected;
}

void BackendServerHealth::onServed(common::TimePoint now,
                                   std::chrono::nanoseconds duration,
                                   std::uint32_t slots,
                                   const state::ServicePolicy &policy) {
  ReportFailures = 0;
  // A server that now refuses SYNs may still finish requests that it accepted
  // earlier. They do not clear its failures.
  if (now - duration > LastSynFailure) {
    SynFailures = 0;
    BackoffUntil = {};
  }
  if (state(now, policy) == HealthState::Healthy)
    Ejections = 0;
  if (!isInSlowStart(now, policy))
    return;
  const double ramped = slowStartSlots(now, slots, policy);
  const double part = ramped - std::floor(ramped);
  if (part <= 0)
    return;
  // The ramp rarely allows a whole number of slots. The fractional slot is
  // used for the matching fraction of time, with a pause after each request.
  const double pause =
      static_cast<double>(duration.count()) * (1 - part) / part;
  const double limit = std::chrono::nanoseconds(MaxSlowStartPause).count();
  SlowStartPauseUntil =
      now + std::chrono::nanoseconds(
                static_cast<std::int64_t>(std::min(pause, limit)));
}

bool BackendServerHealth::isEjected(common::TimePoint now) const {
  return HasMoved || IsShedding || now < EjectedUntil;
}

bool BackendServerHealth::isInSlowStart(
    common::TimePoint now, const state::ServicePolicy &policy) const {
  return SlowStartBegin && now >= *SlowStartBegin &&
         now < *SlowStartBegin + policy.SlowStart;
}

HealthState
BackendServerHealth::state(common::TimePoint now,
                           const state::ServicePolicy &policy) const {
  if (isDraining())
    return HealthState::Draining;
  if (isEjected(now))
    return HealthState::Ejected;
  return isInSlowStart(now, policy) ? HealthState::Starting
                                    : HealthState::Healthy;
}

double
BackendServerHealth::slowStartSlots(common::TimePoint now, std::uint32_t slots,
                                    const state::ServicePolicy &policy) const {
  const std::chrono::duration<double> elapsed = now - *SlowStartBegin;
  const std::chrono::duration<double> whole = policy.SlowStart;
  return slots * std::clamp(elapsed / whole, InitialSlowStartShare, 1.0);
}

std::uint32_t
BackendServerHealth::usableSlots(common::TimePoint now, std::uint32_t slots,
                                 const state::ServicePolicy &policy) const {
  if (!isInSlowStart(now, policy))
    return slots;
  const double ramped = slowStartSlots(now, slots, policy);
  const double usable =
      now < SlowStartPauseUntil ? std::floor(ramped) : std::ceil(ramped);
  return static_cast<std::uint32_t>(usable);
}

} // namespace auburnroute::health
