#include "Coordination/Health/BackendServerLoad.h"

#include <algorithm>

namespace auburnroute::health {

namespace {

std::uint32_t beyond(std::uint32_t count, std::uint32_t part) {
  return count > part ? count - part : 0;
}

std::uint32_t sum(std::uint32_t a, std::uint32_t b) {
  return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

} // namespace

void BackendServerLoad::onPlaced(std::uint32_t requests, std::uint32_t feeds) {
  Peaks[0].Requests = std::max(Peaks[0].Requests, requests);
  Peaks[0].Flows = std::max(Peaks[0].Flows, requests + feeds);
}

void BackendServerLoad::onOtherFinished(state::ListenerKind kind) {
  if (kind == state::ListenerKind::Request)
    OtherRequests = beyond(OtherRequests, 1);
  OtherConnections = beyond(OtherConnections, 1);
}

OldFlows BackendServerLoad::onReport(common::TimePoint now,
                                     const LoadReport &report,
                                     std::uint32_t requests,
                                     std::uint32_t feeds, OldFlows old) {
  const auto work = sum(report.Busy, report.Queued);
  OtherRequests = beyond(work, std::max(Peaks[0].Requests, Peaks[1].Requests));
  OtherConnections =
      beyond(report.Connections, std::max(Peaks[0].Flows, Peaks[1].Flows));
  constexpr double Decay = 15.0 / 16;
  TransitSum = TransitSum * Decay + (static_cast<double>(requests) - work);
  RequestSum = RequestSum * Decay + requests;
  Peaks = {Peak{requests, requests + feeds}, Peaks[0]};
  PreviousReport = LastReport;
  LastReport = now;
  Last = report;
  HasReport = true;

  // Old requests that the server does not work on, and old feeds that even a
  // server without any request has no connection for.
  Excess[NextExcess++ % ReportsToExpire] = {
      beyond(old.Requests, work), beyond(old.Feeds, report.Connections)};
  OldFlows expire = Excess[0];
  for (const auto &it : Excess) {
    expire.Requests = std::min(expire.Requests, it.Requests);
    expire.Feeds = std::min(expire.Feeds, it.Feeds);
  }
  if (expire.Requests + expire.Feeds > 0)
    Excess = {};
  return expire;
}

bool BackendServerLoad::showsRestart(const LoadReport &report,
                                     std::uint32_t failures,
                                     OldFlows old) const {
  if (!HasReport || Last.Connections == 0 || report.Connections > 0)
    return false;
  return failures > 0 || old.Requests + old.Feeds >= RestartEvidence;
}

bool BackendServerLoad::fresh(common::TimePoint now,
                              std::chrono::milliseconds ttl) const {
  return HasReport && now - LastReport <= ttl;
}

std::uint32_t BackendServerLoad::slots(common::TimePoint now,
                                       std::uint32_t configured,
                                       std::chrono::milliseconds ttl) const {
  if (!fresh(now, ttl) || Last.Slots == 0)
    return configured;
  return std::min(configured, Last.Slots);
}

double BackendServerLoad::inTransit() const {
  return RequestSum > 0 ? std::clamp(TransitSum / RequestSum, 0.0, 1.0) : 0;
}

bool BackendServerLoad::confirms(std::uint32_t requests) const {
  return HasReport && sum(Last.Busy, Last.Queued) >= requests;
}

} // namespace auburnroute::health
