#include "Emulator/Emulation.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace auburnroute::emulator {

using std::chrono::milliseconds;

namespace {

/// Time from the draining state of a replaced server to its stop.
constexpr milliseconds DrainDuration{3000};
/// Time between two replacements.
constexpr milliseconds ReplacementInterval{1000};
/// A registration lapses after this number of missed heartbeats.
constexpr int MissedHeartbeatsToLapse = 3;
constexpr std::uint64_t IdentityBase = 0x1000000000;
constexpr std::uint16_t ServerPort = 8000;
constexpr std::uint32_t FirstServerAddress = 0x0A000000; // 10.0.0.0, RFC 1918

} // namespace

Emulation::Emulation(const Deployment &deployment, const Candidate &candidate,
                     std::uint64_t seed)
    : Config(deployment), Random(seed), Result(deployment),
      Fleet(deployment, candidate, Queue, seed + 1),
      Callers(deployment, Queue, Result, seed + 2,
              [this](auto zone, auto flow, const auto &packet) {
                sendToHost(zone, flow, packet);
              }) {}

std::chrono::nanoseconds Emulation::toNanoseconds(double ms) const {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Milliseconds(ms));
}

routing::RoutingConfiguration Emulation::configuration() const {
  routing::RoutingConfiguration configuration;
  configuration.Version = 1;
  for (std::size_t n = 0; n < Config.Requests.size(); ++n) {
    const auto &it = Config.Requests[n];
    routing::Route route;
    route.Name = it.Name;
    route.Address = EmulatedCallers::routeAddress(n);
    route.Kind = it.Kind;
    route.Timeout = it.TimeLimit;
    route.Objective = it.Objective;
    route.Services.push_back({it.Service, 1});
    configuration.Routes.push_back(std::move(route));
  }
  return configuration;
}

EmulationResult Emulation::run() {
  for (std::size_t service = 0; service < Config.Services.size(); ++service)
    for (std::uint32_t n = 0; n < Config.Services[service].Servers; ++n)
      addServer(service, n % Config.Zones.size(), false);
  const auto initial = Servers.size();
  Fleet.start(configuration());
  const auto end = Queue.now() + Config.Duration;
  Callers.start(end);
  for (const auto &it : Config.Disruptions)
    Queue.scheduleAfter(it.Offset, [this, &it] { applyDisruption(it); });
  milliseconds longestTimeLimit{0};
  for (const auto &it : Config.Requests)
    longestTimeLimit = std::max(longestTimeLimit, it.TimeLimit);
  Queue.runUntil(end + longestTimeLimit);
  Callers.failPending();
  // Servers that ran for only a part of the run would look underused.
  for (std::size_t n = 0; n < initial; ++n)
    if (Servers[n].Model->isAlive() && !Servers[n].IsDraining)
      Result.addServerFlows(Servers[n].Service,
                            Servers[n].Model->acceptedFlowCount());
  Result.EventCount = Queue.scheduledCount();
  return Result;
}

void Emulation::addServer(std::size_t service, std::size_t zone, bool cold) {
  const auto number = Servers.size();
  const auto &spec = Config.Services[service];
  routing::ServerRegistration it;
  it.Name = absl::StrCat("s-", number);
  it.Identity = IdentityBase + number;
  it.Service = spec.Name;
  it.Address = {FirstServerAddress + static_cast<std::uint32_t>(number),
                ServerPort};
  it.Zone = Config.Zones[zone].Name;
  it.Slots = spec.Slots;
  it.StartTimeMs = 1;
  it.WarmUpLeft = cold ? spec.ColdDuration : milliseconds(0);
  auto model = std::make_unique<EmulatedServer>(
      spec, Queue,
      [this](FlowNumber flow, const ServerReply &reply) {
        Queue.scheduleAfter(
            toNanoseconds(Config.CallerDelayMs),
            [this, flow, reply] { Callers.onReply(flow, reply); });
      },
      cold);
  model->setAcknowledgesAtOnce(Config.AcknowledgesAtOnce);
  Servers.push_back({it, service, zone, std::move(model)});
  ServerByIdentity.emplace(it.Identity, number);
  Fleet.publish(it);
}

void Emulation::sendToHost(std::size_t zone, FlowNumber flow,
                           const routing::FlowPacket &packet) {
  // Routers hash the caller's address and port, so a flow stays on its host as
  // long as the set of hosts does not change.
  const auto hash = packet.Source.key() * 0x9E3779B97F4A7C15ULL >> 16;
  Queue.scheduleAfter(
      toNanoseconds(Config.CallerDelayMs), [this, zone, flow, packet, hash] {
        const auto target = Fleet.route(zone, hash);
        if (target.Host == nullptr)
          return;
        const auto outcome = target.Host->onPacket(packet, Queue.now());
        if (const auto *it = std::get_if<routing::ForwardPacket>(&outcome))
          sendToServer(target, *it, flow, packet);
        else if (std::holds_alternative<routing::ResetFlow>(outcome))
          Queue.scheduleAfter(toNanoseconds(Config.CallerDelayMs),
                              [this, flow] { Callers.onReset(flow); });
      });
}

void Emulation::sendToServer(const EmulatedFleet::RouteTarget &from,
                             const routing::ForwardPacket &forward,
                             FlowNumber flow, routing::FlowPacket packet) {
  const auto found =
      ServerByIdentity.find(from.Host->serverIdentity(forward.Server));
  if (found == ServerByIdentity.end())
    return;
  const auto hostZone = from.Zone;
  const auto number = found->second;
  const auto serverZone = Servers[number].Zone;
  if (IsolatedZone && hostZone != serverZone &&
      (*IsolatedZone == hostZone || *IsolatedZone == serverZone))
    return;
  packet.Echo = forward.Tag;
  Queue.scheduleAfter(
      toNanoseconds(hostZone == serverZone ? Config.InZoneDelayMs
                                           : Config.CrossZoneDelayMs),
      [this, number, flow, packet] {
        Servers[number].Model->onPacket(flow, packet,
                                        Callers.pendingWork(flow));
      });
}

std::vector<std::size_t> Emulation::pickRandomServers(double share) {
  std::vector<std::size_t> chosen;
  for (std::size_t n = 0; n < Servers.size(); ++n)
    if (Servers[n].Model->isAlive() && !Servers[n].IsDraining)
      chosen.push_back(n);
  std::ranges::shuffle(chosen, Random);
  chosen.resize(std::min(
      chosen.size(), static_cast<std::size_t>(std::max(
                         1.0, share * static_cast<double>(chosen.size())))));
  return chosen;
}

void Emulation::applyDisruption(const Disruption &disruption) {
  switch (disruption.Kind) {
  case DisruptionKind::KillHosts:
    Fleet.killHosts(disruption.Share, disruption.Duration);
    break;
  case DisruptionKind::CrashServers:
    for (const auto it : pickRandomServers(disruption.Share))
      crashServer(it, disruption);
    break;
  case DisruptionKind::ReplaceServers: {
    milliseconds wait{0};
    for (const auto it : pickRandomServers(disruption.Share)) {
      Queue.scheduleAfter(wait, [this, it] { replaceServer(it); });
      wait += ReplacementInterval;
    }
    break;
  }
  case DisruptionKind::SlowServers:
    for (const auto it : pickRandomServers(disruption.Share)) {
      Servers[it].Model->setSlowdownFactor(disruption.Factor);
      Queue.scheduleAfter(disruption.Duration, [this, it] {
        Servers[it].Model->setSlowdownFactor(1);
      });
    }
    break;
  case DisruptionKind::CutZone: {
    IsolatedZone = Random() % Config.Zones.size();
    if (const auto it =
            std::ranges::find(Config.Zones, disruption.Zone, &ZoneSpec::Name);
        it != Config.Zones.end())
      IsolatedZone = static_cast<std::size_t>(it - Config.Zones.begin());
    Queue.scheduleAfter(disruption.Duration, [this] { IsolatedZone.reset(); });
    break;
  }
  case DisruptionKind::Burst:
    Callers.setRateFactor(disruption.Factor);
    Queue.scheduleAfter(disruption.Duration,
                        [this] { Callers.setRateFactor(1); });
    break;
  }
}

void Emulation::crashServer(std::size_t server, const Disruption &disruption) {
  Servers[server].Model->stop();
  Queue.scheduleAfter(
      MissedHeartbeatsToLapse * Config.HeartbeatInterval,
      [this, server] { Fleet.withdraw(Servers[server].Registration.Name); });
  Queue.scheduleAfter(disruption.Duration, [this, server] {
    addServer(Servers[server].Service, Servers[server].Zone, true);
  });
}

void Emulation::replaceServer(std::size_t server) {
  if (!Servers[server].Model->isAlive())
    return;
  Servers[server].IsDraining = true;
  addServer(Servers[server].Service, Servers[server].Zone, true);
  auto draining = Servers[server].Registration;
  draining.State = routing::ServerState::Draining;
  Fleet.publish(draining);
  Queue.scheduleAfter(DrainDuration, [this, server] {
    Servers[server].Model->stop();
    Fleet.withdraw(Servers[server].Registration.Name);
  });
}

} // namespace auburnroute::emulator
