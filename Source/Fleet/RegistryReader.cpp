#include "Fleet/RegistryReader.h"

#include <algorithm>

namespace auburnroute::fleet {

using common::TimePoint;
using std::chrono::milliseconds;

RegistryPace RegistryPace::forBound(milliseconds bound) {
  RegistryPace pace;
  pace.StandInAge = bound / 2;
  pace.StandInStep = bound / 4 / MaxStandInSteps;
  pace.WatchWait = bound / 4;
  pace.WatchPause = bound / 8;
  return pace;
}

std::optional<RegistryCall> RegistryReader::next(TimePoint now) {
  if (!Active || UnderWay || now < NextAt)
    return std::nullopt;
  RegistryCall call;
  call.Timeout = Pace.AnswerTime;
  // Peers may have brought what a list would.
  if (Next == Step::List && View.isComplete() && !ListNeeded)
    Next = Step::Watch;
  switch (Next) {
  case Step::List:
    call.Kind = RegistryCallKind::List;
    Listed.clear();
    After.clear();
    break;
  case Step::NextPage:
    call.Kind = RegistryCallKind::List;
    call.After = After;
    break;
  case Step::Watch:
    call.Kind = RegistryCallKind::Watch;
    // Peers may have brought the view further than the last own read.
    call.Revision = View.revision();
    call.Wait = Pace.WatchWait;
    call.Timeout += call.Wait;
    break;
  }
  UnderWay = true;
  CalledAt = now;
  return call;
}

void RegistryReader::onPage(const RegistryPage &page, TimePoint now) {
  UnderWay = false;
  Failures = 0;
  NextAt = now;
  View.countUnreadable(page.Unreadable);
  if (Next == Step::Watch) {
    // Without a change the registry answers when the wait is over, so that the
    // answer is as recent as that; otherwise it may have been under way long.
    const bool waited = page.Servers.empty() && page.Removed.empty() &&
                        !page.Configuration && now - CalledAt >= Pace.WatchWait;
    View.applyChanges(page, waited ? CalledAt + Pace.WatchWait : CalledAt, now);
    NextAt = now + Pace.WatchPause;
    return;
  }
  if (Next == Step::List) {
    BaseRevision = page.Revision;
    BaseAt = CalledAt;
  }
  for (const auto &it : page.Servers)
    Listed.insert(it.Name);
  View.applyEntries(page, now);
  After = page.LastKey;
  Next = Step::NextPage;
  if (!page.HasMore)
    finishList(now);
}

void RegistryReader::finishList(TimePoint now) {
  View.finishList(Listed, BaseRevision, BaseAt, now);
  Listed.clear();
  ListNeeded = false;
  Next = View.isComplete() ? Step::Watch : Step::List;
  NextAt = now + (View.isComplete() ? Pace.WatchPause : Pace.FirstBackoff);
}

void RegistryReader::onFailure(RegistryFailure failure, TimePoint now) {
  UnderWay = false;
  if (failure == RegistryFailure::Compacted) {
    Next = Step::List;
    ListNeeded = true;
    NextAt = now;
    return;
  }
  ++Failures;
  const auto doublings = std::min(Failures - 1, 5U);
  NextAt = now +
           std::min(Pace.FirstBackoff * (1U << doublings), Pace.LongestBackoff);
}

void RegistryReader::hurry(TimePoint now) { NextAt = std::min(NextAt, now); }

} // namespace auburnroute::fleet
