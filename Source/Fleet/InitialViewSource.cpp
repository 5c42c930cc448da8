#include "Fleet/InitialViewSource.h"

namespace auburnroute::fleet {

using common::TimePoint;
using std::chrono::milliseconds;

InitialViewTiming InitialViewTiming::forBound(milliseconds bound) {
  InitialViewTiming timing;
  timing.MaxPeerViewAge = bound / 2;
  return timing;
}

void InitialViewSource::start(Mode mode, TimePoint now) {
  StartedAt = now;
  StartMode = mode;
}

void InitialViewSource::onFetchFailed() {
  IsFetching = false;
  HasFetchFailed = true;
}

bool InitialViewSource::onPeerView(milliseconds age, TimePoint now) {
  const bool isLastResort =
      HasRegistryFailed || now - StartedAt >= Timing.RegistryTimeout;
  if (age > Timing.MaxPeerViewAge && !isLastResort)
    return false;
  IsFetching = true;
  return true;
}

bool InitialViewSource::shouldAskRegistry(TimePoint now) const {
  switch (StartMode) {
  case Mode::WithoutPeers:
  case Mode::FirstAsSeed:
    return true;
  case Mode::First:
    return now - StartedAt >= Timing.FirstStartTimeout;
  case Mode::Restart:
    break;
  }
  return HasFetchFailed ||
         now - StartedAt >=
             (IsFetching ? Timing.FetchTimeout : Timing.PeerAnswerTimeout);
}

} // namespace auburnroute::fleet
