#pragma once

#include "Common/Clock.h"
#include "Coordination/Health/LoadReport.h"
#include "State/Cause.h"
#include "State/Settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace auburnroute::health {

/// Whether a backend server may get new flows.
enum class HealthState {
  Healthy,
  Starting, ///< Slow start: takes new flows up to part of its capacity.
  Draining, ///< Takes no new flow; keeps the established ones.
  Ejected,  ///< Takes no new flow, unless too many servers are ejected.
};

/// Health of one backend server. Inputs are the settings, the host list, load
/// reports (active checks) and the outcome of its flows (passive checks).
///
/// Traffic takes precedence over reports: a served request clears failures of
/// both kinds, a successful report clears only failed reports. So a server that
/// reports success but refuses flows is ejected, and one that serves requests
/// while its report cannot be fetched is not. Handlers return the cause of the
/// state that the event entered, or Cause::None.
class BackendServerHealth {
public:
  /// Backoff after a refused SYN; doubles with each consecutive one. Without
  /// it, a server that refuses immediately always has free slots and gets all
  /// queued flows before it is ejected.
  static constexpr std::chrono::milliseconds InitialBackoff{100};
  static constexpr unsigned MaxBackoffDoublings = 4;
  /// Repeated ejections last up to 2^3 times ejectFor. With the default
  /// settings, a server that recovers late still returns within a minute.
  static constexpr unsigned MaxEjectionDoublings = 3;
  /// Share of the capacity at the beginning of slow start. With 0, the server
  /// would not get a first request.
  static constexpr double InitialSlowStartShare = 0.1;
  /// Longest pause between requests in slow start, so that one long request
  /// does not stall the ramp.
  static constexpr std::chrono::milliseconds MaxSlowStartPause{1000};

  /// Starts the ramp. For a server that a new settings revision added, and
  /// after a restart.
  void beginSlowStart(common::TimePoint now);
  /// Applies the mode from the settings.
  state::Cause onSettings(state::BackendServerMode mode);
  /// Sets whether the host list names the server as leaving.
  state::Cause onLeaving(bool isLeaving);
  /// Handles a load report; \p service is the service name that it must have.
  state::Cause onReport(common::TimePoint now, const LoadReport &report,
                        std::string_view service);
  /// The load report could not be fetched.
  state::Cause onReportFailure(common::TimePoint now,
                               const state::ServicePolicy &policy);
  /// The server answered a SYN with a reset. Starts a backoff.
  state::Cause onSynRefused(common::TimePoint now,
                            const state::ServicePolicy &policy);
  /// A caller repeated its SYN because it got no answer. The fault may be on
  /// the caller's side, so there is no backoff.
  state::Cause onSynUnanswered(common::TimePoint now,
                               const state::ServicePolicy &policy);
  /// A request was served in \p duration; \p slots is the server's limit.
  void onServed(common::TimePoint now, std::chrono::nanoseconds duration,
                std::uint32_t slots, const state::ServicePolicy &policy);

  HealthState state(common::TimePoint now,
                    const state::ServicePolicy &policy) const;
  /// Whether the server must not be used, even if all others are ejected.
  bool isExcluded() const { return isDraining() || HasMoved; }
  bool isDraining() const {
    return IsDrainingBySettings || IsLeaving || IsDrainingByReport;
  }
  /// Whether the server reports the name of another service.
  bool hasMoved() const { return HasMoved; }
  /// Whether the server gets no requests because it just refused a SYN.
  bool isBackingOff(common::TimePoint now) const { return now < BackoffUntil; }
  /// Reports that failed since the last successful one.
  std::uint32_t reportFailures() const { return ReportFailures; }
  /// Requests that the server may process at once now, at most \p slots; fewer
  /// in slow start. All slots while it is ejected: whether an ejected server is
  /// used is up to the caller.
  std::uint32_t usableSlots(common::TimePoint now, std::uint32_t slots,
                            const state::ServicePolicy &policy) const;

private:
  state::Cause drainingCause(bool wasDraining) const;
  state::Cause eject(common::TimePoint now, const state::ServicePolicy &policy);
  bool isEjected(common::TimePoint now) const;
  bool isInSlowStart(common::TimePoint now,
                     const state::ServicePolicy &policy) const;
  double slowStartSlots(common::TimePoint now, std::uint32_t slots,
                        const state::ServicePolicy &policy) const;

  bool IsDrainingBySettings = false;
  bool IsLeaving = false;
  bool IsDrainingByReport = false;
  bool HasMoved = false;
  bool IsShedding = false;
  std::uint32_t ReportFailures = 0; ///< Consecutive.
  std::uint32_t SynFailures = 0;    ///< Consecutive.
  std::uint32_t Ejections = 0;      ///< Since the server was last healthy.
  common::TimePoint EjectedUntil;
  common::TimePoint BackoffUntil;
  common::TimePoint SlowStartPauseUntil;
  common::TimePoint LastSynFailure;
  std::optional<common::TimePoint> SlowStartBegin;
};

} // namespace auburnroute::health
