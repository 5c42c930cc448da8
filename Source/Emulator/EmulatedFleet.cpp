#include "Emulator/EmulatedFleet.h"

#include <algorithm>
#include <utility>

namespace auburnroute::emulator {

using std::chrono::milliseconds;

namespace {

/// Start time that the daemon measures on its slowest hosts.
constexpr milliseconds HostStartTime{20};
/// Routers probe hosts twice a second and stop using a host after two failed
/// probes.
constexpr milliseconds ProbeInterval{500};
constexpr milliseconds TickInterval{250};

} // namespace

EmulatedFleet::EmulatedFleet(const Deployment &deployment,
                             const Candidate &candidate, EventQueue &queue,
                             std::uint64_t seed)
    : Config(deployment), CandidateConfig(candidate), Queue(queue),
      Random(seed) {
  for (std::size_t zone = 0; zone < Config.Zones.size(); ++zone)
    for (std::uint32_t n = 0; n < Config.Zones[zone].Hosts; ++n) {
      auto &entry = HostEntries.emplace_back();
      entry.Zone = zone;
    }
}

std::chrono::nanoseconds EmulatedFleet::randomDelay(milliseconds max) {
  return std::chrono::nanoseconds(std::uniform_int_distribution<std::int64_t>(
      0, std::chrono::nanoseconds(max).count())(Random));
}

void EmulatedFleet::start(routing::RoutingConfiguration configuration) {
  Configuration = std::move(configuration);
  for (std::size_t n = 0; n < HostEntries.size(); ++n)
    startHost(n);
  HasStarted = true;
  updateRotation();
  tick();
  if (CandidateConfig.ShareInterval.count() > 0)
    exchangeLoads();
}

void EmulatedFleet::exchangeLoads() {
  LoadByServer totals;
  for (const auto &host : ReportedLoads)
    for (const auto &[server, load] : host) {
      totals[server].Outstanding += load.Outstanding;
      totals[server].OpenFlows += load.OpenFlows;
    }
  ReportedLoads.resize(HostEntries.size());
  for (std::size_t n = 0; n < HostEntries.size(); ++n) {
    auto &host = HostEntries[n].Host;
    if (host)
      host->setTotals(totals, ReportedLoads[n]);
    ReportedLoads[n] = host ? host->ownLoads(Queue.now()) : LoadByServer();
  }
  Queue.scheduleAfter(CandidateConfig.ShareInterval,
                      [this] { exchangeLoads(); });
}

void EmulatedFleet::startHost(std::size_t n) {
  auto &entry = HostEntries[n];
  ++entry.Incarnation;
  entry.Host = std::make_unique<EmulatedHost>(
      CandidateConfig, Config.Zones[entry.Zone].Name, Random());
  entry.Host->configure(Configuration);
  for (const auto &[name, server] : Registry)
    entry.Host->apply(server, Queue.now());
}

void EmulatedFleet::tick() {
  for (auto &it : HostEntries)
    if (it.Host)
      it.Host->onTick(Queue.now());
  Queue.scheduleAfter(TickInterval, [this] { tick(); });
}

void EmulatedFleet::propagate(
    const std::function<void(EmulatedHost &)> &change) {
  if (!HasStarted)
    return;
  for (std::size_t n = 0; n < HostEntries.size(); ++n)
    Queue.scheduleAfter(
        randomDelay(Config.PropagationTime),
        [this, n, incarnation = HostEntries[n].Incarnation, change] {
          if (HostEntries[n].Host && HostEntries[n].Incarnation == incarnation)
            change(*HostEntries[n].Host);
        });
}

void EmulatedFleet::publish(routing::ServerRegistration server) {
  server.Revision = ++Revision;
  Registry[server.Name] = server;
  propagate(
      [this, server](EmulatedHost &host) { host.apply(server, Queue.now()); });
}

void EmulatedFleet::withdraw(const std::string &server) {
  if (Registry.erase(server) == 0)
    return;
  propagate([this, server, revision = ++Revision](EmulatedHost &host) {
    host.remove(server, revision, Queue.now());
  });
}

void EmulatedFleet::updateRotation() {
  Rotation.assign(Config.Zones.size(), {});
  AllInRotation.clear();
  for (std::size_t n = 0; n < HostEntries.size(); ++n)
    if (HostEntries[n].InRotation) {
      Rotation[HostEntries[n].Zone].push_back(n);
      AllInRotation.push_back(n);
    }
}

EmulatedFleet::RouteTarget EmulatedFleet::route(std::size_t zone,
                                                std::uint64_t hash) {
  const auto &own = Rotation[zone];
  const auto &from = own.empty() ? AllInRotation : own;
  if (from.empty())
    return {};
  const auto &entry = HostEntries[from[hash % from.size()]];
  return {entry.Host.get(), entry.Zone};
}

void EmulatedFleet::killHosts(double share, milliseconds time) {
  std::vector<std::size_t> victims(HostEntries.size());
  for (std::size_t n = 0; n < victims.size(); ++n)
    victims[n] = n;
  std::ranges::shuffle(victims, Random);
  victims.resize(static_cast<std::size_t>(
      std::max(1.0, share * static_cast<double>(victims.size()) + 0.5)));
  for (const auto n : victims) {
    HostEntries[n].Host.reset();
    // Routers remove a host after two failed probes and add it again after one
    // successful probe.
    Queue.scheduleAfter(ProbeInterval + randomDelay(ProbeInterval), [this, n] {
      HostEntries[n].InRotation = HostEntries[n].Host != nullptr;
      updateRotation();
    });
    Queue.scheduleAfter(time + HostStartTime, [this, n] {
      startHost(n);
      Queue.scheduleAfter(randomDelay(ProbeInterval), [this, n] {
        HostEntries[n].InRotation = true;
        updateRotation();
      });
    });
  }
}

} // namespace auburnroute::emulator
