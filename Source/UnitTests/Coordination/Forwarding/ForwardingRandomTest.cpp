#include "Coordination/Forwarding/ForwardingEngine.h"
#include "ForwardingSettings.h"
#include "SimulatedTcp.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <deque>
#include <iterator>
#include <queue>
#include <random>
#include <sstream>

using namespace auburnroute;
using namespace auburnroute::forwarding;

namespace {

using Phase = SimulatedCaller::Phase;

constexpr Millis Tick{25};
constexpr Millis ActiveTime{40000};
constexpr Millis EndTime{130000}; // All feeds and timers have ended by then.
constexpr std::uint16_t CallerPorts = 60; // Few, so that ports are reused.

struct Host {
  ForwardingEngine Engine;
  std::size_t Revision = 0; ///< Index into Simulation::History.
  bool IsAlive = true;
  bool IsConfirmed = true; ///< May place new flows.
  Millis PausedUntil{0};
  Millis RemovedAt{-1}; ///< When the fabric stops sending to it; -1: never.
};

struct Counts {
  std::uint64_t Flows = 0, Feeds = 0, Answers = 0, Refusals = 0, Forwarded = 0,
                Dropped = 0, PawsDrops = 0, PlacedTwice = 0, Changes = 0;
};

/// Simulates hosts, backend servers and callers on a network that loses,
/// delays, duplicates and reorders packets. The seed determines the run.
class Simulation {
public:
  explicit Simulation(std::uint32_t seed) : Random(seed) {
    Settings = makeSettings(0);
    // The second service has numbers of the wide tag layout.
    constexpr std::array<std::uint16_t, 2> FirstNumbers{1, 1025};
    for (std::uint32_t i = 0; i < 2; ++i)
      for (std::uint16_t n = 0; n < 6; ++n) {
        const auto number = static_cast<std::uint16_t>(FirstNumbers[i] + n);
        startServer(i, number);
        Settings.Services[i].BackendServers.push_back(makeServer(i, number));
      }
    publish("start", Millis{0});
    for (int i = 0; i < 6; ++i)
      addHost();
  }

  /// Runs the simulation; returns false if a check failed.
  bool run() {
    for (Now = Millis{0}; Now < EndTime && Violation.empty(); Now += Tick) {
      distribute();
      if (Now < ActiveTime) {
        if (chance(0.5))
          startFlow();
        if (chance(0.06))
          change();
      }
      deliver();
      for (auto &caller : Callers)
        stepCaller(caller);
      for (auto &[address, server] : Servers)
        server.tick(Now, serverSend());
      deliver();
    }
    if (Violation.empty())
      checkEnd();
    return Violation.empty();
  }

  std::string describeViolation() const {
    std::string text = Violation + "\ntrace:";
    for (const auto &line : Trace)
      text += "\n  " + line;
    return text;
  }

  Counts Seen;

private:
  struct Arrival {
    Millis At;
    std::uint64_t Order;
    std::size_t Host;
    SimulatedSegment Segment;
    enum class Where { Host, HandedOver, Server, Caller } To;

    bool operator>(const Arrival &other) const {
      return std::tie(At, Order) > std::tie(other.At, other.Order);
    }
  };

  bool chance(double p) { return std::bernoulli_distribution(p)(Random); }
  std::size_t randomBelow(std::size_t n) { return Random() % n; }

  void fail(const std::string &what) {
    if (Violation.empty())
      Violation = std::to_string(Now.count()) + " ms: " + what;
  }
  ReportViolation violationReporter() {
    return [this](const std::string &what) { fail(what); };
  }
  void trace(const std::string &what) {
    Trace.push_back(std::to_string(Now.count()) + " ms: " + what);
    ++Seen.Changes;
  }

  // Network.

  Millis delay() {
    // Rarely a long delay, so that replies arrive after the end of their flow.
    return Millis(chance(0.01) ? 500 + randomBelow(2500) : 1 + randomBelow(20));
  }

  void transmit(Arrival::Where to, const SimulatedSegment &segment) {
    if (chance(0.01))
      return;
    const int copies = chance(0.02) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
      Network.push({Now + delay(), ++Order, pickHost(), segment, to});
  }

  /// A random host that the fabric still sends to, which may be dead.
  std::size_t pickHost() {
    for (;;) {
      const auto i = randomBelow(Hosts.size());
      if (Hosts[i].RemovedAt < Millis{0} || Now < Hosts[i].RemovedAt)
        return i;
    }
  }

  Send callerSend() {
    return [this](const auto &it) { transmit(Arrival::Where::Host, it); };
  }
  Send serverSend() { return callerSend(); }

  void deliver() {
    while (!Network.empty() && Network.top().At <= Now && Violation.empty()) {
      auto arrival = Network.top();
      Network.pop();
      switch (arrival.To) {
      case Arrival::Where::Server:
        deliverToServer(arrival.Segment);
        break;
      case Arrival::Where::Caller:
        deliverToCaller(arrival.Segment);
        break;
      default:
        deliverToHost(arrival);
      }
    }
  }

  void deliverToHost(Arrival &arrival) {
    auto &host = Hosts[arrival.Host];
    if (!host.IsAlive)
      return;
    if (Now < host.PausedUntil) { // Waits in the socket buffer.
      arrival.At = host.PausedUntil;
      Network.push(arrival);
      return;
    }
    const auto &headers = arrival.Segment.Headers;
    const bool isFromServer = Servers.contains(headers.Source);
    const auto outcome = isFromServer
                             ? host.Engine.onBackendServerPacket(headers)
                             : host.Engine.onCallerPacket(headers);
    if (const auto *forward = std::get_if<ForwardToCaller>(&outcome))
      forwardToCaller(*forward, arrival.Segment);
    else if (const auto *to = std::get_if<ForwardToBackendServer>(&outcome))
      forwardToServer(*to, arrival.Segment);
    else if (const auto *syn = std::get_if<HandOver>(&outcome))
      admit(host, *syn, arrival);
    else if (std::holds_alternative<Refuse>(outcome))
      fail("the engine refused a SYN that has timestamps");
    else
      ++Seen.Dropped;
  }

  void forwardToServer(const ForwardToBackendServer &forward,
                       SimulatedSegment segment) {
    ++Seen.Forwarded;
    segment.Headers.Destination = forward.Destination;
    segment.Headers.TimestampEcho = forward.TimestampEcho;
    transmit(Arrival::Where::Server, segment);
  }

  void forwardToCaller(const ForwardToCaller &forward,
                       SimulatedSegment segment) {
    ++Seen.Forwarded;
    const auto service = Servers.at(segment.Headers.Source).Service;
    if (forward.Source != Settings.Services[service].Listeners[0].Address)
      fail("a reply was sent from the address of another service");
    segment.Headers.Source = forward.Source;
    segment.Headers.TimestampValue = forward.TimestampValue;
    transmit(Arrival::Where::Caller, segment);
  }

  /// Hands over a SYN at most once, then places, refuses or drops it.
  void admit(Host &host, const HandOver &syn, Arrival &arrival) {
    const bool wasHandedOver = arrival.To == Arrival::Where::HandedOver;
    if (!wasHandedOver && chance(0.5))
      return transmit(Arrival::Where::HandedOver, arrival.Segment);
    if (!host.IsConfirmed)
      return;
    if (chance(0.03))
      return refuse(arrival.Segment);
    std::vector<const state::BackendServerEntry *> usable;
    for (const auto &it : host.Engine.table()->backendServersOf(syn.Service))
      if (it.Mode == state::BackendServerMode::Active)
        usable.insert(usable.end(), it.Weight, &it);
    if (usable.empty())
      return;
    const auto &server = *usable[randomBelow(usable.size())];
    auto &placed = PlacedOn[arrival.Segment.Flow];
    Seen.PlacedTwice += placed != 0 && placed != server.Address ? 1 : 0;
    placed = server.Address;
    const auto outcome = host.Engine.forwardSyn(syn.Service, server.Number,
                                                arrival.Segment.Headers);
    forwardToServer(std::get<ForwardToBackendServer>(outcome), arrival.Segment);
  }

  void refuse(const SimulatedSegment &syn) {
    SimulatedSegment reset;
    reset.Headers.Source = syn.Headers.Destination;
    reset.Headers.Destination = syn.Headers.Source;
    reset.Headers.Rst = true;
    reset.Acknowledgement = syn.Sequence + 1;
    transmit(Arrival::Where::Caller, reset);
  }

  void deliverToServer(const SimulatedSegment &segment) {
    const auto found = Servers.find(segment.Headers.Destination);
    if (found == Servers.end())
      return; // Removed after its drain.
    auto &server = found->second;
    if (Settings.Services[server.Service].Listeners[0].Address !=
        segment.Service)
      return fail("a packet reached a server of another service");
    const auto flow = segment.Headers.Syn ? segment.Flow : 0;
    server.receive(
        Now, segment, static_cast<std::uint32_t>(Random()),
        Callers[flow].IsFeed,
        Callers[flow].IsFeed ? 20 + flow % 120 : 1 + flow % 4, serverSend(),
        [this](std::uint32_t n) {
          if (++Runs[n] > 1)
            fail("request " + std::to_string(n) + " ran twice");
        },
        violationReporter());
  }

  void deliverToCaller(const SimulatedSegment &segment) {
    const auto it = ByPort.find(
        {segment.Headers.Destination.Port, segment.Headers.Source.Address});
    if (it != ByPort.end())
      Callers[it->second].receive(Now, segment, callerSend(),
                                  violationReporter());
  }

  // Callers.

  void startFlow() {
    const auto port = static_cast<std::uint16_t>(1 + randomBelow(CallerPorts));
    const auto service = static_cast<std::uint32_t>(randomBelow(2));
    const auto address = Settings.Services[service].Listeners[0].Address;
    const auto old = ByPort.find({port, address.Address});
    if (old != ByPort.end() && Callers[old->second].isOpen())
      return;
    const auto flow = static_cast<std::uint32_t>(Callers.size());
    const bool isFeed = chance(0.3);
    Callers.emplace_back(flow, common::Endpoint{CallerAddress, port}, address,
                         isFeed, static_cast<std::uint32_t>(Random()), Now);
    ByPort[{port, address.Address}] = flow;
    ++(isFeed ? Seen.Feeds : Seen.Flows);
  }

  void stepCaller(SimulatedCaller &caller) {
    if (caller.State == Phase::Broken)
      fail((caller.IsFeed ? "feed " : "request ") +
           std::to_string(caller.Flow) + " broke after " +
           std::to_string(caller.Received) + " messages");
    if (!caller.isOpen())
      return;
    if (Now < ActiveTime && chance(0.0005))
      caller.giveUp(Now, callerSend());
    caller.tick(Now, callerSend());
  }

  void checkEnd() {
    for (const auto &caller : Callers) {
      Seen.PawsDrops += caller.PawsDrops;
      Seen.Answers += caller.State == Phase::Done ? 1 : 0;
      Seen.Refusals += caller.State == Phase::Refused ? 1 : 0;
      if (caller.State == Phase::Broken || caller.State == Phase::Established)
        fail("flow " + std::to_string(caller.Flow) + " did not end");
      if (caller.State == Phase::Refused && Runs.contains(caller.Flow))
        fail("refused request " + std::to_string(caller.Flow) + " ran");
      if (caller.State == Phase::Done &&
          caller.Received !=
              (caller.IsFeed ? 20 + caller.Flow % 120 : 1 + caller.Flow % 4))
        fail("flow " + std::to_string(caller.Flow) + " lost messages");
    }
  }

  // Changes.

  void startServer(std::uint32_t service, std::uint16_t number) {
    // Clocks start 20 s before a wrap of the timestamps or of their kept bits.
    constexpr std::array<std::uint32_t, 4> Bases{0U - 20000, (1U << 24) - 20000,
                                                 0x80000000U - 20000, 1000};
    const auto address = makeServer(service, number).Address;
    Servers.try_emplace({address, BackendPort},
                        common::Endpoint{address, BackendPort}, service,
                        service == 0, Bases[randomBelow(Bases.size())]);
  }

  void addHost() {
    Hosts.emplace_back();
    Hosts.back().Revision = History.size() - 1;
    Hosts.back().Engine.setTable(History.back());
  }

  /// Publishes a new revision of the settings; hosts get it within \p skew.
  void publish(const std::string &what, Millis skew) {
    ++Settings.Revision;
    History.push_back(makeTable(Settings));
    trace("revision " + std::to_string(Settings.Revision) + ": " + what);
    for (std::size_t i = 0; i < Hosts.size(); ++i)
      Revisions.push_back(
          {Now + Millis(randomBelow(skew.count() + 1)), i, History.size() - 1});
  }

  void distribute() {
    std::erase_if(Revisions, [this](const auto &delivery) {
      auto &host = Hosts[delivery.Host];
      if (Now < delivery.At || Now < host.PausedUntil + ConfirmDelay)
        return false;
      if (host.Revision < delivery.Revision) {
        host.Revision = delivery.Revision;
        host.Engine.setTable(History[delivery.Revision]);
      }
      return true;
    });
    for (auto &host : Hosts)
      host.IsConfirmed = Now >= host.PausedUntil + ConfirmDelay;
  }

  void change() {
    const auto service = static_cast<std::uint32_t>(randomBelow(2));
    switch (randomBelow(8)) {
    case 0:
      return addServer(service);
    case 1:
      return drainServer(service);
    case 2:
      return reweightServer(service);
    case 3:
      return removeServer(service);
    case 4:
      if (Hosts.size() < 20) {
        addHost();
        trace("host added");
      }
      return;
    case 5:
      return killHost();
    case 6:
      return pauseHost();
    default: // Two changes at once.
      addServer(service);
      drainServer(service);
    }
  }

  static constexpr Millis Skew{2000};
  static constexpr Millis ConfirmDelay{100};

  state::BackendServer &anyServer(std::uint32_t service) {
    auto &servers = Settings.Services[service].BackendServers;
    return servers[randomBelow(servers.size())];
  }

  void addServer(std::uint32_t service) {
    auto &servers = Settings.Services[service].BackendServers;
    // Numbers are not reused.
    const auto number = static_cast<std::uint16_t>(servers.back().Number + 1);
    if (servers.size() > 10 || number % 64 > 60)
      return;
    startServer(service, number);
    servers.push_back(makeServer(service, number));
    publish("add " + std::to_string(service) + "/" + std::to_string(number),
            Skew);
  }

  void drainServer(std::uint32_t service) {
    const auto &servers = Settings.Services[service].BackendServers;
    const auto active =
        std::count_if(servers.begin(), servers.end(), [](const auto &it) {
          return it.Mode == state::BackendServerMode::Active;
        });
    auto &server = anyServer(service);
    if (active <= 3)
      return;
    server.Mode = state::BackendServerMode::Draining;
    publish("drain " + std::to_string(service) + "/" +
                std::to_string(server.Number),
            Skew);
  }

  void reweightServer(std::uint32_t service) {
    auto &server = anyServer(service);
    server.Weight = 1 + static_cast<std::uint32_t>(randomBelow(4));
    publish("change weight of " + std::to_string(service) + "/" +
                std::to_string(server.Number),
            Skew);
  }

  /// Removes a draining server without connections.
  void removeServer(std::uint32_t service) {
    auto &servers = Settings.Services[service].BackendServers;
    for (auto it = servers.begin(); it != servers.end(); ++it) {
      const common::Endpoint address{it->Address, BackendPort};
      if (it->Mode != state::BackendServerMode::Draining ||
          Servers.at(address).connections() != 0 || it + 1 == servers.end())
        continue;
      const auto number = it->Number;
      Servers.erase(address);
      servers.erase(it);
      return publish("remove " + std::to_string(service) + "/" +
                         std::to_string(number),
                     Skew);
    }
  }

  std::vector<std::size_t> runningHosts() const {
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < Hosts.size(); ++i)
      if (Hosts[i].IsAlive && Hosts[i].PausedUntil <= Now)
        result.push_back(i);
    return result;
  }

  void killHost() {
    const auto running = runningHosts();
    if (running.size() <= 3)
      return;
    auto &host = Hosts[running[randomBelow(running.size())]];
    host.IsAlive = false;
    host.RemovedAt = Now + Millis(1000);
    trace("host killed");
  }

  void pauseHost() {
    const auto running = runningHosts();
    if (running.size() <= 3)
      return;
    auto &host = Hosts[running[randomBelow(running.size())]];
    host.PausedUntil = Now + Millis(300 + randomBelow(6000));
    host.IsConfirmed = false;
    trace("host paused");
  }

  struct Delivery {
    Millis At;
    std::size_t Host;
    std::size_t Revision;
  };

  std::mt19937 Random;
  Millis Now{0};
  std::uint64_t Order = 0;
  state::Settings Settings;
  std::vector<std::shared_ptr<const state::ServiceTable>> History;
  std::vector<Delivery> Revisions;
  std::deque<Host> Hosts;
  std::map<common::Endpoint, SimulatedServer, ByKey> Servers;
  std::deque<SimulatedCaller> Callers; ///< By flow.
  /// The last flow of a caller port and service address.
  std::map<std::pair<std::uint16_t, std::uint32_t>, std::uint32_t> ByPort;
  std::map<std::uint32_t, int> Runs;
  std::map<std::uint32_t, std::uint32_t> PlacedOn;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> Network;
  std::string Violation;
  std::vector<std::string> Trace;
};

std::vector<std::uint32_t> seedsToRun() {
  const char *given = std::getenv("AUBURN_TEST_SEEDS");
  std::istringstream seeds(given != nullptr ? given : "1 2 3 4 5 6 7 8");
  return {std::istream_iterator<std::uint32_t>(seeds), {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ForwardingRandomTest)

// Guards against flows that break, get data of another flow, execute a request
// twice, or are reported as refused but executed, when the settings change,
// hosts fail, and packets are lost or reordered.
BOOST_AUTO_TEST_CASE(FlowsSurviveChanges) {
  for (const auto seed : seedsToRun()) {
    Simulation simulation(seed);
    const bool passed = simulation.run();
    BOOST_TEST(passed,
               "seed " << seed << ": " << simulation.describeViolation());
    const auto &seen = simulation.Seen;
    BOOST_TEST_MESSAGE(
        "seed " << seed << ": " << seen.Flows << " requests, " << seen.Feeds
                << " feeds, " << seen.Answers << " completed, " << seen.Refusals
                << " refused, " << seen.PlacedTwice << " placed twice, "
                << seen.Changes << " changes, " << seen.Forwarded
                << " packets forwarded, " << seen.Dropped << " dropped, "
                << seen.PawsDrops << " dropped by PAWS");
  }
}

BOOST_AUTO_TEST_SUITE_END()
