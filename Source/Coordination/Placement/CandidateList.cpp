#include "Coordination/Placement/CandidateList.h"

#include <algorithm>

namespace auburnroute::placement {

using state::ListenerKind;

namespace {

// Below this share, only the notification of the end is in transit, and the
// possible wait of an overcommitted request outweighs the idle time saved.
constexpr double MinInTransitShare = 0.03;
// A higher share would mean that the reports omit requests.
constexpr double MaxInTransitShare = 0.5;
// Overcommitted requests for each request in transit. With 1, random variation
// still leaves slots idle; docs/notes/admission.md has measurements for 1, 1.5,
// 2 and 3.
constexpr double OvercommitPerInTransit = 3;

} // namespace

const std::vector<ServerCandidate> &CandidateList::build(common::TimePoint now,
                                                         std::uint32_t service,
                                                         ListenerKind kind) {
  const auto &admitted = Services[service];
  Candidates.clear();
  for (std::uint32_t n = 0; n < admitted.ServerCount; ++n)
    Candidates.push_back(candidate(now, admitted.FirstServer + n));
  if (kind == ListenerKind::Request)
    allowOvercommit(now, admitted);
  return Candidates;
}

ServerCandidate CandidateList::candidate(common::TimePoint now,
                                         std::uint32_t id) const {
  const auto &server = Servers[id];
  const auto &policy = Services[server.Service].Policy;
  const auto requests = Flows.count(id, ListenerKind::Request);
  const auto feeds = Flows.count(id, ListenerKind::Feed);
  const bool isFresh = server.Load.hasFreshReport(now, policy.ReportTtl);
  const auto otherRequests = isFresh ? server.Load.otherRequests() : 0;
  const auto otherConnections = isFresh ? server.Load.otherConnections() : 0;
  ServerCandidate result;
  result.Id = id;
  result.IsLocal = server.Settings->Zone == Zone;
  result.IsExcluded = server.Health.isExcluded();
  result.IsEjected =
      server.Health.state(now, policy) == health::HealthState::Ejected;
  result.IsBackingOff = server.Health.isBackingOff(now);
  // Limit the load by other hosts to the median that the service's servers
  // report: another host that places flows loads all of them, while a wrong
  // report concerns a single one.
  result.Load =
      requests +
      std::min(otherRequests, Services[server.Service].MedianOtherRequests);
  result.Slots =
      server.Health.usableSlots(now, slotsOf(server, policy, now), policy);
  result.Feeds = feeds + otherConnections;
  result.Connections = requests + feeds + otherConnections;
  result.ConnectionLimit = server.Settings->Connections;
  result.Weight = std::max(server.Settings->Weight, 1U);
  result.VirtualStart = server.VirtualStart;
  return result;
}

// Slots limit the requests that a server processes at once. A request in
// transit (during the caller's handshake, or until this host learns of its end)
// occupies none, so counting slots from SYN to FIN would leave servers idle for
// that time. The median share in transit, applied to all slots, gives the
// number of requests that may exceed the slots. A server may get one more for
// each of its requests that is likely to end soon. Behind requests that have
// already run long, the additional request would have to wait.
void CandidateList::allowOvercommit(common::TimePoint now,
                                    const AdmittedService &service) {
  double slots = 0;
  double exceeding = 0;
  for (const auto &it : Candidates) {
    if (it.IsExcluded || it.IsEjected)
      continue;
    slots += it.Slots;
    exceeding += it.Load > it.Slots ? it.Load - it.Slots : 0;
  }
  const double share =
      std::min(service.MedianInTransitShare, MaxInTransitShare);
  const double requestsInTransit = slots * share / (1 - share);
  if (share < MinInTransitShare ||
      exceeding + 1 > OvercommitPerInTransit * requestsInTransit)
    return;
  const auto since = now - service.MedianDuration.value();
  for (auto &it : Candidates)
    if (Servers[it.Id].Health.state(now, service.Policy) ==
        health::HealthState::Healthy)
      it.OvercommitSlots =
          Flows.countSince(it.Id, ListenerKind::Request, since, it.Slots);
}

} // namespace auburnroute::placement
