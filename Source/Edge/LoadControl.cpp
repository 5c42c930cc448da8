#include "Edge/LoadControl.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>

namespace auburnroute::edge {

using common::TimePoint;

namespace {

/// Shares at which an episode begins and, after EpisodeQuietTime below the
/// other one, ends in the log. Between them shares move with each interval.
constexpr double EpisodeStart = 0.05;
constexpr double EpisodeEnd = 0.01;
constexpr std::chrono::seconds EpisodeQuietTime{2};

constexpr std::array<EdgeCounter, routing::OverloadControl::PriorityClasses>
    RefusalCounters{
        EdgeCounter::OverloadRefusals0, EdgeCounter::OverloadRefusals1,
        EdgeCounter::OverloadRefusals2, EdgeCounter::OverloadRefusalsRest};

std::string phaseField(bool begins) {
  return absl::StrCat(",\"phase\":\"", begins ? "begin" : "end", "\"");
}

} // namespace

LoadControl::LoadControl(const routing::ServerDirectory &directory,
                         const routing::ServerHealthTracker &health,
                         const routing::ZoneEvacuations *evacuations,
                         routing::NameTable::Id ownZone,
                         const routing::SharedLoad &load,
                         std::chrono::milliseconds crossZoneCost,
                         std::uint64_t seed, EventLog &log,
                         EdgeMetrics &metrics)
    : Directory(directory), Log(log), Metrics(metrics),
      Usable(directory, health, evacuations, ownZone),
      Balancer(Usable, load, Delays, crossZoneCost, seed),
      Admission(Usable, load, seed + 1) {}

bool LoadControl::changes(Episode &episode, double share, TimePoint now) {
  if (share >= EpisodeEnd)
    episode.LastAbove = now;
  const bool isActive = episode.IsActive
                            ? now - episode.LastAbove < EpisodeQuietTime
                            : share >= EpisodeStart;
  return std::exchange(episode.IsActive, isActive) != isActive;
}

void LoadControl::reportLeaving(const routing::ZoneBalancer::State &state,
                                TimePoint now) {
  LargestLeavingShare = std::max(LargestLeavingShare, state.LeavingShare);
  auto &episode = Leaving[state.Service];
  if (!changes(episode, state.LeavingShare, now) ||
      !Log.tryAdmit(LogEvent::ZoneShare))
    return;
  const auto &basis = state.Basis;
  Log.write(LogEvent::ZoneShare,
            absl::StrCat(
                "\"service\":\"",
                Directory.serviceNames().nameOf(state.Service), "\"",
                phaseField(episode.IsActive),
                absl::StrFormat(",\"share\":%.2f,\"own_utilization\":%.2f,"
                                "\"other_utilization\":%.2f,\"own_ms\":%.0f,"
                                "\"other_ms\":%.0f,\"load_age_ms\":%d,"
                                "\"own_zone_usable\":%s",
                                state.LeavingShare, basis.OwnUtilization,
                                basis.OtherUtilization, basis.OwnTime.count(),
                                basis.OtherTime.count(), basis.Age.count(),
                                state.IsOwnZoneUnusable ? "false" : "true")));
}

void LoadControl::reportRefusing(const routing::OverloadControl::State &state,
                                 TimePoint now) {
  LargestRefusedShare = std::max(LargestRefusedShare, state.RefusedShare);
  auto &episode = Refusing[state.Service];
  if (!changes(episode, state.RefusedShare, now) ||
      !Log.tryAdmit(LogEvent::Overload))
    return;
  Log.write(
      LogEvent::Overload,
      absl::StrCat(
          "\"service\":\"", Directory.serviceNames().nameOf(state.Service),
          "\"", phaseField(episode.IsActive),
          absl::StrFormat(",\"share\":%.2f,\"utilization\":%.2f,"
                          "\"target\":%.2f,\"expected_ms\":%.0f,"
                          "\"load_age_ms\":%d",
                          state.RefusedShare, state.Utilization, state.Target,
                          state.ExpectedTime.count(), state.Age.count())));
}

void LoadControl::poll(TimePoint now) {
  LargestLeavingShare = LargestRefusedShare = 0;
  for (const auto &it : Balancer.states(now))
    reportLeaving(it, now);
  for (const auto &it : Admission.states(now))
    reportRefusing(it, now);
  Metrics.set(EdgeCounter::FlowsSentToOtherZones, Balancer.flowsSentAway());
  for (std::size_t i = 0; i < RefusalCounters.size(); ++i)
    Metrics.set(RefusalCounters[i], Admission.refusedCounts()[i]);
}

void LoadControl::sample(EdgeGauges &gauges) const {
  gauges.LeavingShare = LargestLeavingShare;
  gauges.RefusedShare = LargestRefusedShare;
}

} // namespace auburnroute::edge
