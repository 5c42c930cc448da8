#include "Coordination/Placement/AdmissionController.h"

#include "Common/Invariant.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <utility>

namespace auburnroute::placement {

using state::Cause;
using state::ListenerKind;

namespace {

template <typename T> T lowerMedian(std::vector<T> values) {
  if (values.empty())
    return T{};
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

} // namespace

AdmissionController::AdmissionController(std::string zone)
    : Zone(std::move(zone)) {}

void AdmissionController::onSettings(
    common::TimePoint now, std::shared_ptr<const state::Settings> settings,
    std::shared_ptr<const state::ServiceTable> table) {
  auto held = takeHeld();
  auto before = std::exchange(Servers, {});
  // The previous servers refer to names that the previous settings own.
  const auto settingsBefore =
      std::exchange(CurrentSettings, std::move(settings));
  Table = std::move(table);
  Services.clear();
  const auto zone = CurrentSettings->zoneIndex(Zone);
  for (std::uint32_t i = 0; i < CurrentSettings->Services.size(); ++i) {
    const auto &service = CurrentSettings->Services[i];
    const auto servers = Table->backendServersOf(i);
    auto &added = Services.emplace_back();
    added.Settings = &service;
    if (zone)
      added.Policy = service.PolicyByZone[*zone];
    added.FirstServer = servers.empty() ? 0 : servers.front().Id;
    added.ServerCount = static_cast<std::uint32_t>(servers.size());
  }
  addServers(now, std::move(before));
  requeueHeld(now, held);
}

void AdmissionController::addServers(common::TimePoint now,
                                     std::vector<AdmittedServer> before) {
  using Identity = std::pair<std::string, std::uint32_t>;
  absl::flat_hash_map<Identity, std::uint32_t> oldIds;
  for (std::uint32_t id = 0; id < before.size(); ++id)
    oldIds[{before[id].ServiceName, before[id].Settings->Address}] = id;
  std::vector<std::uint32_t> newIds(before.size(), FlowRecords::RemovedServer);
  const bool isFirstRevision = before.empty();
  for (const auto &entry : Table->backendServers()) {
    const auto &service = CurrentSettings->Services[entry.Service];
    const auto known = oldIds.find(Identity{service.Name, entry.Address});
    auto &added = known == oldIds.end()
                      ? Servers.emplace_back()
                      : Servers.emplace_back(std::move(before[known->second]));
    if (known != oldIds.end())
      newIds[known->second] = entry.Id;
    else if (!isFirstRevision)
      added.Health.beginSlowStart(now);
    added.Service = entry.Service;
    added.ServiceName = service.Name;
    added.Settings = &*std::find_if(
        service.BackendServers.begin(), service.BackendServers.end(),
        [&](const auto &it) { return it.Number == entry.Number; });
    addEvent(now, added.Health.onSettings(entry.Mode), entry.Id);
    // The virtual time of the service restarts at 0, too.
    added.VirtualStart = 0;
  }
  Flows.remap(newIds, Servers.size());
  for (std::uint32_t i = 0; i < Services.size(); ++i)
    updateMedians(i);
}

void AdmissionController::requeueHeld(common::TimePoint now,
                                      const std::vector<HeldSyn> &syns) {
  for (const auto &syn : syns) {
    const auto *listener = Table->findListener(syn.Key.Service);
    if (listener == nullptr) {
      Released.push_back(
          {syn.Key, refuse(now, syn.Key, std::nullopt, Cause::UnknownAddress)});
      continue;
    }
    auto &service = Services[listener->Service];
    if (!service.Queue.push(syn, service.Policy.QueueLimit)) {
      Released.push_back(
          {syn.Key, refuse(now, syn.Key, listener->Service, Cause::QueueFull)});
      continue;
    }
    ++HeldCount;
    ServicesWithHeldSyns.insert(listener->Service);
  }
}

std::vector<HeldSyn> AdmissionController::takeHeld() {
  std::vector<HeldSyn> all;
  for (const auto id : std::exchange(ServicesWithHeldSyns, {})) {
    const auto held = Services[id].Queue.takeAll();
    all.insert(all.end(), held.begin(), held.end());
  }
  HeldCount = 0;
  return all;
}

void AdmissionController::onLeaving(
    common::TimePoint now,
    const absl::flat_hash_set<std::uint32_t> &backendServers) {
  for (std::uint32_t id = 0; id < Servers.size(); ++id)
    addEvent(now, Servers[id].Health.onLeaving(backendServers.contains(id)),
             id);
}

AdmissionDecision AdmissionController::onSyn(common::TimePoint now,
                                             const forwarding::FlowKey &key) {
  if (!Table)
    return refuse(now, key, std::nullopt, Cause::NoSettings);
  const auto *listener = Table->findListener(key.Service);
  if (listener == nullptr) {
    // The flow may have been placed before the listener was removed.
    if (Flows.find(key) != nullptr)
      Flows.remove(key);
    return refuse(now, key, std::nullopt, Cause::UnknownAddress);
  }
  refuseExpired(now, listener->Service);
  if (Services[listener->Service].Queue.contains(key) ||
      hasPendingDecision(key))
    return Hold{};
  if (const auto placed = placementForRepeatedSyn(now, key))
    return *placed;
  return admit(now, key, *listener);
}

bool AdmissionController::hasPendingDecision(
    const forwarding::FlowKey &key) const {
  return std::any_of(Released.begin(), Released.end(),
                     [&](const auto &it) { return it.Key == key; });
}

std::optional<Place>
AdmissionController::placementForRepeatedSyn(common::TimePoint now,
                                             const forwarding::FlowKey &key) {
  auto *flow = Flows.find(key);
  if (flow == nullptr)
    return std::nullopt;
  const auto id = flow->BackendServer;
  const bool isRecent = now - flow->PlacedAt < SynRepeatWindow;
  if (isRecent && !std::exchange(flow->WasSynRepeated, true))
    addEvent(now, Servers[id].Health.onSynUnanswered(now, policyOf(id)), id);
  const auto state = Servers[id].Health.state(now, policyOf(id));
  if (isRecent && state != health::HealthState::Draining &&
      state != health::HealthState::Ejected)
    return Place{Servers[id].Service, Servers[id].Settings->Number};
  // Two servers may now have the SYN. Only one handshake completes. If it is
  // the one with the first server, the caller ignores a reset in answer to this
  // SYN, since its sequence number 0 is outside of the window.
  Flows.remove(key);
  return std::nullopt;
}

AdmissionDecision
AdmissionController::admit(common::TimePoint now,
                           const forwarding::FlowKey &key,
                           const state::ListenerEntry &listener) {
  if (Flows.isFull())
    return refuse(now, key, listener.Service, Cause::ConnectionLimit);
  auto &service = Services[listener.Service];
  const bool isRequest = listener.Kind == ListenerKind::Request;
  if (!isRequest || service.Queue.empty()) {
    const auto choice = choose(now, listener.Service, listener.Kind);
    if (choice.Server)
      return place(now, key, *choice.Server, listener.Kind);
    if (choice.Why != Cause::None)
      return refuse(now, key, listener.Service, choice.Why);
  }
  const HeldSyn syn{key, now + service.Policy.QueueTimeout};
  if (HeldCount >= MaxHeld ||
      !service.Queue.push(syn, service.Policy.QueueLimit))
    return refuse(now, key, listener.Service, Cause::QueueFull);
  ++HeldCount;
  ServicesWithHeldSyns.insert(listener.Service);
  return Hold{};
}

ServerChoice AdmissionController::choose(common::TimePoint now,
                                         std::uint32_t service,
                                         ListenerKind kind) {
  const auto &admitted = Services[service];
  const auto &candidates = Candidates.build(now, service, kind);
  const ServerChooser chooser(admitted.Policy.Zones ==
                                  state::ZoneMode::Failover,
                              admitted.Policy.MaxEjectedShare);
  return kind == ListenerKind::Feed ? chooser.chooseForFeed(candidates)
                                    : chooser.chooseForRequest(candidates);
}

Place AdmissionController::place(common::TimePoint now,
                                 const forwarding::FlowKey &key,
                                 std::uint32_t id, ListenerKind kind) {
  auto &server = Servers[id];
  auto &service = Services[server.Service];
  Flows.add({key, now, id, kind, false});
  server.Load.onPlaced(Flows.count(id, ListenerKind::Request),
                       Flows.count(id, ListenerKind::Feed));
  // Start-time fair queueing: a server that could not be chosen for a while
  // does not catch up on the flows that it missed.
  service.VirtualTime = std::max(service.VirtualTime, server.VirtualStart);
  server.VirtualStart =
      service.VirtualTime + 1.0 / std::max(server.Settings->Weight, 1U);
  return Place{server.Service, server.Settings->Number};
}

RefuseFlow AdmissionController::refuse(common::TimePoint now,
                                       const forwarding::FlowKey &key,
                                       std::optional<std::uint32_t> service,
                                       Cause why) {
  common::invariant(Flows.find(key) == nullptr,
                    "a flow that has a backend server must not be refused");
  Events.add(now, why, service ? Services[*service].Settings->Name : "", "");
  return RefuseFlow{service.value_or(0), why};
}

void AdmissionController::onFinish(common::TimePoint now,
                                   const forwarding::FlowKey &key,
                                   FinishKind kind, std::uint16_t number) {
  const auto *flow = Flows.find(key);
  if (flow == nullptr) {
    onOtherHostFlowEnded(key, number);
    return;
  }
  const auto id = flow->BackendServer;
  const auto duration = now - flow->PlacedAt;
  const bool isRequest = flow->Kind == ListenerKind::Request;
  Flows.remove(key);
  if (kind == FinishKind::SynRefused) {
    addEvent(now, Cause::BackendServerRefused, id);
    addEvent(now, Servers[id].Health.onSynRefused(now, policyOf(id)), id);
  } else if (kind == FinishKind::Reset) {
    addEvent(now, Cause::BackendServerReset, id);
  } else if (kind == FinishKind::Ended && isRequest) {
    Services[Servers[id].Service].MedianDuration.add(duration);
    Servers[id].Health.onServed(
        now, duration, slotsOf(Servers[id], policyOf(id), now), policyOf(id));
  }
}

void AdmissionController::onOtherHostFlowEnded(const forwarding::FlowKey &key,
                                               std::uint16_t number) {
  const auto *listener = Table ? Table->findListener(key.Service) : nullptr;
  if (listener == nullptr)
    return;
  const auto *server = Table->findBackendServer(listener->Service, number);
  if (server != nullptr)
    Servers[server->Id].Load.onOtherHostFlowEnded(listener->Kind);
}

void AdmissionController::onLoadReport(common::TimePoint now, std::uint32_t id,
                                       const health::LoadReport &report) {
  if (id >= Servers.size())
    return;
  auto &server = Servers[id];
  const auto failures = server.Health.reportFailures();
  addEvent(now, server.Health.onReport(now, report, server.ServiceName), id);
  if (server.Health.hasMoved())
    return;
  if (server.Load.showsRestart(report, failures, flowsBeforeCutoff(id)))
    onRestart(now, id);
  const auto expire = server.Load.onReport(
      now, report, Flows.count(id, ListenerKind::Request),
      Flows.count(id, ListenerKind::Feed), flowsBeforeCutoff(id));
  Flows.removeOldest(id, ListenerKind::Request, expire.Requests, now);
  Flows.removeOldest(id, ListenerKind::Feed, expire.Feeds, now);
  updateMedians(server.Service);
}

void AdmissionController::onRestart(common::TimePoint now, std::uint32_t id) {
  auto &server = Servers[id];
  const auto before = server.Load.lastReportTime();
  const auto lost =
      Flows.removeOldest(id, ListenerKind::Request, UINT32_MAX, before) +
      Flows.removeOldest(id, ListenerKind::Feed, UINT32_MAX, before);
  if (lost > 0)
    addEvent(now, Cause::BackendServerDown, id, lost);
  server.Health.beginSlowStart(now);
}

void AdmissionController::onReportFailure(common::TimePoint now,
                                          std::uint32_t id) {
  if (id < Servers.size())
    addEvent(now, Servers[id].Health.onReportFailure(now, policyOf(id)), id);
}

void AdmissionController::updateMedians(std::uint32_t service) {
  auto &admitted = Services[service];
  std::vector<std::uint32_t> otherRequests;
  std::vector<double> inTransitShares;
  for (std::uint32_t n = 0; n < admitted.ServerCount; ++n) {
    const auto &load = Servers[admitted.FirstServer + n].Load;
    otherRequests.push_back(load.otherRequests());
    inTransitShares.push_back(load.inTransitShare());
  }
  admitted.MedianOtherRequests = lowerMedian(std::move(otherRequests));
  admitted.MedianInTransitShare = lowerMedian(std::move(inTransitShares));
}

std::vector<ReleasedFlow> AdmissionController::poll(common::TimePoint now) {
  const auto services = ServicesWithHeldSyns;
  for (const auto service : services) {
    // Expired SYNs first: a host that was paused must not place them.
    refuseExpired(now, service);
    placeHeld(now, service);
  }
  if (now >= NextAgeCheck) {
    NextAgeCheck = now + AgeCheckInterval;
    expireByAge(now);
  }
  return std::exchange(Released, {});
}

void AdmissionController::refuseExpired(common::TimePoint now,
                                        std::uint32_t service) {
  auto &queue = Services[service].Queue;
  for (const auto &key : queue.takeExpired(now)) {
    --HeldCount;
    Released.push_back({key, refuse(now, key, service, Cause::QueueTimeout)});
  }
  if (queue.empty())
    ServicesWithHeldSyns.erase(service);
}

void AdmissionController::placeHeld(common::TimePoint now,
                                    std::uint32_t service) {
  while (!Services[service].Queue.empty() && !Flows.isFull() &&
         placeFirstHeld(now, service)) {
  }
  if (Services[service].Queue.empty())
    ServicesWithHeldSyns.erase(service);
}

bool AdmissionController::placeFirstHeld(common::TimePoint now,
                                         std::uint32_t service) {
  auto &queue = Services[service].Queue;
  const auto syn = queue.front();
  const auto kind = Table->findListener(syn.Key.Service)->Kind;
  const auto choice = choose(now, service, kind);
  if (!choice.Server)
    return false;
  common::invariant(syn.Deadline > now,
                    "a SYN must not be placed after its deadline");
  queue.popFront();
  --HeldCount;
  Released.push_back({syn.Key, place(now, syn.Key, *choice.Server, kind)});
  return true;
}

void AdmissionController::expireByAge(common::TimePoint now) {
  for (std::uint32_t id = 0; id < Servers.size(); ++id) {
    const auto requests = Flows.count(id, ListenerKind::Request);
    const bool isConfirmed =
        Servers[id].Load.hasFreshReport(now, policyOf(id).ReportTtl) &&
        Servers[id].Load.confirms(requests);
    if (!isConfirmed)
      Flows.removeOldest(id, ListenerKind::Request, requests,
                         now - MaxRequestAge);
    Flows.removeOldest(id, ListenerKind::Feed, UINT32_MAX, now - MaxFeedAge);
  }
}

void AdmissionController::addEvent(common::TimePoint now, Cause why,
                                   std::uint32_t id, std::uint64_t count) {
  if (why != Cause::None)
    Events.add(now, why, Servers[id].ServiceName, Servers[id].Settings->Name,
               count);
}

const state::ServicePolicy &
AdmissionController::policyOf(std::uint32_t id) const {
  return Services[Servers[id].Service].Policy;
}

health::FlowCounts
AdmissionController::flowsBeforeCutoff(std::uint32_t id) const {
  const auto before = Servers[id].Load.reportCutoff();
  return {Flows.countBefore(id, ListenerKind::Request, before, UINT32_MAX),
          Flows.countBefore(id, ListenerKind::Feed, before, UINT32_MAX)};
}

health::HealthState
AdmissionController::health(common::TimePoint now,
                            std::uint32_t backendServer) const {
  return Servers[backendServer].Health.state(now, policyOf(backendServer));
}

} // namespace auburnroute::placement
