#include "Fleet/RegistryReader.h"

#include <algorithm>

namespace auburnroute::fleet {

using common::TimePoint;
using std::chrono::milliseconds;

std::optional<RegistryCall> RegistryReader::next(TimePoint now) {
  if (!Active || UnderWay || now < NextAt)
    return std::nullopt;
  RegistryCall call;
  call.Timeout = Pace.AnswerTime;
  switch (Next) {
  case Step::Configuration:
    call.Kind = RegistryCallKind::ReadConfiguration;
    Listed.clear();
    After.clear();
    break;
  case Step::Servers:
    call.Kind = RegistryCallKind::ListServers;
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
  Answered = true;
  NextAt = now;
  View.countUnreadable(page.Unreadable);
  switch (Next) {
  case Step::Configuration:
    BaseRevision = page.Revision;
    BaseAt = CalledAt;
    View.applyEntries(page, now);
    Next = Step::Servers;
    break;
  case Step::Servers:
    for (const auto &it : page.Servers)
      Listed.insert(it.Name);
    View.applyEntries(page, now);
    After = page.LastKey;
    if (!page.HasMore)
      finishList(now);
    break;
  case Step::Watch:
    View.applyChanges(page, CalledAt, now);
    NextAt = now + Pace.WatchPause;
    break;
  }
}

void RegistryReader::finishList(TimePoint now) {
  View.finishList(Listed, BaseRevision, BaseAt, now);
  Listed.clear();
  Next = Step::Watch;
  NextAt = now + Pace.WatchPause;
}

void RegistryReader::onFailure(RegistryFailure failure, TimePoint now) {
  UnderWay = false;
  if (failure == RegistryFailure::Compacted) {
    Next = Step::Configuration;
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
