#include "Fleet/FailureAggregator.h"

#include <algorithm>
#include <utility>

namespace auburnroute::fleet {

using common::TimePoint;
using routing::AnswerQuality;
using routing::SilenceEvidence;
using std::chrono::milliseconds;

void FailureAggregator::onReport(std::uint64_t identity,
                                 std::int64_t startTimeMs,
                                 std::uint32_t reporter,
                                 const SilenceEvidence &evidence,
                                 TimePoint now) {
  if (Cases.size() >= Limits.MaxServers && !Cases.contains(identity))
    return;
  auto &known = Cases[identity];
  if (known.StartTimeMs != startTimeMs) {
    known = Case();
    known.StartTimeMs = startTimeMs;
  }
  if (evidence.Since <= known.AnsweredAt) {
    // The reporter missed that the server answered.
    Decisions.push_back({{identity, startTimeMs, VerdictKind::Answering, {}},
                         known.AnsweredAt,
                         reporter});
    return;
  }
  const auto it = std::ranges::find(known.Reports, reporter, &Report::Reporter);
  if (it != known.Reports.end())
    *it = {reporter, evidence, now};
  else if (known.Reports.size() < Limits.MaxReporters)
    known.Reports.push_back({reporter, evidence, now});
  // The reporter missed the verdict, or started after it.
  if (known.Verdict == VerdictKind::Dead)
    Decisions.push_back({{identity, startTimeMs, *known.Verdict, {}},
                         known.Since,
                         reporter,
                         known.Basis});
}

void FailureAggregator::onAnswer(std::uint64_t identity, TimePoint answeredAt,
                                 std::uint32_t seenBy) {
  const auto it = Cases.find(identity);
  if (it == Cases.end() || answeredAt <= it->second.AnsweredAt)
    return;
  auto &known = it->second;
  known.AnsweredAt = answeredAt;
  std::erase_if(known.Reports, [&](const Report &report) {
    return report.Evidence.Since <= answeredAt;
  });
  if (!known.Verdict || known.Since > answeredAt)
    return;
  known.Verdict.reset();
  Decisions.push_back(
      {.Verdict = {identity, known.StartTimeMs, VerdictKind::Answering, {}},
       .Since = answeredAt,
       .OnlyTo = {},
       .AnswerSeenBy = seenBy,
       .IsFirst = true});
}

void FailureAggregator::restartRefutation(TimePoint now) {
  for (auto &[identity, it] : Cases)
    if (it.Verdict == VerdictKind::Suspected)
      it.DecidedAt = now;
}

SilenceEvidence FailureAggregator::total(const Case &it) {
  SilenceEvidence sum;
  sum.Since = TimePoint::max();
  for (const auto &report : it.Reports) {
    sum.RequestCount += report.Evidence.RequestCount;
    sum.SynCount += report.Evidence.SynCount;
  }
  for (const auto &report : it.Reports) {
    const auto &evidence = report.Evidence;
    if (sum.RequestCount > 0 && evidence.RequestCount == 0)
      continue;
    sum.HasSeveralCallers |= evidence.HasSeveralCallers ||
                             (sum.Caller != 0 && evidence.Caller != sum.Caller);
    sum.Caller = evidence.Caller;
    sum.Since = std::min(sum.Since, evidence.Since);
  }
  return sum;
}

bool FailureAggregator::isSuspected(const Case &it,
                                    const SilenceEvidence &evidence) const {
  if (evidence.RequestCount + evidence.SynCount < Limits.SuspectedCount)
    return false;
  // Here SYNs count as much as requests: a suspicion ends no flow.
  return evidence.HasSeveralCallers ||
         std::ranges::any_of(it.Reports, [&](const Report &report) {
           return report.Evidence.Caller != evidence.Caller;
         });
}

bool FailureAggregator::isDead(const Case &it, const SilenceEvidence &evidence,
                               const AnswerQuality &quality,
                               std::size_t zoneHostCount, TimePoint now) const {
  if (zoneHostCount >= Limits.MinHostsForReporters &&
      it.Reports.size() < Limits.DeadReporters)
    return false;
  return Limits.Silence.isDead(evidence, quality, now) &&
         now - it.DecidedAt >= Limits.RefutationTime;
}

void FailureAggregator::decide(std::uint64_t identity, Case &it,
                               VerdictKind kind, const VerdictBasis &basis,
                               TimePoint now) {
  it.Verdict = kind;
  it.DecidedAt = now;
  it.Since = basis.Evidence.Since;
  it.Basis = basis;
  it.AnnouncementsLeft = Limits.Announcements - 1;
  Decisions.push_back({.Verdict = {identity, it.StartTimeMs, kind, {}},
                       .Since = it.Since,
                       .OnlyTo = {},
                       .Basis = basis,
                       .IsFirst = true});
}

std::vector<FailureAggregator::Decision>
FailureAggregator::takeDecisions(const AnswerQuality &quality,
                                 std::size_t zoneHostCount, TimePoint now) {
  for (auto &[identity, it] : Cases) {
    if (it.Verdict == VerdictKind::Dead)
      continue;
    std::erase_if(it.Reports, [&](const Report &report) {
      return now - report.ReceivedAt > Limits.EvidenceWindow;
    });
    const auto evidence = total(it);
    if (!isSuspected(it, evidence))
      continue;
    const VerdictBasis basis{evidence, quality, it.Reports.size()};
    if (!it.Verdict)
      decide(identity, it, VerdictKind::Suspected, basis, now);
    else if (isDead(it, evidence, quality, zoneHostCount, now))
      decide(identity, it, VerdictKind::Dead, basis, now);
    else if (it.AnnouncementsLeft-- > 0)
      Decisions.push_back({{identity, it.StartTimeMs, *it.Verdict, {}},
                           it.Since,
                           {},
                           it.Basis});
  }
  absl::erase_if(Cases, [&](const auto &entry) {
    const auto &it = entry.second;
    if (it.Verdict)
      return now - (it.Verdict == VerdictKind::Dead ? it.Since : it.DecidedAt) >
             Limits.Hold;
    return it.Reports.empty() && now - it.AnsweredAt > Limits.EvidenceWindow;
  });
  auto decisions = std::exchange(Decisions, {});
  for (auto &it : decisions)
    it.Verdict.Age = std::chrono::duration_cast<milliseconds>(now - it.Since);
  return decisions;
}

} // namespace auburnroute::fleet
