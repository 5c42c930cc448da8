#include "Coordination/AdmissionController.h"

namespace auburnroute::coordination {

using state::Cause;

AdmissionController::AdmissionController(std::string zone)
    : Zone(std::move(zone)) {}

void AdmissionController::onSettings(
    common::TimePoint, std::shared_ptr<const state::Settings> settings,
    std::shared_ptr<const state::ServiceTable> table) {
  InForce = std::move(settings);
  Table = std::move(table);
  Flows.clear();
  OpenFlows.assign(Table->backendServers().size(), 0);
}

AdmissionDecision AdmissionController::onSyn(common::TimePoint now,
                                             const FlowKey &key) {
  const auto *listener = Table ? Table->findListener(key.Service) : nullptr;
  if (listener == nullptr)
    return RefuseFlow{0, Cause::UnknownAddress};
  if (const auto it = Flows.find(key); it != Flows.end())
    return Place{it->second.Service, it->second.Number};
  const state::BackendServerEntry *best = nullptr;
  for (const auto &it : Table->backendServersOf(listener->Service)) {
    if (it.Mode == state::BackendServerMode::Draining)
      continue;
    if (best == nullptr || OpenFlows[it.Id] < OpenFlows[best->Id])
      best = &it;
  }
  if (best == nullptr)
    return RefuseFlow{listener->Service, Cause::NoBackendServer};
  ++OpenFlows[best->Id];
  Flows[key] = {best->Id, best->Number, listener->Service, now};
  return Place{listener->Service, best->Number};
}

void AdmissionController::onFinish(common::TimePoint, const FlowKey &key) {
  const auto it = Flows.find(key);
  if (it == Flows.end())
    return;
  --OpenFlows[it->second.BackendServer];
  Flows.erase(it);
}

void AdmissionController::onLoadReport(common::TimePoint, std::uint32_t,
                                       const LoadReport &) {}

void AdmissionController::onReportFailure(common::TimePoint, std::uint32_t) {}

std::vector<ReleasedFlow> AdmissionController::poll(common::TimePoint) {
  return {};
}

} // namespace auburnroute::coordination
