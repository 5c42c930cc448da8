#include "Routing/OutlierRule.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace auburnroute::routing {

namespace {

/// Failures among outcomes of one sort.
struct Trials {
  std::uint32_t Count = 0;
  std::uint32_t Failures = 0;

  double share() const {
    return Count == 0 ? 0 : static_cast<double>(Failures) / Count;
  }
  /// The share that is likely not exceeded, by the rule of succession.
  double usualShare(double min, double prior = 1) const {
    return std::max(min, (Failures + prior) / (Count + 2 * prior));
  }
};

/// Probability of at least \p trials.Failures failures, if each trial fails
/// with probability \p p.
double chanceOf(const Trials &trials, double p) {
  const double n = trials.Count;
  double sum = 0;
  for (double k = trials.Failures; k <= n; ++k)
    sum += std::exp(std::lgamma(n + 1) - std::lgamma(k + 1) -
                    std::lgamma(n - k + 1) + k * std::log(p) +
                    (n - k) * std::log1p(-p));
  return sum;
}

Trials unanswered(const OutcomeCounts &it) {
  return {it.requests(), it.Unanswered};
}
Trials failedSyns(const OutcomeCounts &it) { return {it.Syns, it.FailedSyns}; }
Trials endedFlows(const OutcomeCounts &it) { return {it.Flows, it.EndedFlows}; }
Trials late(const OutcomeCounts &it) {
  return {it.requests(), it.Slow + it.Unanswered};
}

/// Response time at utilization \p utilization relative to that of an idle
/// server, for two places of work (M/M/2).
double waitFactor(double utilization) {
  return 1 / (1 - utilization * utilization);
}

} // namespace

std::string_view toString(OutlierKind kind) {
  switch (kind) {
  case OutlierKind::None:
    return "none";
  case OutlierKind::Unanswered:
    return "unanswered";
  case OutlierKind::FailedSyns:
    return "failed_syns";
  case OutlierKind::EndedFlows:
    return "ended_flows";
  case OutlierKind::Slow:
    return "slow";
  }
  return "invalid";
}

OutlierKind OutlierRule::differenceIn(const ServerOutcomes &outcomes,
                                      const Criteria &criteria) const {
  const auto differs = [&](Trials (*trialsOf)(const OutcomeCounts &),
                           double margin) {
    const auto others = trialsOf(outcomes.Others);
    if (others.Count < criteria.MinOthers)
      return false;
    const double usual = others.usualShare(MinUsualShare, criteria.Prior);
    return std::ranges::any_of(
        std::array{outcomes.Recent, outcomes.All}, [&](const auto &it) {
          const auto trials = trialsOf(it);
          return trials.Failures >= criteria.MinFailures &&
                 trials.share() >= usual + margin * criteria.MarginFactor &&
                 chanceOf(trials, usual) <= criteria.MaxChance;
        });
  };
  if (differs(unanswered, UnansweredMargin))
    return OutlierKind::Unanswered;
  if (differs(failedSyns, FailedSynsMargin))
    return OutlierKind::FailedSyns;
  if (differs(endedFlows, EndedFlowsMargin))
    return OutlierKind::EndedFlows;
  return differs(late, SlowMargin) ? OutlierKind::Slow : OutlierKind::None;
}

bool OutlierRule::hasEnoughSources(const OutlierEvidence &evidence,
                                   std::uint32_t zoneHosts) const {
  return evidence.Callers >= MinCallers &&
         (zoneHosts < MinZoneHosts || evidence.Hosts >= MinHosts);
}

bool OutlierRule::isReportable(const ServerOutcomes &outcomes) const {
  return differenceIn(outcomes, Report) != OutlierKind::None;
}

bool OutlierRule::isSuspicious(const OutlierEvidence &evidence,
                               std::uint32_t zoneHosts) const {
  return hasEnoughSources(evidence, zoneHosts) &&
         differenceIn(evidence.Outcomes, Question) != OutlierKind::None;
}

double OutlierRule::utilization(const OutlierEvidence &evidence) {
  const auto seconds = [](std::chrono::milliseconds time) {
    return std::chrono::duration<double>(time).count();
  };
  if (evidence.Time.count() <= 0)
    return 1;
  const double rate = std::max(
      evidence.Outcomes.All.Sent / seconds(evidence.Time),
      evidence.Outcomes.Recent.Sent / seconds(OutcomeTracker::RecentTime));
  return rate * seconds(evidence.Outcomes.Others.meanTime()) /
         std::max(1U, evidence.Slots);
}

OutlierKind OutlierRule::judge(const OutlierEvidence &evidence,
                               std::uint32_t zoneHosts) const {
  if (!hasEnoughSources(evidence, zoneHosts) ||
      evidence.Reporters < MinReporters * zoneHosts)
    return OutlierKind::None;
  const auto kind = differenceIn(evidence.Outcomes, Verdict);
  if (kind != OutlierKind::Slow && kind != OutlierKind::EndedFlows)
    return kind;
  const double load = utilization(evidence);
  const bool isLoadKnown = evidence.Reporters >= MinLoadReporters * zoneHosts;
  const auto own = evidence.Outcomes.All.meanTime();
  const std::chrono::duration<double, std::milli> usual =
      evidence.Outcomes.Others.meanTime();
  const bool isBusy = !isLoadKnown || load > MaxUtilization;
  if (kind == OutlierKind::EndedFlows)
    return isBusy && own > usual * FastFactor ? OutlierKind::None : kind;
  return isBusy || own < usual * SlowFactor * waitFactor(load)
             ? OutlierKind::None
             : kind;
}

bool OutlierRule::isStillFailing(const OutlierEvidence &evidence) const {
  auto outcomes = evidence.Outcomes;
  // Older ones may be from before the verdict.
  outcomes.All = outcomes.Recent;
  return differenceIn(outcomes, Renewal) != OutlierKind::None;
}

} // namespace auburnroute::routing
