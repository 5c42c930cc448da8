#include "Emulator/EmulatedFleet.h"

#include <algorithm>
#include <utility>

namespace auburnroute::emulator {

using std::chrono::milliseconds;

namespace {

/// As the daemon measures on its slowest hosts.
constexpr milliseconds StartTime{20};
/// Routers probe twice a second and give a host up after two misses.
constexpr milliseconds ProbeInterval{500};
constexpr milliseconds TickInterval{250};

} // namespace

EmulatedFleet::EmulatedFleet(const Deployment &deployment,
                             const Candidate &candidate, EventQueue &queue,
                             std::uint64_t seed)
    : Plan(deployment), Variant(candidate), Queue(queue), Random(seed) {
  for (std::size_t zone = 0; zone < Plan.Zones.size(); ++zone)
    for (std::uint32_t n = 0; n < Plan.Zones[zone].Hosts; ++n) {
      auto &place = Places.emplace_back();
      place.Zone = zone;
    }
}

std::chrono::nanoseconds EmulatedFleet::jitter(milliseconds most) {
  return std::chrono::nanoseconds(std::uniform_int_distribution<std::int64_t>(
      0, std::chrono::nanoseconds(most).count())(Random));
}

void EmulatedFleet::start(routing::RoutingConfiguration configuration) {
  Configuration = std::move(configuration);
  for (std::size_t n = 0; n < Places.size(); ++n)
    startHost(n);
  Started = true;
  refreshRotation();
  tick();
}

void EmulatedFleet::startHost(std::size_t n) {
  auto &place = Places[n];
  ++place.Start;
  place.Host = std::make_unique<EmulatedHost>(
      Variant, Plan.Zones[place.Zone].Name, Random());
  place.Host->configure(Configuration);
  for (const auto &[name, server] : Registry)
    place.Host->apply(server, Queue.now());
  place.Host->setComplete(Queue.now());
}

void EmulatedFleet::tick() {
  for (auto &it : Places)
    if (it.Host) {
      it.Host->onTick(Queue.now());
      it.Host->setComplete(Queue.now() - Plan.ChangeTime);
    }
  Queue.after(TickInterval, [this] { tick(); });
}

void EmulatedFleet::spread(const std::function<void(EmulatedHost &)> &news) {
  if (!Started)
    return;
  for (std::size_t n = 0; n < Places.size(); ++n)
    Queue.after(jitter(Plan.ChangeTime),
                [this, n, start = Places[n].Start, news] {
                  if (Places[n].Host && Places[n].Start == start)
                    news(*Places[n].Host);
                });
}

void EmulatedFleet::publish(routing::ServerRegistration server) {
  server.Revision = ++Revision;
  Registry[server.Name] = server;
  spread(
      [this, server](EmulatedHost &host) { host.apply(server, Queue.now()); });
}

void EmulatedFleet::withdraw(const std::string &server) {
  if (Registry.erase(server) == 0)
    return;
  spread([this, server, revision = ++Revision](EmulatedHost &host) {
    host.remove(server, revision, Queue.now());
  });
}

void EmulatedFleet::refreshRotation() {
  Rotation.assign(Plan.Zones.size(), {});
  AllInRotation.clear();
  for (std::size_t n = 0; n < Places.size(); ++n)
    if (Places[n].InRotation) {
      Rotation[Places[n].Zone].push_back(n);
      AllInRotation.push_back(n);
    }
}

EmulatedFleet::RoutedTo EmulatedFleet::route(std::size_t zone,
                                             std::uint64_t hash) {
  const auto &own = Rotation[zone];
  const auto &from = own.empty() ? AllInRotation : own;
  if (from.empty())
    return {};
  const auto &place = Places[from[hash % from.size()]];
  return {place.Host.get(), place.Zone};
}

void EmulatedFleet::kill(double share, milliseconds time) {
  std::vector<std::size_t> chosen(Places.size());
  for (std::size_t n = 0; n < chosen.size(); ++n)
    chosen[n] = n;
  std::ranges::shuffle(chosen, Random);
  chosen.resize(static_cast<std::size_t>(
      std::max(1.0, share * static_cast<double>(chosen.size()) + 0.5)));
  for (const auto n : chosen) {
    Places[n].Host.reset();
    // Two probes have to fail before the routers give it up, one to succeed
    // before they use it again.
    Queue.after(ProbeInterval + jitter(ProbeInterval), [this, n] {
      Places[n].InRotation = Places[n].Host != nullptr;
      refreshRotation();
    });
    Queue.after(time + StartTime, [this, n] {
      startHost(n);
      Queue.after(jitter(ProbeInterval), [this, n] {
        Places[n].InRotation = true;
        refreshRotation();
      });
    });
  }
}

} // namespace auburnroute::emulator
