#include "Coordination/Health/BackendServerLoad.h"

#include <algorithm>

namespace auburnroute::health {

namespace {

std::uint32_t saturatingSub(std::uint32_t count, std::uint32_t part) {
  return count > part ? count - part : 0;
}

std::uint32_t saturatingAdd(std::uint32_t a, std::uint32_t b) {
  return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

} // namespace

void BackendServerLoad::onPlaced(std::uint32_t requests, std::uint32_t feeds) {
  Peaks[0].Requests = std::max(Peaks[0].Requests, requests);
  Peaks[0].Flows = std::max(Peaks[0].Flows, requests + feeds);
}

void BackendServerLoad::onOtherHostFlowEnded(state::ListenerKind kind) {
  if (kind == state::ListenerKind::Request)
    OtherRequests = saturatingSub(OtherRequests, 1);
  OtherConnections = saturatingSub(OtherConnections, 1);
}

FlowCounts BackendServerLoad::onReport(common::TimePoint now,
                                       const LoadReport &report,
                                       std::uint32_t requests,
                                       std::uint32_t feeds,
                                       FlowCounts beforeCutoff) {
  const auto work = saturatingAdd(report.Busy, report.Queued);
  OtherRequests =
      saturatingSub(work, std::max(Peaks[0].Requests, Peaks[1].Requests));
  OtherConnections = saturatingSub(report.Connections,
                                   std::max(Peaks[0].Flows, Peaks[1].Flows));
  constexpr double Decay = 15.0 / 16;
  InTransitSum = InTransitSum * Decay + (static_cast<double>(requests) - work);
  RequestSum = RequestSum * Decay + requests;
  Peaks = {Peak{requests, requests + feeds}, Peaks[0]};
  PreviousReportTime = LastReportTime;
  LastReportTime = now;
  LastReport = report;
  HasReport = true;

  // Requests from before the cutoff that the server does not process, and
  // feeds that exceed its connections even if all of them were feeds.
  ExcessRecords[NextExcessIndex++ % ReportsToExpire] = {
      saturatingSub(beforeCutoff.Requests, work),
      saturatingSub(beforeCutoff.Feeds, report.Connections)};
  FlowCounts expire = ExcessRecords[0];
  for (const auto &excess : ExcessRecords) {
    expire.Requests = std::min(expire.Requests, excess.Requests);
    expire.Feeds = std::min(expire.Feeds, excess.Feeds);
  }
  if (expire.Requests + expire.Feeds > 0)
    ExcessRecords = {};
  return expire;
}

bool BackendServerLoad::showsRestart(const LoadReport &report,
                                     std::uint32_t failures,
                                     FlowCounts beforeCutoff) const {
  if (!HasReport || LastReport.Connections == 0 || report.Connections > 0)
    return false;
  return failures > 0 ||
         beforeCutoff.Requests + beforeCutoff.Feeds >= MinLostFlowsForRestart;
}

bool BackendServerLoad::hasFreshReport(common::TimePoint now,
                                       std::chrono::milliseconds ttl) const {
  return HasReport && now - LastReportTime <= ttl;
}

std::uint32_t BackendServerLoad::slots(common::TimePoint now,
                                       std::uint32_t configured,
                                       std::chrono::milliseconds ttl) const {
  if (!hasFreshReport(now, ttl) || LastReport.Slots == 0)
    return configured;
  return std::min(configured, LastReport.Slots);
}

double BackendServerLoad::inTransitShare() const {
  return RequestSum > 0 ? std::clamp(InTransitSum / RequestSum, 0.0, 1.0) : 0;
}

bool BackendServerLoad::confirms(std::uint32_t requests) const {
  return HasReport &&
         saturatingAdd(LastReport.Busy, LastReport.Queued) >= requests;
}

} // namespace auburnroute::health
