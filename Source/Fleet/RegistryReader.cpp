#include "Fleet/RegistryReader.h"

#include <algorithm>
#include <tuple>

namespace auburnroute::fleet {

using common::TimePoint;
using std::chrono::milliseconds;

RegistryReadTiming RegistryReadTiming::forBound(milliseconds bound) {
  RegistryReadTiming timing;
  timing.TakeoverAge = bound / 2;
  timing.TakeoverStep = bound / 4 / MaxTakeoverSteps;
  timing.WatchWait = bound / 4;
  timing.WatchPause = bound / 8;
  return timing;
}

milliseconds RegistryReadTiming::takeoverAge(std::size_t rank,
                                             bool hearsPeers) const {
  if (!hearsPeers)
    return TakeoverAge;
  if (rank < MaxTakeoverSteps)
    return TakeoverAge + TakeoverStep * static_cast<int>(rank);
  return 2 * TakeoverAge +
         TakeoverStep * static_cast<int>(rank / MaxTakeoverSteps);
}

std::optional<RegistryCall> RegistryReader::nextCall(TimePoint now) {
  if (!IsActive || IsCallPending || now < NextCallAt)
    return std::nullopt;
  RegistryCall call;
  call.Timeout = Timing.AnswerTimeout;
  // Peers may already have supplied a complete view, so no list is needed.
  if (NextStep == Step::List && View.isComplete() && !isListNeeded())
    NextStep = Step::Watch;
  else if (NextStep == Step::Watch && isListNeeded())
    NextStep = Step::List;
  switch (NextStep) {
  case Step::List:
    call.Kind = RegistryCallKind::List;
    ListedNames.clear();
    ListedZones.clear();
    After.clear();
    break;
  case Step::NextPage:
    call.Kind = RegistryCallKind::List;
    call.After = After;
    break;
  case Step::Watch:
    call.Kind = RegistryCallKind::Watch;
    // Peers may have advanced the view beyond this host's last read.
    call.Revision = View.revision();
    call.Wait = Timing.WatchWait;
    call.Timeout += call.Wait;
    break;
  }
  IsCallPending = true;
  CallStartedAt = now;
  CallEra = View.era();
  CallRevision = View.revision();
  return call;
}

bool RegistryReader::isListNeeded() const {
  const std::pair position(View.era(), View.revision());
  return View.isListDue() || View.era() < SeenEra ||
         (LostRevision != 0 && position <= std::pair(LostEra, LostRevision));
}

std::optional<RegistryFailure> RegistryReader::onPage(const RegistryPage &page,
                                                      TimePoint now) {
  onEra(page.Era);
  if (page.Era < std::max(SeenEra, View.era())) {
    onFailure(RegistryFailure::Outdated, now);
    return RegistryFailure::Outdated;
  }
  if (!makesProgress(page)) {
    NextStep = Step::List;
    onFailure(RegistryFailure::Malformed, now);
    return RegistryFailure::Malformed;
  }
  IsCallPending = false;
  Failures = 0;
  NextCallAt = now;
  View.countUnreadable(page.Unreadable);
  if (NextStep == Step::Watch && page.Era != CallEra) {
    // Revisions were given out again, so the changes after the asked one are
    // not all that is new.
    return std::nullopt;
  }
  if (NextStep == Step::Watch) {
    // Without a change the registry answers at the end of the wait, so the view
    // is current as of then. Otherwise the answer may be as old as the call.
    const bool waited = page.Servers.empty() && page.Removed.empty() &&
                        page.Evacuations.empty() && !page.Configuration &&
                        now - CallStartedAt >= Timing.WatchWait;
    View.applyChanges(
        page, waited ? CallStartedAt + Timing.WatchWait : CallStartedAt, now);
    NextCallAt = now + Timing.WatchPause;
    return std::nullopt;
  }
  if (NextStep == Step::List) {
    FirstPage = {page.Revision, CallStartedAt, page.Era};
  } else if (page.Era != FirstPage.Era) {
    // The registry was restored while its list was read.
    NextStep = Step::List;
    return std::nullopt;
  }
  View.applyEntries(page, now);
  // The list is compared with the servers of the view.
  for (const auto &it : page.Servers)
    if (View.contains(it.Name))
      ListedNames.insert(it.Name);
  for (const auto &it : page.Evacuations)
    if (View.evacuations().find(it.Zone, page.Era) != nullptr)
      ListedZones.insert(it.Zone);
  After = page.LastKey;
  NextStep = Step::NextPage;
  if (!page.HasMore)
    finishList(now);
  return std::nullopt;
}

bool RegistryReader::makesProgress(const RegistryPage &page) const {
  return NextStep == Step::Watch || !page.HasMore ||
         (!page.LastKey.empty() && page.LastKey != After);
}

void RegistryReader::finishList(TimePoint now) {
  View.finishList(ListedNames, FirstPage, now, ListedZones);
  ListedNames.clear();
  ListedZones.clear();
  LostRevision = 0;
  NextStep = View.isComplete() ? Step::Watch : Step::List;
  NextCallAt =
      now + (View.isComplete() ? Timing.WatchPause : Timing.InitialBackoff);
}

void RegistryReader::onFailure(RegistryFailure failure, TimePoint now) {
  IsCallPending = false;
  // An answer to the same watch would only grow, while a list has pages.
  const bool isWatchTooLarge =
      failure == RegistryFailure::TooLarge && NextStep == Step::Watch;
  if (failure == RegistryFailure::Compacted || isWatchTooLarge) {
    NextStep = Step::List;
    LostEra = CallEra;
    LostRevision = CallRevision;
    NextCallAt = now;
    return;
  }
  ++Failures;
  const auto doublings = std::min(Failures - 1, 5U);
  NextCallAt = now + std::min(Timing.InitialBackoff * (1U << doublings),
                              Timing.MaxBackoff);
}

void RegistryReader::scheduleNextCallAt(TimePoint now) {
  NextCallAt = std::min(NextCallAt, now);
}

} // namespace auburnroute::fleet
