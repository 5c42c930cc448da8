// Compares mechanisms that let any host find the backend server of a flow's
// packets, on the same generated traffic in virtual time. Prints one JSON
// object per line. Argument: load of the change scenarios as a fraction of the
// full load, 0.1 by default.

#include "Bench/FullTableCandidate.h"
#include "Bench/TagCandidate.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <string>

using namespace auburnroute;
using namespace auburnroute::bench;

namespace {

constexpr std::size_t HostCount = 8;
constexpr std::size_t FullNewFlows = 3000;    // Per second and host.
constexpr std::size_t FullOpenFlows = 300000; // Per host.
constexpr std::size_t StepsPerSecond = 100;
constexpr std::size_t ChangeStep = 100;
constexpr std::size_t LastStep = 1100;
// Hosts learn of a dead host after suspect_after and of a new host from its
// heartbeat. One step is 10 ms.
constexpr std::size_t SuspectSteps = 100;
constexpr std::size_t HeartbeatSteps = 50;
constexpr std::size_t RevisionSteps = 10; // Usual skew of a revision.
constexpr std::size_t SkewSteps = 200;
constexpr common::Endpoint ServiceAddress{0xC6336401, 7001};

struct ServerSpec {
  std::uint16_t Number;
  std::uint32_t Weight = 1;
  bool Draining = false;
};

RevisionPtr makeRevision(const std::vector<ServerSpec> &servers) {
  state::Settings settings;
  settings.FlowSeed = 7321;
  settings.Zones = {"sando"};
  state::Service service;
  service.Name = "counter";
  service.Listeners = {
      {ServiceAddress, state::ListenerKind::Feed, TagCandidate::BackendPort}};
  for (const auto &it : servers) {
    state::BackendServer server;
    server.Number = it.Number;
    server.Address = TagCandidate::ServerAddress + it.Number;
    server.Weight = it.Weight;
    if (it.Draining)
      server.Mode = state::BackendServerMode::Draining;
    service.BackendServers.push_back(server);
  }
  service.PolicyByZone.resize(1);
  settings.Services.push_back(service);
  auto revision = std::make_shared<Revision>();
  revision->Table =
      std::make_shared<const state::ServiceTable>(settings, "sando");
  for (const auto &it : revision->Table->backendServers())
    if (it.Mode == state::BackendServerMode::Active)
      revision->Active.push_back(it);
  return revision;
}

enum class Change {
  None,
  ServerAdded,
  ServerDrained,
  ServerReweighted,
  HostKilled,
  HostAdded,
  RevisionSkew, ///< As ServerAdded, with up to 2 s of skew between hosts.
  ServerAddedAndHostKilled
};

/// Runs one candidate through one change.
class ScenarioRun {
public:
  ScenarioRun(PlacementCandidate &candidate, double scale)
      : Candidate(candidate), Scale(scale) {
    for (std::uint16_t n = 1; n <= 14; ++n)
      Servers.push_back({n});
    const auto first = makeRevision(Servers);
    for (std::size_t i = 0; i < HostCount; ++i)
      addHost(first);
    for (auto i : AliveHosts)
      Candidate.setMembers(i, AliveHosts);
    // Half of the flows predate an earlier change of the settings.
    const auto open = static_cast<std::size_t>(
        Scale * static_cast<double>(FullOpenFlows * HostCount));
    openInitialFlows(open / 2);
    Servers.push_back({15});
    CurrentRevision = makeRevision(Servers);
    for (auto i : AliveHosts)
      Candidate.setRevision(i, CurrentRevision);
    openInitialFlows(open - open / 2);
    Candidate.ControlBytes = 0;
    Packets = ExtraHops = Stalled = 0;
  }

  void simulate(Change change, std::size_t steps) {
    for (Step = 0; Step < steps; ++Step) {
      if (Step == ChangeStep) {
        CountedFlows = OpenFlows.size();
        applyChange(change);
      }
      const auto [first, last] = ScheduledActions.equal_range(Step);
      for (auto it = first; it != last; ++it)
        it->second();
      const auto arrivals = static_cast<std::size_t>(
          Scale * static_cast<double>(FullNewFlows * HostCount) /
          StepsPerSecond);
      for (std::size_t i = 0; i < arrivals; ++i) {
        startFlow();
        finishFlow();
      }
      Candidate.deliverControlMessages();
      // Each flow sends one packet per second. The first follows the round trip
      // of the SYN|ACK, which takes longer than a control message.
      for (std::size_t i = 0; i < OpenFlows.size() / StepsPerSecond; ++i)
        sendPacket(Random() % OpenFlows.size(), pickHost());
    }
  }

  /// Sends a packet of each flow through each live host. Counts a flow as
  /// broken if a host would forward it to another server.
  void probeAllFlows() {
    for (std::size_t i = OpenFlows.size(); i-- > 0;)
      for (const auto host : AliveHosts) {
        const auto decision = Candidate.onPacket(host, Flows[OpenFlows[i]]);
        if (decision.Server != Flows[OpenFlows[i]].Server) {
          breakFlow(i);
          break;
        }
      }
  }

  double brokenPer100k() const { return per100k(Broken); }
  double stalledPer100k() const { return per100k(Stalled); }
  double secondHopShare() const {
    return static_cast<double>(ExtraHops) / static_cast<double>(Packets);
  }
  std::size_t openFlows() const { return OpenFlows.size(); }

  double peakToMean() const {
    std::map<std::uint16_t, double> load;
    for (const auto &it : Servers)
      load[it.Number] = 0;
    for (const auto it : OpenFlows)
      ++load[Flows[it].Server];
    double peak = 0;
    double sum = 0;
    for (const auto &[number, n] : load) {
      peak = std::max(peak, n);
      sum += n;
    }
    return peak * static_cast<double>(load.size()) / sum;
  }

  /// Returns the wall time in nanoseconds of a decision for a random flow on a
  /// random host, as the median over batches.
  double nanosecondsPerPacket() {
    constexpr std::size_t Batch = 10'000;
    constexpr std::size_t Batches = 201;
    std::vector<std::pair<std::size_t, std::size_t>> picks(Batch);
    std::vector<double> times;
    for (std::size_t i = 0; i < Batches; ++i) {
      for (auto &it : picks)
        it = {OpenFlows[Random() % OpenFlows.size()], pickHost()};
      const auto begin = std::chrono::steady_clock::now();
      for (const auto &[flow, host] : picks)
        Checksum += Candidate.onPacket(host, Flows[flow]).Server;
      const std::chrono::duration<double, std::nano> took =
          std::chrono::steady_clock::now() - begin;
      times.push_back(took.count() / static_cast<double>(Batch));
    }
    std::nth_element(times.begin(), times.begin() + Batches / 2, times.end());
    return times[Batches / 2];
  }

private:
  void addHost(const RevisionPtr &revision) {
    Candidate.addHost(revision);
    AliveHosts.push_back(NextHost);
    RoutedHosts.push_back(NextHost++);
  }

  std::size_t pickHost() { return RoutedHosts[Random() % RoutedHosts.size()]; }
  bool isHostAlive(std::size_t host) const {
    return std::find(AliveHosts.begin(), AliveHosts.end(), host) !=
           AliveHosts.end();
  }

  void openInitialFlows(std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      startFlow();
      if (i % 1000 == 0)
        Candidate.deliverControlMessages();
    }
    Candidate.deliverControlMessages();
  }

  void startFlow() {
    const auto id = static_cast<std::uint32_t>(Flows.size());
    constexpr std::uint32_t Ports = 60000;
    Flow flow;
    flow.Key = {{0xCB007100 + id / Ports,
                 static_cast<std::uint16_t>(1024 + id % Ports)},
                ServiceAddress};
    const auto host = pickHost();
    if (!isHostAlive(host))
      return; // The model counts the repeated SYN as another flow.
    const auto decision = Candidate.onSyn(host, flow);
    countPacket(decision);
    flow.Server = decision.Server;
    if (flow.Server == 0) {
      ++Stalled;
      return;
    }
    bool established = false;
    // The server retransmits its SYN|ACK, through other hosts.
    for (int i = 0; i < 20 && !established; ++i) {
      const auto back = pickHost();
      established = isHostAlive(back) && Candidate.onSynAck(back, flow);
      Stalled += established ? 0 : 1;
    }
    if (!established)
      return;
    OpenFlows.push_back(Flows.size());
    Flows.push_back(flow);
    CountedFlows += Step > ChangeStep ? 1 : 0;
  }

  void finishFlow() {
    const auto i = Random() % OpenFlows.size();
    const auto host = AliveHosts[Random() % AliveHosts.size()];
    countPacket(Candidate.onFinish(host, Flows[OpenFlows[i]]));
    removeFlow(i);
  }

  void removeFlow(std::size_t i) {
    OpenFlows[i] = OpenFlows.back();
    OpenFlows.pop_back();
  }

  void breakFlow(std::size_t i) {
    ++Broken;
    removeFlow(i);
  }

  void sendPacket(std::size_t i, std::size_t host) {
    if (!isHostAlive(host)) {
      ++Stalled;
      return;
    }
    const auto decision = Candidate.onPacket(host, Flows[OpenFlows[i]]);
    countPacket(decision);
    if (decision.Server == 0)
      ++Stalled;
    else if (decision.Server != Flows[OpenFlows[i]].Server)
      breakFlow(i);
  }

  void countPacket(Decision decision) {
    ++Packets;
    ExtraHops += decision.ExtraHops > 0 ? 1 : 0;
  }

  double per100k(std::size_t n) const {
    return CountedFlows == 0 ? 0
                             : 1e5 * static_cast<double>(n) /
                                   static_cast<double>(CountedFlows);
  }

  void applyChange(Change change) {
    switch (change) {
    case Change::None:
      break;
    case Change::ServerAdded:
      Servers.push_back({16});
      return scheduleRevision(RevisionSteps);
    case Change::ServerDrained:
      Servers[3].Draining = true;
      return scheduleRevision(RevisionSteps);
    case Change::ServerReweighted:
      Servers[3].Weight = 3;
      return scheduleRevision(RevisionSteps);
    case Change::HostKilled:
      return killHost();
    case Change::HostAdded:
      addHost(CurrentRevision);
      Candidate.setMembers(NextHost - 1, AliveHosts);
      return scheduleMembershipUpdates(HeartbeatSteps);
    case Change::RevisionSkew:
      Servers.push_back({16});
      return scheduleRevision(SkewSteps);
    case Change::ServerAddedAndHostKilled:
      Servers.push_back({16});
      scheduleRevision(RevisionSteps);
      return killHost();
    }
  }

  void scheduleRevision(std::size_t spread) {
    CurrentRevision = makeRevision(Servers);
    // Host 0 gets the revision first. As the admission owner of the tag
    // candidate it then places flows on servers that are unknown to the others.
    for (const auto host : AliveHosts)
      ScheduledActions.emplace(
          Step + (host == 0 ? 0 : Random() % (spread + 1)),
          [this, host] { Candidate.setRevision(host, CurrentRevision); });
  }

  void killHost() {
    // Host 0 is the admission owner of the tag candidate, the worst case.
    constexpr std::size_t KilledHost = 0;
    Candidate.killHost(KilledHost);
    std::erase(AliveHosts, KilledHost);
    ScheduledActions.emplace(Step + SuspectSteps,
                             [this] { RoutedHosts = AliveHosts; });
    scheduleMembershipUpdates(SuspectSteps);
  }

  void scheduleMembershipUpdates(std::size_t spread) {
    for (const auto host : AliveHosts)
      ScheduledActions.emplace(
          Step + spread / 2 + Random() % (spread / 2 + 1),
          [this, host] { Candidate.setMembers(host, AliveHosts); });
  }

  PlacementCandidate &Candidate;
  double Scale;
  std::mt19937_64 Random{42};
  std::vector<ServerSpec> Servers;
  RevisionPtr CurrentRevision;
  std::size_t NextHost = 0;
  std::vector<std::size_t> AliveHosts;
  std::vector<std::size_t> RoutedHosts; ///< Hosts to which the fabric sends.
  std::vector<Flow> Flows;
  std::vector<std::size_t> OpenFlows; ///< Indices into Flows.
  std::multimap<std::size_t, std::function<void()>> ScheduledActions;
  std::size_t Step = 0;
  std::size_t CountedFlows = 0;
  std::size_t Broken = 0;
  std::size_t Stalled = 0; ///< Lost packets that TCP retransmits.
  std::size_t Packets = 0;
  std::size_t ExtraHops = 0;
  /// Keeps timed decisions from being optimized out.
  std::uint64_t Checksum = 0;
};

template <typename Candidate> void measureChanges(double scale) {
  const std::pair<Change, const char *> changes[] = {
      {Change::None, "none"},
      {Change::ServerAdded, "backendServerAdded"},
      {Change::ServerDrained, "backendServerDrained"},
      {Change::ServerReweighted, "backendServerReweighted"},
      {Change::HostKilled, "hostKilled"},
      {Change::HostAdded, "hostAdded"},
      {Change::RevisionSkew, "revisionSkew2s"},
      {Change::ServerAddedAndHostKilled, "serverAddedAndHostKilled"}};
  for (const auto &[change, text] : changes) {
    Candidate candidate;
    ScenarioRun run(candidate, scale);
    run.simulate(change, LastStep);
    run.probeAllFlows();
    std::printf("{\"candidate\":\"%s\",\"change\":\"%s\","
                "\"brokenPer100k\":%.1f,\"stalledPacketsPer100k\":%.1f}\n",
                std::string(candidate.name()).c_str(), text,
                run.brokenPer100k(), run.stalledPer100k());
    std::fflush(stdout);
  }
}

template <typename Candidate> void measureSteadyState() {
  constexpr std::size_t Seconds = 3;
  Candidate candidate;
  ScenarioRun run(candidate, 1.0);
  run.simulate(Change::None, Seconds * StepsPerSecond);
  std::printf("{\"candidate\":\"%s\",\"openFlows\":%zu,"
              "\"controlBytesPerSecondPerHost\":%.0f,\"secondHopShare\":%.4f,"
              "\"peakToMean\":%.3f,\"bytesPerFlow\":%.1f,"
              "\"nanosecondsPerPacket\":%.0f}\n",
              std::string(candidate.name()).c_str(), run.openFlows(),
              static_cast<double>(candidate.ControlBytes) /
                  (Seconds * HostCount),
              run.secondHopShare(), run.peakToMean(),
              static_cast<double>(candidate.memoryBytes()) /
                  static_cast<double>(run.openFlows()),
              run.nanosecondsPerPacket());
  std::fflush(stdout);
}

template <typename Candidate> void measure(double scale) {
  measureChanges<Candidate>(scale);
  measureSteadyState<Candidate>();
}

} // namespace

int main(int argc, char **argv) {
  const double scale = argc > 1 ? std::atof(argv[1]) : 0.1;
  measure<FullTableCandidate>(scale);
  measure<TagCandidate>(scale);
  return 0;
}
