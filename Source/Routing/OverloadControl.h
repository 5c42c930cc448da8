#pragma once

#include "Common/Clock.h"
#include "Routing/CallerShares.h"
#include "Routing/FlowAdmission.h"
#include "Routing/SharedLoad.h"
#include "Routing/UsableZones.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace auburnroute::routing {

/// Thresholds and speeds of the OverloadControl. The defaults are those of the
/// daemon.
struct OverloadLimits {
  /// How often the refused share changes.
  std::chrono::milliseconds Interval{250};
  /// Outstanding requests for each slot up to which nothing is refused.
  double FreeUtilization = 0.9;
  /// Above FreeUtilization the refused share is scaled from 0 to all of it over
  /// this range.
  double GateWidth = 0.1;
  /// Part of a route's objective that the mean response time may take, when
  /// refusing begins and from FullLostShare on. The rest is for servers with
  /// more load than the mean. It begins less strict, as a service at 0.9 of its
  /// capacity may have more outstanding requests than slots; in the closed-loop
  /// test a constant 0.5 refused SYNs there.
  double FirstObjectivePart = 0.7;
  double ObjectivePart = 0.5;
  double FullLostShare = 0.4;
  /// Bounds of the utilization that is aimed at: at the lower ones (when
  /// refusing begins, and from FullLostShare on) slots run empty; at the upper
  /// one the queues of some servers (8 places for 2 slots) are full.
  double FirstMinTarget = 2.3;
  double MinTarget = 1.25;
  double MaxTarget = 2.5;
  /// The lost share rises or falls by at most these a second, with the square
  /// of the relative distance from the target: steps near it must be small, as
  /// a queue adds up all excess of the 1 to 2 s by which loads are late.
  double MaxRise = 0.15;
  double MaxFall = 0.15;
  /// Relative fall a second at or below FreeUtilization.
  double FreeFall = 1;
  /// Change of the lost share a second for each unit of excess load, taken from
  /// the trend of the utilization. Damps the swings.
  double Damping = 1.2;
  std::chrono::milliseconds TrendWindow{1000};
  /// Callers try each request up to three times, so that the share of SYNs to
  /// refuse is larger than the share of requests to lose: its power of this
  /// (1/3 if all callers retry twice, 1 if none does).
  double RefusalExponent = 0.5;
  /// Share of the SYNs of each route that is admitted at any load: 0.03 of the
  /// requests that are tried three times. With 0.05 (0.14 of the requests) the
  /// closed-loop test could not shed twice the capacity, as admitted flows go
  /// on sending.
  double Floor = 0.01;
  /// Time over which SYNs of routes and callers count as recent.
  std::chrono::milliseconds RecentWindow{2000};
};

/// Refuses new flows when the servers of their service cannot answer in time.
///
/// A late answer is worth 0.3 of one in time, and a refused request nothing. So
/// refusing pays only if others are answered in time for it. That is so when
/// more requests arrive than the servers process: the excess is lost in any
/// case, and the length of the queue decides whether all others are late. Each
/// host refuses a share of its SYNs that keeps the mean utilization of the
/// service where the strictest objective that can be met is met.
class OverloadControl final : public FlowAdmission {
public:
  using Duration = std::chrono::duration<double, std::milli>;
  /// Routes with a larger number share the last class.
  static constexpr std::size_t PriorityClasses = 4;

  /// What a decision rests on, for logs and metrics.
  struct State {
    NameTable::Id Service = 0;
    double RefusedShare = 0; ///< Of all SYNs, 0 to 1.
    /// Outstanding requests for each slot, over all usable zones; 0 if unknown.
    double Utilization = 0;
    double Target = 0;                ///< Utilization that is aimed at.
    Duration ExpectedTime{0};         ///< Mean response time.
    std::chrono::milliseconds Age{0}; ///< Since the load last changed.
  };

  /// References must outlive the object. \p seed spreads the hosts' choices.
  OverloadControl(const UsableZones &zones, const SharedLoad &load,
                  std::uint64_t seed, OverloadLimits limits = {})
      : Zones(zones), Load(load), Random(seed), Limits(limits) {}

  bool admits(const FlowId &flow, const Route &route, NameTable::Id service,
              common::TimePoint now) override;
  /// Services that got SYNs, as of \p now.
  std::vector<State> states(common::TimePoint now);
  /// SYNs refused so far by priority; the last counts all from there on.
  const std::array<std::uint64_t, PriorityClasses> &refusedCounts() const {
    return Refused;
  }

private:
  /// Recent SYNs of routes of one priority.
  struct PriorityClass {
    double Recent = 0;
    /// The shortest objective of its routes; 0 if unknown.
    std::chrono::milliseconds Objective{0};
    double RefusedShare = 0; ///< Probability of refusing a SYN.
  };
  struct Service {
    bool IsUsed = false;
    common::TimePoint UpdatedAt;
    common::TimePoint LoadChangedAt;
    std::array<PriorityClass, PriorityClasses> Classes;
    CallerShares Callers;
    double LostShare = 0; ///< Of the requests; controls RefusedShare.
    double RefusedShare = 0;
    double Utilization = 0;
    double SmoothedUtilization = 0;
    bool IsLoadKnown = false;
    double Target = 0;
    Duration ServiceTime{0};
  };

  Service &update(NameTable::Id id, common::TimePoint now);
  void updateLoad(Service &service, NameTable::Id id,
                  common::TimePoint now) const;
  /// The utilization at which the strictest objective that can be met is met.
  double targetOf(const Service &service) const;
  /// Moves the refused share and splits it over the classes.
  void adjust(Service &service, std::chrono::duration<double> elapsed) const;
  void splitByPriority(Service &service) const;

  const UsableZones &Zones;
  const SharedLoad &Load;
  std::mt19937_64 Random;
  OverloadLimits Limits;
  std::vector<Service> Services; ///< By service id.
  std::array<std::uint64_t, PriorityClasses> Refused{};
};

} // namespace auburnroute::routing
