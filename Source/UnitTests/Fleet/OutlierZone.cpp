#include "UnitTests/Fleet/OutlierZone.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace auburnroute::unittests {

using common::TimePoint;
using routing::ServerId;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TickInterval{50};
constexpr milliseconds LinkDelay{1};
constexpr milliseconds CallerTimeout{2500};
constexpr milliseconds HastyTimeout{300};
constexpr int MaxRetries = 2;
constexpr std::uint32_t Slots = 2;
constexpr std::size_t QueuePlaces = 8;
constexpr std::uint16_t RequestBytes = 500;
constexpr std::uint32_t AnswerBytes = 1000;
constexpr std::uint32_t CallerCount = 400;
constexpr double MeanPause = 1;
constexpr double ColdSlowness = 2;
constexpr std::chrono::seconds ColdTime{20};
constexpr std::uint32_t RouteAddress = 0xc6120001; // 198.18.0.1
constexpr std::uint16_t SyncPort = 443;
constexpr std::uint16_t NotePort = 444;

std::chrono::nanoseconds fromMs(double ms) {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(ms * 1e6));
}

} // namespace

OutlierZone::Host::Host(OutlierZone &zone, std::size_t index,
                        std::uint64_t seed)
    : Zone(zone), Index(index),
      Peers({FirstAddress + static_cast<std::uint32_t>(index), "a", 1, 1},
            seed),
      Degraded(Directory, seed),
      Detector(Peers, Directory, Outcomes, Degraded, *this),
      Placement(Directory, Health, Directory.zoneNames().idOf("a"), seed),
      Router(Routes, Directory, Health, Placement, *this) {
  auto configuration = sampleConfiguration(1);
  configuration.Routes.push_back(configuration.Routes.front());
  configuration.Routes.back().Address.Port = NotePort;
  Routes.apply(configuration);
  Router.setOutcomes(&Outcomes);
  Placement.setParts({.Degraded = &Degraded});
}

void OutlierZone::Host::onDegraded(const fleet::OutlierEvent &event) {
  Zone.Verdicts.push_back({Zone.Clock.now(), Index, event.Server, event.Kind,
                           event.Hold, event.Evidence, event.IsNew});
}

OutlierZone::OutlierZone(const Options &options, std::uint64_t seed)
    : Placed(options.Servers), Opts(options), Random(seed),
      Servers(options.Servers) {
  for (std::uint32_t n = 0; n < Opts.Hosts; ++n)
    Hosts.push_back(std::make_unique<Host>(*this, n, seed * 1000 + n));
  for (auto &host : Hosts)
    for (std::uint64_t n = 1; n <= Opts.Servers; ++n) {
      auto server = sampleServer(n, n);
      server.Slots = Slots;
      if (static_cast<double>(n) <=
          Opts.ColdShare * static_cast<double>(Opts.Servers)) {
        server.WarmUpLeft = ColdTime;
        Servers[n - 1].ColdUntil = Clock.now() + ColdTime;
      }
      host->Directory.apply(server, Clock.now());
    }
  tickHosts();
  // Each long-lived flow sends a request after each pause.
  const double requests =
      Opts.RatePerServer * static_cast<double>(Opts.Servers);
  for (int n = 0; n < requests * Opts.LongShare * MeanPause; ++n)
    after(fromMs(Unit(Random) * 2000), [this] { openFlow(true, 0); });
  arrive(false);
}

std::size_t OutlierZone::hostsWithVerdict(ServerId id) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Hosts, [&](const auto &it) {
        return it->Degraded.levelOf(id, Clock.now()) > 0;
      }));
}

milliseconds OutlierZone::knownAfter(ServerId id, TimePoint from) const {
  std::vector<bool> knows(Hosts.size());
  for (const auto &it : Verdicts) {
    if (it.Server != id)
      continue;
    knows[it.Host] = true;
    bool all = true;
    for (std::size_t n = 0; n < Hosts.size(); ++n)
      all &= knows[n] || Hosts[n]->IsDown;
    if (all)
      return std::chrono::duration_cast<milliseconds>(it.At - from);
  }
  return milliseconds::max();
}

void OutlierZone::run(milliseconds time) {
  const auto end = Clock.now() + time;
  while (!Events.empty() && Events.begin()->first <= end) {
    auto event = Events.extract(Events.begin());
    if (event.key() > Clock.now())
      Clock.advance(event.key() - Clock.now());
    event.mapped()();
  }
  Clock.advance(end - Clock.now());
}

void OutlierZone::pause(std::size_t host, milliseconds time) {
  Hosts[host]->PausedUntil = Clock.now() + time;
  Hosts[host]->WasPaused = true;
}

void OutlierZone::hideHostsFrom(std::size_t first) { HiddenFrom = first; }

bool OutlierZone::isUp(const Server &server) const {
  return server.Fault != ServerFault::Flap ||
         (Clock.now() - server.FaultSince) / FlapTime % 2 == 1;
}

void OutlierZone::arrive(bool isLong) {
  const double rate = Opts.RatePerServer * static_cast<double>(Opts.Servers) *
                      (1 - Opts.LongShare);
  after(fromMs(1000 * std::exponential_distribution<double>(rate)(Random)),
        [this, isLong] {
          openFlow(isLong, 0);
          arrive(isLong);
        });
}

void OutlierZone::openFlow(bool isLong, int retries) {
  auto &flow = Flows.emplace_back();
  const auto number = Flows.size() - 1;
  const auto caller = static_cast<std::uint32_t>(Random() % CallerCount);
  flow.Id = {
      {0x64400000U + caller, static_cast<std::uint16_t>(1024 + number % 60000)},
      {RouteAddress, isLong ? SyncPort : NotePort}};
  do
    flow.Host = Random() % Hosts.size();
  while (Hosts[flow.Host]->IsDown);
  flow.IsLong = isLong;
  flow.Retries = retries;
  flow.IsHasty = caller < Opts.HastyCallerShare * CallerCount;
  flow.Pause = MeanPause;
  if (Unit(Random) < Opts.BusyCallerShare)
    flow.Pause /= 5;
  sendSyn(number, 0);
}

routing::FlowPacket OutlierZone::packetOf(const Flow &flow) const {
  routing::FlowPacket packet;
  packet.Source = flow.Id.Caller;
  packet.Destination = flow.Id.Service;
  packet.Ack = true;
  packet.Sequence = flow.Sequence;
  packet.Acknowledgement = flow.Acknowledged;
  packet.Echo = flow.Tag;
  return packet;
}

std::optional<routing::ForwardPacket>
OutlierZone::send(std::size_t number, routing::FlowPacket packet) {
  auto &host = *Hosts[Flows[number].Host];
  if (host.IsDown || host.IsCut || Clock.now() < host.PausedUntil || isLost())
    return std::nullopt;
  const auto outcome = host.Router.onPacket(packet, Clock.now());
  const auto *forward = std::get_if<routing::ForwardPacket>(&outcome);
  if (forward == nullptr || host.IsIsolated || isLost())
    return std::nullopt;
  return *forward;
}

void OutlierZone::sendSyn(std::size_t number, std::uint32_t copy) {
  if (Flows[number].IsOpen || Flows[number].IsClosed)
    return;
  if (copy == 3)
    return end(number, false, true);
  auto packet = packetOf(Flows[number]);
  packet.Ack = false;
  packet.Syn = true;
  packet.Acknowledgement = copy;
  const auto to = send(number, packet);
  if (to && isUp(Servers[to->Server]) && !isLost())
    after(2 * LinkDelay, [this, number, to] {
      auto &flow = Flows[number];
      if (flow.IsOpen || flow.IsClosed)
        return;
      flow.IsOpen = true;
      flow.Server = to->Server;
      flow.Tag = to->Tag;
      request(number);
    });
  constexpr std::array<int, 3> Delays{200, 400, 800};
  after(milliseconds(Delays[copy]),
        [this, number, copy] { sendSyn(number, copy + 1); });
}

void OutlierZone::request(std::size_t number) {
  auto &flow = Flows[number];
  if (flow.IsClosed)
    return;
  flow.IsBusy = true;
  flow.IsReceived = false;
  const auto sequence = flow.Sequence;
  sendData(number, sequence, milliseconds(200));
  after(flow.IsHasty ? HastyTimeout : CallerTimeout, [this, number, sequence] {
    const auto &it = Flows[number];
    if (!it.IsClosed && it.IsBusy && it.Sequence == sequence)
      end(number, true, true);
  });
}

void OutlierZone::sendData(std::size_t number, std::uint32_t sequence,
                           milliseconds delay) {
  auto &flow = Flows[number];
  if (flow.IsClosed || !flow.IsBusy || flow.Sequence != sequence ||
      flow.IsReceived)
    return;
  auto packet = packetOf(flow);
  packet.PayloadSize = RequestBytes;
  if (const auto to = send(number, packet); to && isUp(Servers[to->Server])) {
    // The server's transport acknowledges the request at once.
    flow.IsReceived = true;
    after(LinkDelay,
          [this, number, sequence] { serverReceives(number, sequence); });
    return;
  }
  after(delay, [this, number, sequence, delay] {
    sendData(number, sequence, std::min(2 * delay, milliseconds(1600)));
  });
}

void OutlierZone::serverReceives(std::size_t number, std::uint32_t sequence) {
  const auto id = Flows[number].Server;
  auto &server = Servers[id];
  switch (server.Fault) {
  case ServerFault::Hang:
    return;
  case ServerFault::Reset:
    return end(number, false, true);
  case ServerFault::Errors:
    return answer(number, sequence, true);
  default:
    break;
  }
  if (server.Running < Slots)
    startWork(id, number, sequence);
  else if (server.Queue.size() < QueuePlaces)
    server.Queue.emplace_back(number, sequence);
  else
    answer(number, sequence, true);
}

void OutlierZone::startWork(ServerId id, std::size_t number,
                            std::uint32_t sequence) {
  auto &server = Servers[id];
  ++server.Running;
  // Subtracting half of the variance gives the factor a mean of 1.
  double work =
      Opts.MeanWorkMs *
      std::exp(Opts.Sigma * std::normal_distribution<double>()(Random) -
               Opts.Sigma * Opts.Sigma / 2);
  if (server.Fault == ServerFault::Slow)
    work *= 5;
  if (Clock.now() < server.ColdUntil)
    work *= ColdSlowness;
  after(fromMs(work), [this, id, number, sequence] {
    auto &it = Servers[id];
    --it.Running;
    if (it.Fault != ServerFault::Hang)
      answer(number, sequence, false);
    if (it.Queue.empty())
      return;
    const auto [next, nextSequence] = it.Queue.front();
    it.Queue.erase(it.Queue.begin());
    startWork(id, next, nextSequence);
  });
}

void OutlierZone::answer(std::size_t number, std::uint32_t sequence,
                         bool isError) {
  // A lost answer is sent again by the server.
  const milliseconds delay = isLost() ? milliseconds(200) : LinkDelay;
  after(delay, [this, number, sequence, isError] {
    auto &flow = Flows[number];
    if (flow.IsClosed || !flow.IsBusy || flow.Sequence != sequence)
      return;
    flow.IsBusy = false;
    flow.Sequence += RequestBytes;
    flow.Acknowledged += AnswerBytes;
    Answered += !isError;
    if (isError || !flow.IsLong || flow.IsHasty)
      return end(number, true, isError || flow.IsLong);
    send(number, packetOf(flow));
    after(fromMs(1000 * flow.Pause * (0.5 + Unit(Random))),
          [this, number] { request(number); });
  });
}

void OutlierZone::end(std::size_t number, bool isAnnounced, bool retry) {
  auto &flow = Flows[number];
  if (flow.IsClosed)
    return;
  flow.IsClosed = true;
  if (isAnnounced && flow.IsOpen) {
    auto packet = packetOf(flow);
    packet.Fin = !flow.IsBusy;
    packet.Rst = flow.IsBusy;
    send(number, packet);
  }
  const auto isLong = flow.IsLong;
  const auto retries = flow.Retries;
  if (!retry || (!isLong && retries >= MaxRetries))
    return;
  // A caller with a long-lived flow opens another one after its usual pause.
  const bool atOnce = retries < MaxRetries;
  after(atOnce ? milliseconds(20) : milliseconds(1000),
        [this, isLong, next = atOnce ? retries + 1 : 0] {
          openFlow(isLong, next);
        });
}

void OutlierZone::tickHosts() {
  const auto now = Clock.now();
  ++Heartbeat;
  for (std::size_t from = 0; from < Hosts.size(); ++from)
    for (std::size_t to = 0; to < Hosts.size(); ++to)
      if (!Hosts[from]->IsDown && !Hosts[from]->IsCut &&
          (from < HiddenFrom) == (to < HiddenFrom))
        Hosts[to]->Peers.applyDirectUpdate(
            {FirstAddress + static_cast<std::uint32_t>(from), "a", 1,
             Heartbeat},
            now);
  for (auto &it : Hosts) {
    if (it->IsDown || now < it->PausedUntil)
      continue;
    if (std::exchange(it->WasPaused, false)) {
      it->Router.discardEvidence(now);
      it->Detector.discard();
    }
    it->Router.checkOpeningFlows(now);
    it->Router.onTick(now);
    it->Detector.poll(now);
    exchange(*it);
  }
  after(TickInterval, [this] { tickHosts(); });
}

void OutlierZone::exchange(Host &host) {
  for (const auto &[message, to] : host.Detector.takeOutgoing()) {
    const auto bytes = fleet::GossipCodec::encode(message);
    BOOST_REQUIRE(bytes.size() <= fleet::GossipCodec::MaxDatagramBytes);
    for (const auto address : to) {
      MessageBytes += bytes.size();
      auto &receiver = *Hosts[address - FirstAddress];
      if (host.IsCut || isLost())
        continue;
      after(LinkDelay, [this, &receiver, bytes] {
        if (receiver.IsDown || receiver.IsCut ||
            Clock.now() < receiver.PausedUntil)
          return;
        receiver.Detector.onMessage(*fleet::GossipCodec::decode(bytes),
                                    Clock.now());
      });
    }
  }
}

} // namespace auburnroute::unittests
