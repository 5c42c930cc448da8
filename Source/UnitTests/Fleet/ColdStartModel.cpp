#include "UnitTests/Fleet/ColdStartModel.h"

#include <algorithm>

namespace auburnroute::unittests {

using namespace std::chrono_literals;
using common::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Step{50};
// As in edge::PeerExchange and edge::EdgeNode.
constexpr milliseconds RoundInterval{500};
constexpr milliseconds UpdateInterval{250};
constexpr std::size_t FanOut = 3;
constexpr std::size_t HostsPerMessage = 8;
constexpr std::size_t RoundsPerSeed = 8;
/// Longest way of a packet to a server.
constexpr int MaxDelayMs = 100;
/// Longer than each run.
constexpr milliseconds ColdTime{600000};

class NoObserver final : public fleet::ColdStartObserver {
public:
  void onCold(routing::ServerId, std::uint32_t) override {}
  void onWarm(routing::ServerId) override {}
  void onLimited(std::optional<routing::ServerId>) override {}
};

NoObserver Observer;

} // namespace

struct ColdStartModel::Host {
  Host(fleet::PeerInfo self, std::uint64_t seed, fleet::FleetStart start,
       fleet::ColdStartRule rule)
      : Peers(std::move(self), seed),
        Limiter(Peers, start, Routes, Directory, Observer, rule) {}

  bool isRunning(TimePoint now) const { return IsUp && now >= PausedUntil; }
  std::uint32_t address() const { return Peers.self().Address; }

  fleet::PeerTable Peers;
  routing::RouteTable Routes;
  routing::ServerDirectory Directory{std::chrono::seconds(65)};
  fleet::SharedColdStartLimiter Limiter;
  bool IsUp = true;
  bool IsCutOff = false;
  TimePoint PausedUntil;
  TimePoint StopAt = TimePoint::max();
  TimePoint NextRound;
  TimePoint NextUpdate;
  std::size_t Rounds = 0;
};

ColdStartModel::ColdStartModel(const Parameters &parameters)
    : Settings(parameters), Random(parameters.Seed),
      Arrivals(parameters.Servers) {
  for (std::size_t i = 0; i < Settings.Zones * Settings.HostsPerZone; ++i) {
    const auto &host =
        start(NextAddress++, "z" + std::to_string(i % Settings.Zones));
    if (Seeds.size() < 6)
      Seeds.push_back(host.address());
  }
}

ColdStartModel::~ColdStartModel() = default;

ColdStartModel::Host &ColdStartModel::start(std::uint32_t address,
                                            const std::string &zone) {
  Hosts.push_back(
      std::make_unique<Host>(fleet::PeerInfo{address, zone, Random()}, Random(),
                             !Settings.Gossips  ? fleet::FleetStart::Alone
                             : Now == StartedAt ? fleet::FleetStart::First
                                                : fleet::FleetStart::Restart,
                             Settings.Rule));
  auto &host = *Hosts.back();
  host.NextRound = Now + milliseconds(Random() % RoundInterval.count());
  host.NextUpdate = Now + milliseconds(Random() % UpdateInterval.count());
  routing::RoutingConfiguration configuration;
  configuration.Version = 1;
  configuration.ColdStarts.push_back({"s", 10s, Settings.FlowsPerSecond});
  host.Routes.apply(configuration);
  for (std::size_t i = 0; i < Settings.Servers; ++i) {
    routing::ServerRegistration server;
    server.Name = "s-" + std::to_string(i + 1);
    server.Identity = i + 1;
    server.Service = "s";
    server.Zone = "z" + std::to_string(i % Settings.Zones);
    server.Address = {static_cast<std::uint32_t>(0x0b000000 + i), 80};
    server.WarmUpLeft = ColdTime;
    server.StartTimeMs = 1;
    server.Revision = 1;
    host.Directory.apply(server, Now);
  }
  return host;
}

bool ColdStartModel::canReach(const Host &from, const Host &to) const {
  return from.isRunning(Now) && to.isRunning(Now) && !from.IsCutOff &&
         !to.IsCutOff &&
         (!ArePartitioned || from.Peers.self().Zone == to.Peers.self().Zone);
}

void ColdStartModel::send(Host &from, std::uint32_t to,
                          const std::vector<fleet::PeerInfo> &known) {
  const auto it = std::ranges::find_if(
      Hosts, [&](const auto &h) { return h->address() == to && h->IsUp; });
  if (it == Hosts.end() || !canReach(from, **it))
    return;
  (*it)->Peers.applyDirectUpdate(from.Peers.self(), Now);
  for (const auto &peer : known)
    (*it)->Peers.applyRelayedUpdate(peer, Now);
}

void ColdStartModel::gossip(Host &from) {
  from.Peers.advanceHeartbeat(Now);
  auto to = from.Peers.choose(FanOut, Now);
  if (to.empty())
    to = Seeds;
  else if (from.Rounds % RoundsPerSeed == 0)
    to.push_back(Seeds[from.Rounds / RoundsPerSeed % Seeds.size()]);
  ++from.Rounds;
  const auto known = from.Peers.sample(HostsPerMessage, Now);
  for (const auto address : to)
    if (address != from.address())
      send(from, address, known);
}

void ColdStartModel::placeFlows(Host &host) {
  for (routing::ServerId id = 0; id < Settings.Servers; ++id) {
    const auto &server = host.Directory.at(id);
    while (host.Limiter.admits(server, Now)) {
      host.Limiter.onPlaced(server, Now);
      Arrivals[id].push_back(Now + milliseconds(Random() % MaxDelayMs));
    }
  }
}

void ColdStartModel::injectFault() {
  auto &host = anyHost();
  switch (Random() % 8) {
  case 0:
    host.IsUp = false;
    break;
  case 1: // Replaced under another address.
    start(NextAddress++, anyZone());
    break;
  case 2: { // Restarted under its address.
    const auto address = host.address();
    const auto zone = host.Peers.self().Zone;
    std::erase_if(Hosts, [&](const auto &it) { return it.get() == &host; });
    start(address, zone);
    break;
  }
  case 3:
    host.IsCutOff = true;
    break;
  case 4:
    for (auto &it : Hosts)
      it->IsCutOff = false;
    break;
  case 5:
    ArePartitioned = !ArePartitioned;
    break;
  case 6:
    host.PausedUntil = Now + milliseconds(Random() % 8000);
    break;
  default:
    if (host.isRunning(Now)) {
      host.Peers.setLeaving();
      gossip(host);
      host.StopAt = Now + 3s;
    }
  }
}

void ColdStartModel::run(milliseconds time) {
  for (const auto end = Now + time; Now < end; Now += Step) {
    if (Settings.HasFaults && Random() % 20 == 0)
      injectFault();
    std::erase_if(Hosts, [&](const auto &it) {
      return Now >= it->StopAt && Hosts.size() > 1;
    });
    for (std::size_t i = 0; i < Hosts.size(); ++i) {
      auto &host = *Hosts[i];
      if (!host.isRunning(Now))
        continue;
      // Packets that waited while the process was stopped come first.
      placeFlows(host);
      if (Settings.Gossips && Now >= host.NextRound) {
        host.NextRound = Now + RoundInterval;
        gossip(host);
      }
      if (Now >= host.NextUpdate) {
        host.NextUpdate = Now + UpdateInterval;
        host.Limiter.update(Now);
      }
    }
  }
  for (auto &it : Arrivals)
    std::ranges::sort(it);
}

std::size_t ColdStartModel::busiestSecond() const {
  std::size_t most = 0;
  for (const auto &times : Arrivals)
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= 1s)
        ++first;
      most = std::max(most, last - first + 1);
    }
  return most;
}

double ColdStartModel::meanRate(milliseconds from) const {
  double flows = 0;
  for (const auto &times : Arrivals)
    flows += static_cast<double>(std::ranges::count_if(
        times, [&](TimePoint at) { return at - StartedAt >= from; }));
  const std::chrono::duration<double> span = Now - StartedAt - from;
  return flows / span.count() / static_cast<double>(Arrivals.size());
}

milliseconds ColdStartModel::firstFlowAfter() const {
  auto first = TimePoint::max();
  for (const auto &times : Arrivals)
    if (!times.empty())
      first = std::min(first, times.front());
  return std::chrono::duration_cast<milliseconds>(first - StartedAt);
}

} // namespace auburnroute::unittests
