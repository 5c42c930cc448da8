#include "Fleet/OutlierCases.h"

#include <algorithm>
#include <iterator>

namespace auburnroute::fleet {

using common::TimePoint;
using routing::OutlierEvidence;
using routing::OutlierKind;
using std::chrono::milliseconds;

void OutlierCases::onReport(std::uint64_t identity, std::int64_t startTimeMs,
                            std::uint32_t reporter,
                            const routing::ServerOutcomes &outcomes,
                            std::uint32_t slots, TimePoint now) {
  if (Servers.size() >= Limits.MaxServers && !Servers.contains(identity))
    return;
  auto &it = Servers[identity];
  if (it.StartTimeMs != startTimeMs)
    it = {};
  it.StartTimeMs = startTimeMs;
  it.Slots = slots;
  const auto known = std::ranges::find(it.Reports, reporter, &Report::Reporter);
  if (known != it.Reports.end())
    *known = {reporter, outcomes, now};
  else if (it.Reports.size() < Limits.MaxReporters)
    it.Reports.push_back({reporter, outcomes, now});
}

OutlierEvidence OutlierCases::total(const Case &it) {
  OutlierEvidence evidence;
  evidence.Time = routing::OutcomeTracker::MemoryTime;
  evidence.Slots = it.Slots;
  std::vector<std::uint32_t> callers;
  bool hasSeveral = false;
  for (const auto &report : it.Reports) {
    const auto &outcomes = report.Outcomes;
    evidence.Outcomes.Recent += outcomes.Recent;
    evidence.Outcomes.All += outcomes.All;
    evidence.Outcomes.Others += outcomes.Others;
    ++evidence.Reporters;
    evidence.Hosts += outcomes.All.failures() > 0;
    hasSeveral |= outcomes.HasSeveralCallers;
    if (outcomes.Caller != 0 &&
        std::ranges::find(callers, outcomes.Caller) == callers.end())
      callers.push_back(outcomes.Caller);
  }
  evidence.Callers = std::max<std::uint32_t>(
      static_cast<std::uint32_t>(callers.size()), hasSeveral ? 2 : 0);
  return evidence;
}

std::vector<OutlierCases::Decision>
OutlierCases::decide(std::uint64_t identity, Case &it, std::uint32_t zoneHosts,
                     milliseconds watchInterval, TimePoint now) const {
  std::vector<Decision> decisions;
  Decision decision{.Identity = identity,
                    .StartTimeMs = it.StartTimeMs,
                    .Kind = it.Kind,
                    .Evidence = total(it)};
  const auto &evidence = decision.Evidence;
  const bool isHeld = now < it.HeldUntil;
  if (now - it.WatchedAt >= watchInterval &&
      (isHeld || Limits.Rule.isSuspicious(evidence, zoneHosts))) {
    auto question = decision;
    question.IsReminder = isHeld;
    question.Level = isHeld ? it.Level : 0;
    if (isHeld)
      question.Hold =
          std::chrono::duration_cast<milliseconds>(it.HeldUntil - now);
    decisions.push_back(question);
  }
  if (isHeld) {
    if (it.HeldUntil - now > Limits.RenewBefore)
      return decisions;
    const bool isFailing = Limits.Rule.isStillFailing(evidence);
    const bool isUnknown =
        evidence.Outcomes.Recent.requests() + evidence.Outcomes.Recent.Syns ==
        0;
    if (!isFailing && !(isUnknown && it.RenewalsWithoutEvidence <
                                         Limits.MaxRenewalsWithoutEvidence))
      return decisions;
    decision.Level = it.Level;
    decision.Hold = isFailing ? std::min(it.Hold * 2, Limits.MaxHold) : it.Hold;
    it.RenewalsWithoutEvidence += !isFailing;
    decisions.push_back(decision);
    return decisions;
  }
  // The hosts where the server looks good must have had the time to say so.
  if (it.FirstWatchedAt == TimePoint() ||
      now - it.FirstWatchedAt < Limits.AnswerTime)
    return decisions;
  decision.Kind = Limits.Rule.judge(evidence, zoneHosts);
  if (decision.Kind == OutlierKind::None)
    return decisions;
  decision.Level =
      decision.Kind == OutlierKind::Slow ? Limits.SlowLevel : Limits.Level;
  decision.Hold = it.Hold == milliseconds(0)
                      ? Limits.Hold
                      : std::min(it.Hold * 2, Limits.MaxHold);
  decisions.push_back(decision);
  return decisions;
}

std::vector<OutlierCases::Decision>
OutlierCases::decisions(std::uint32_t zoneHosts, milliseconds watchInterval,
                        TimePoint now) {
  std::vector<Decision> list;
  for (auto entry = Servers.begin(); entry != Servers.end();) {
    auto &it = entry->second;
    std::erase_if(it.Reports, [&](const Report &report) {
      return now - report.ReceivedAt > Limits.ReportLifetime;
    });
    if (now - it.WatchedAt > 2 * watchInterval)
      it.FirstWatchedAt = {};
    if (now - it.HeldUntil > Limits.Memory)
      it.Hold = milliseconds(0);
    auto own = decide(entry->first, it, zoneHosts, watchInterval, now);
    std::ranges::move(own, std::back_inserter(list));
    const bool isOver = it.Reports.empty() && it.Hold == milliseconds(0);
    entry = isOver ? Servers.erase(entry) : std::next(entry);
  }
  return list;
}

void OutlierCases::onDone(const Decision &decision, TimePoint now) {
  const auto found = Servers.find(decision.Identity);
  if (found == Servers.end())
    return;
  auto &it = found->second;
  if (decision.Level == 0 || decision.IsReminder) {
    it.WatchedAt = now;
    if (it.FirstWatchedAt == TimePoint())
      it.FirstWatchedAt = now;
    return;
  }
  if (now >= it.HeldUntil)
    it.RenewalsWithoutEvidence = 0;
  it.Kind = decision.Kind;
  it.Level = decision.Level;
  it.Hold = decision.Hold;
  it.HeldUntil = now + decision.Hold;
}

} // namespace auburnroute::fleet
