#include "UnitTests/Routing/HardLoadModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <tuple>

namespace auburnroute::unittests {

using namespace std::chrono_literals;

namespace {

constexpr double LateValue = 0.3;
/// Time after which a caller tries again.
constexpr HardLoadModel::Seconds RetryDelay{0.05};
constexpr HardLoadModel::Seconds MeanFlowLife{30};

std::string zoneName(unsigned zone) { return "z" + std::to_string(zone); }

} // namespace

HardLoadModel::HardLoadModel(Parameters parameters)
    : Params(std::move(parameters)), CutOff(Params.Zones.size()),
      Random(Params.Seed), Area(Params.Zones.size()),
      Outstanding(Params.Zones.size()), Sent(Params.Zones.size()) {
  const auto zones = static_cast<unsigned>(Params.Zones.size());
  Route.Name = "pages";
  Route.Objective =
      std::chrono::duration_cast<std::chrono::milliseconds>(Params.Objective);
  Service = Directory.serviceNames().idOf("pages");
  for (unsigned i = 0; i < zones; ++i) {
    Directory.zoneNames().idOf(zoneName(i));
    for (unsigned k = 0; k < Params.Zones[i].Servers; ++k) {
      routing::ServerRegistration server;
      server.Name = "s" + std::to_string(Servers.size());
      server.Identity = Servers.size() + 1;
      server.Service = "pages";
      server.Zone = zoneName(i);
      server.Slots = Slots;
      server.Address = {static_cast<std::uint32_t>(Servers.size() + 1), 80};
      server.Revision = ++Revision;
      Directory.apply(server, now());
      Servers.push_back({.Zone = i, .Running = 0, .Queue = {}});
    }
  }
  for (unsigned i = 0; i < zones; ++i) {
    auto zone = std::make_unique<HostZone>();
    zone->Usable = std::make_unique<routing::UsableZones>(
        Directory, zone->Health, &Evacuations, i);
    for (unsigned k = 0; k < Params.Zones[i].Hosts; ++k)
      zone->Hosts.push_back(
          {std::make_unique<routing::ZoneBalancer>(*zone->Usable, zone->Loads,
                                                   Delays, 5ms, Random()),
           std::make_unique<routing::OverloadControl>(*zone->Usable,
                                                      zone->Loads, Random())});
    const double rate =
        Params.Zones[i].Servers * Slots / Params.ServiceTime.count();
    zone->LongCallers.resize(std::max(
        1U, static_cast<unsigned>(Params.Zones[i].Load * rate *
                                  Params.LongShare / RequestsPerLongFlow)));
    Zones.push_back(std::move(zone));
    arrive(i);
  }
  Current.Placed.resize(zones);
  Current.Wait.resize(zones);
  Current.Started.resize(zones);
  after(1s, [this] { sample(); });
}

double HardLoadModel::capacity() const {
  return static_cast<double>(Servers.size()) * Slots /
         Params.ServiceTime.count();
}

void HardLoadModel::run(Seconds duration) {
  const auto end = Now + duration;
  while (!Events.empty() && Events.top().At <= end) {
    auto event = Events.top();
    Events.pop();
    Now = event.At;
    event.Run();
  }
  Now = end;
}

void HardLoadModel::evacuate(unsigned zone, bool active) {
  Evacuations.apply({.Zone = zoneName(zone),
                     .IsActive = active,
                     .Era = 0,
                     .Revision = ++Revision});
}

void HardLoadModel::arrive(unsigned zone) {
  const auto &it = Params.Zones[zone];
  const double phase = Now / Params.SwingPeriod +
                       zone / static_cast<double>(Params.Zones.size());
  const double rate =
      it.Servers * Slots / Params.ServiceTime.count() * it.Load *
      (1 + Params.Swing * std::sin(2 * std::numbers::pi * phase));
  after(randomTime(Seconds(1 / std::max(rate, 0.1))), [this, zone] {
    Request request{.Zone = zone, .StartedAt = Now};
    if (random() < Params.LongShare)
      request.LongCaller = static_cast<int>(
          random(static_cast<double>(Zones[zone]->LongCallers.size())));
    attempt(request);
    arrive(zone);
  });
}

void HardLoadModel::attempt(Request request) {
  ++request.Tries;
  auto &zone = *Zones[request.Zone];
  if (request.LongCaller >= 0) {
    const auto &caller = zone.LongCallers[request.LongCaller];
    if (request.Tries == 1 && caller.Server >= 0 && Now < caller.FlowEnd) {
      send(request, caller.Server);
      return;
    }
  }
  auto &host = zone.Hosts[Random() % zone.Hosts.size()];
  const auto address =
      request.LongCaller >= 0
          ? static_cast<std::uint32_t>(request.LongCaller)
          : static_cast<std::uint32_t>(Random() % Callers) + 0x10000;
  if (Params.HasAdmission &&
      !host.Admission->admits({{address, 1}, Route.Address}, Route, Service,
                              now())) {
    ++Current.Refused;
    retry(request);
    return;
  }
  const auto server = place(request, host);
  if (!server) {
    retry(request);
    return;
  }
  ++Current.Placed[Servers[*server].Zone];
  if (request.LongCaller >= 0)
    open(zone.LongCallers[request.LongCaller], *server);
  send(request, *server);
}

void HardLoadModel::open(LongCaller &caller, unsigned server) {
  if (caller.Server >= 0)
    --Servers[caller.Server].OpenFlows;
  ++Servers[server].OpenFlows;
  caller = {static_cast<int>(server), Now + randomTime(MeanFlowLife)};
}

std::optional<unsigned> HardLoadModel::place(const Request &request,
                                             Host &host) {
  auto zone = request.Zone;
  if (Params.HasBalancer)
    zone = host.Balancer->zoneFor(Service, now()).value_or(zone);
  if (Evacuations.isEvacuated(zoneName(zone)))
    return std::nullopt;
  unsigned first = 0;
  for (unsigned i = 0; i < zone; ++i)
    first += Params.Zones[i].Servers;
  const auto n = Params.Zones[zone].Servers;
  const auto a = first + static_cast<unsigned>(Random() % n);
  const auto b = first + static_cast<unsigned>(Random() % n);
  return Servers[a].load() <= Servers[b].load() ? a : b;
}

void HardLoadModel::retry(Request request) {
  if (request.Tries < MaxTries)
    after(RetryDelay, [this, request] { attempt(request); });
  else
    ++Current.Lost;
}

void HardLoadModel::addArea() {
  for (std::size_t i = 0; i < Area.size(); ++i)
    Area[i] += Outstanding[i] * (Now - AreaAt).count();
  AreaAt = Now;
}

void HardLoadModel::send(Request request, unsigned id) {
  auto &server = Servers[id];
  ++Sent[server.Zone];
  if (server.outstanding() >= Slots + QueuePlaces) {
    ++Current.Rejected;
    retry(request);
    return;
  }
  addArea();
  ++Outstanding[server.Zone];
  request.QueuedAt = Now;
  if (server.Running < Slots)
    start(id, request);
  else
    server.Queue.push_back(request);
}

void HardLoadModel::start(unsigned id, const Request &request) {
  auto &server = Servers[id];
  ++server.Running;
  Current.Wait[server.Zone] += (Now - request.QueuedAt).count();
  ++Current.Started[server.Zone];
  after(Params.ServiceTime * (0.5 + random()),
        [this, id, request] { finish(id, request); });
}

void HardLoadModel::finish(unsigned id, const Request &request) {
  addArea();
  auto &server = Servers[id];
  --Outstanding[server.Zone];
  --server.Running;
  const auto time = Now - request.StartedAt;
  if (time <= Params.Objective) {
    ++Current.InTime;
    Current.Value += 1;
  } else if (time <= Params.Timeout) {
    ++Current.Late;
    Current.Value += LateValue;
  }
  if (server.Queue.empty())
    return;
  const auto next = server.Queue.front();
  server.Queue.pop_front();
  start(id, next);
}

void HardLoadModel::sample() {
  addArea();
  const auto zones = Zones.size();
  std::vector<routing::ZoneLoad> loads(zones);
  for (std::size_t i = 0; i < zones; ++i) {
    loads[i] = {Area[i], static_cast<double>(Params.Zones[i].Servers) * Slots,
                static_cast<double>(Sent[i])};
    Area[i] = 0;
    Sent[i] = 0;
  }
  after(Params.LoadDelay, [this, zones, loads] {
    for (std::size_t i = 0; i < zones; ++i) {
      Zones[i]->Loads.Loads.assign(zones, std::nullopt);
      for (std::size_t k = 0; k < zones; ++k)
        if (i == k || (!CutOff[i] && !CutOff[k]))
          Zones[i]->Loads.Loads[k] = loads[k];
        else
          for (routing::ServerId id = 0; id < Servers.size(); ++id)
            if (Servers[id].Zone == k)
              Zones[i]->Health.onReport(id, now(), now());
    }
  });
  for (auto &zone : Zones) {
    double sum = 0;
    for (auto &host : zone->Hosts)
      for (const auto &it : host.Balancer->states(now()))
        sum += it.LeavingShare;
    Current.LeavingShare.push_back(sum /
                                   static_cast<double>(zone->Hosts.size()));
  }
  History.push_back(
      std::exchange(Current, {.Placed = std::vector<unsigned>(zones),
                              .Wait = std::vector<double>(zones),
                              .Started = std::vector<unsigned>(zones)}));
  after(1s, [this] { sample(); });
}

HardLoadModel::Seconds HardLoadModel::meanWait(unsigned zone,
                                               unsigned n) const {
  double wait = 0;
  unsigned started = 0;
  for (auto i = History.size() - n; i < History.size(); ++i) {
    wait += History[i].Wait[zone];
    started += History[i].Started[zone];
  }
  return Seconds(started == 0 ? 0 : wait / started);
}

double HardLoadModel::meanShare(unsigned zone, unsigned n) const {
  double sum = 0;
  for (auto i = History.size() - n; i < History.size(); ++i)
    sum += History[i].LeavingShare[zone];
  return sum / n;
}

double HardLoadModel::shareRange(unsigned zone, unsigned n) const {
  double low = 1;
  double high = 0;
  for (auto i = History.size() - n; i < History.size(); ++i) {
    low = std::min(low, History[i].LeavingShare[zone]);
    high = std::max(high, History[i].LeavingShare[zone]);
  }
  return high - low;
}

} // namespace auburnroute::unittests
