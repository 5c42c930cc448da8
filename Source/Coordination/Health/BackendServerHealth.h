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

/// What new flows a backend server may get.
enum class HealthState {
  Healthy,
  Starting, ///< Takes part of its capacity (slow start).
  Draining, ///< Takes no new flow; keeps the established ones.
  Ejected,  ///< Takes no new flow unless too much of the service is ejected.
};

/// Health of one backend server, from settings, host list, load reports and
/// what its flows show.
///
/// Traffic outranks reports: a response clears failures of both kinds, a good
/// report clears failed reports only. So a server that reports well while it
/// refuses flows is ejected, and one that serves while its report cannot be
/// had is not. Handlers return the cause of a state that was entered, or
/// Cause::None.
class BackendServerHealth {
public:
  /// First pause after a refused SYN. It doubles with each further one. Without
  /// it a server that refuses at once always has free slots and draws all
  /// queued flows before it is ejected.
  static constexpr std::chrono::milliseconds InitialBackoff{100};
  static constexpr unsigned MaxBackoffDoublings = 4;
  /// Repeated ejections last up to 2^3 times ejectFor, so that a server that
  /// recovers late still returns within a minute at the default settings.
  static constexpr unsigned MaxEjectionDoublings = 3;
  /// Share of the capacity at the beginning of slow start. At 0 the first
  /// request would never come.
  static constexpr double InitialSlowStartShare = 0.1;
  /// Longest pause between requests in slow start, so that one request that
  /// ran long does not stop the ramp.
  static constexpr std::chrono::milliseconds MaxSlowStartPause{1000};

  /// Starts the ramp: first appearance in a later revision, or a restart.
  void beginSlowStart(common::TimePoint now);
  /// State in the settings.
  state::Cause onSettings(state::BackendServerMode mode);
  /// Whether the host list names the server as leaving.
  state::Cause onLeaving(bool leaving);
  /// A load report; \p service is the name that it should carry.
  state::Cause onReport(common::TimePoint now, const LoadReport &report,
                        std::string_view service);
  /// The load report could not be had.
  state::Cause onReportFailure(common::TimePoint now,
                               const state::ServicePolicy &policy);
  /// The server answered a SYN with a reset. It rests, see InitialBackoff.
  state::Cause onSynRefused(common::TimePoint now,
                            const state::ServicePolicy &policy);
  /// A SYN was repeated for want of an answer. The fault may be the caller's,
  /// so the server does not rest.
  state::Cause onSynUnanswered(common::TimePoint now,
                               const state::ServicePolicy &policy);
  /// A request was served in \p duration; \p slots is the server's limit.
  void onServed(common::TimePoint now, std::chrono::nanoseconds duration,
                std::uint32_t slots, const state::ServicePolicy &policy);

  HealthState state(common::TimePoint now,
                    const state::ServicePolicy &policy) const;
  /// Whether the server must not be used even if all others are ejected.
  bool isExcluded() const { return isDraining() || Moved; }
  bool isDraining() const {
    return DrainingBySettings || Leaving || DrainingByReport;
  }
  /// Whether the server reports the name of another service.
  bool hasMoved() const { return Moved; }
  /// Whether it takes no request because it has just refused a SYN.
  bool isBackingOff(common::TimePoint now) const { return now < BackoffUntil; }
  /// Reports that failed since the last good one.
  std::uint32_t reportFailures() const { return ReportFailures; }
  /// Requests that it may work on now, at most \p slots; fewer in slow start.
  /// All of them while ejected: the caller decides whether it is used then.
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

  bool DrainingBySettings = false;
  bool Leaving = false;
  bool DrainingByReport = false;
  bool Moved = false;
  bool Shedding = false;
  std::uint32_t ReportFailures = 0; ///< Consecutive.
  std::uint32_t SynFailures = 0;    ///< Consecutive.
  std::uint32_t Ejections = 0;      ///< Since it last was healthy.
  common::TimePoint EjectedUntil;
  common::TimePoint BackoffUntil;
  common::TimePoint SlowStartPauseUntil;
  common::TimePoint LastSynFailure;
  std::optional<common::TimePoint> SlowStartBegin; ///< Begin of slow start.
};

} // namespace auburnroute::health
