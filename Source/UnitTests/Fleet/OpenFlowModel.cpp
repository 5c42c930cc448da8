#include "UnitTests/Fleet/OpenFlowModel.h"

#include "Common/SequenceNumber.h"
#include "Fleet/GossipCodec.h"

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <utility>

namespace auburnroute::unittests {

using common::TimePoint;
using routing::FlowId;
using routing::FlowPacket;
using routing::RequestKind;
using routing::ServerState;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t FirstHostAddress = 0x0a800001;   // 10.128.0.1
constexpr std::uint32_t FirstCallerAddress = 0x64400001; // 100.64.0.1
constexpr std::uint32_t FirstServerAddress = 0x0a000001; // 10.0.0.1
constexpr std::uint32_t FirstRouteAddress = 0xc6120001;  // 198.18.0.1

constexpr std::size_t Slots = 2;
constexpr std::size_t QueueLength = 4;
constexpr std::size_t UsualMaxFlows = 40;
/// Of servers that are full of flows on which little is sent.
constexpr std::size_t LowMaxFlows = 4;
constexpr int LowLoadFactor = 5;
constexpr double MeanWorkMs = 15;
constexpr double MaxWorkFactor = 7;
/// A server that started during the day is slow at first.
constexpr milliseconds ColdTime{1500};
constexpr int ColdFactor = 2;
constexpr milliseconds Lease = 3 * OpenFlowModel::Heartbeat;
constexpr milliseconds DrainTime{1500};
constexpr milliseconds AddressReuseTime{2000};
constexpr milliseconds SynAckLifetime{1500};

constexpr milliseconds FirstRepeat{200};
constexpr milliseconds LongestRepeat{1600};
constexpr int MaxServerRepeats = 8;
constexpr milliseconds OpeningTime{1400};
constexpr milliseconds MaxAckDelay{40};
constexpr std::uint32_t FirstSequence = 1000;
constexpr std::uint16_t RequestSize = 100;
constexpr std::uint32_t ResponseSize = 300;
constexpr int MaxTries = 3;

/// Packets that a socket holds.
constexpr std::size_t MaxQueuedPackets = 600;
/// Packets that the daemon reads at once.
constexpr std::size_t BatchSize = 64;
constexpr milliseconds ProbeInterval{500};
constexpr int MaxMissedProbes = 2;
constexpr milliseconds RegistryStep{20};
constexpr double BackgroundLoss = 0.001;

const std::array<std::string, OpenFlowModel::ZoneCount> ZoneNames{"a", "b"};

} // namespace

OpenFlowModel::OpenFlowModel(std::uint64_t seed, std::uint32_t callersPerZone)
    : Random(seed), StartedAt(Clock.now()), LossyUntil(ZoneCount),
      Loss(ZoneCount) {
  for (std::size_t zone = 0; zone < ZoneCount; ++zone)
    for (std::size_t n = 2 + below(2); n > 0; --n) {
      Machines.emplace_back();
      Machines.back().Address =
          FirstHostAddress + static_cast<std::uint32_t>(Machines.size() - 1);
      Machines.back().Zone = zone;
    }
  const bool hasFullServers = callersPerZone == UsualCallers && isOneIn(4);
  MaxFlows = hasFullServers ? LowMaxFlows : UsualMaxFlows;
  LastRoute = 2;
  for (std::uint32_t n = 0; n < LastRoute; ++n) {
    routing::Route route;
    route.Name = n == 0 ? "orders" : "sheets";
    route.Address = {FirstRouteAddress + n, 443};
    route.Kind = n == 0 ? RequestKind::Idempotent : RequestKind::NonIdempotent;
    route.Services.push_back({route.Name, 1});
    Configuration.Routes.push_back(route);
  }
  configure();
  for (std::size_t zone = 0; zone < ZoneCount; ++zone)
    for (const auto *service : {"orders", "sheets"})
      for (std::size_t n = 2 + below(2); n > 0; --n)
        startServer(service, zone);
  for (std::size_t n = 0; n < Machines.size(); ++n)
    startProcess(n, /*isFirstStart=*/true);
  for (std::uint32_t n = 0; n < ZoneCount * callersPerZone; ++n) {
    Channel channel;
    channel.Address = FirstCallerAddress + n;
    channel.Zone = n % ZoneCount;
    channel.Service = {FirstRouteAddress + (isOneIn(3) ? 1U : 0U), 443};
    channel.KeepsFlows = !isOneIn(3);
    channel.Limit = between(milliseconds(500), milliseconds(3000));
    channel.Pause = between(milliseconds(150), milliseconds(700)) *
                    (hasFullServers ? LowLoadFactor : 1);
    Channels.push_back(channel);
    after(between(milliseconds(500), milliseconds(1500)),
          [this, n] { nextRequest(n, std::nullopt); });
  }
  at(now(), [this] { probeHosts(); });
  at(now(), [this] { stepRegistry(); });
}

void OpenFlowModel::at(TimePoint time, std::function<void()> run) {
  Events.push({std::max(time, now()), ++EventCount, std::move(run)});
}

void OpenFlowModel::after(milliseconds delay, std::function<void()> run) {
  at(now() + delay, std::move(run));
}

milliseconds OpenFlowModel::elapsed(TimePoint time) const {
  return std::chrono::duration_cast<milliseconds>(now() - time);
}

milliseconds OpenFlowModel::between(milliseconds low, milliseconds high) {
  return low + milliseconds(
                   below(static_cast<std::size_t>((high - low).count()) + 1));
}

void OpenFlowModel::run(milliseconds time) {
  const auto end = now() + time;
  while (!Events.empty() && Events.top().At <= end) {
    const auto event = Events.top();
    Events.pop();
    Clock.advance(event.At - now());
    event.Run();
  }
  Clock.advance(end - now());
}

// Links

std::size_t OpenFlowModel::zoneOfCaller(std::uint32_t address) const {
  return (address - FirstCallerAddress) % ZoneCount;
}

bool OpenFlowModel::passes(std::size_t zone, std::size_t otherZone) {
  if (zone != otherZone && now() < ZonesCutUntil)
    return false;
  double loss = BackgroundLoss;
  for (const auto it : {zone, otherZone})
    if (now() < LossyUntil[it])
      loss = std::max(loss, Loss[it]);
  return std::uniform_real_distribution<double>()(Random) >= loss;
}

milliseconds OpenFlowModel::linkDelay(std::size_t zone, std::size_t otherZone) {
  return milliseconds(1 + below(2) + (zone == otherZone ? 0 : 3));
}

milliseconds OpenFlowModel::controlDelay() {
  if (now() < GossipDisturbedUntil && isOneIn(2))
    return between(milliseconds(50), milliseconds(3000));
  return milliseconds(1 + below(4));
}

bool OpenFlowModel::isControlCut(std::size_t a, std::size_t b) const {
  const auto &first = Machines[a];
  const auto &second = Machines[b];
  return now() < first.CutFromControlUntil ||
         now() < second.CutFromControlUntil ||
         (first.Zone != second.Zone && now() < ZonesCutUntil);
}

// Hosts

void OpenFlowModel::startProcess(std::size_t host, bool isFirstStart) {
  auto &machine = Machines[host];
  OpenFlowHost::Settings settings;
  settings.Index = host;
  settings.Address = machine.Address;
  settings.Zone = ZoneNames[machine.Zone];
  // One host of each zone, and the next one for those.
  for (std::size_t n = 0; n < Machines.size(); ++n)
    if (n != host && (n % 2 == 0))
      settings.Seeds.push_back(Machines[n].Address);
  settings.Heartbeat = Heartbeat;
  settings.ChangeBound = ChangeBound;
  settings.IsFirstStart = isFirstStart;
  settings.Random = Random();
  ++machine.Generation;
  machine.Packets.clear();
  machine.Messages.clear();
  machine.Answers.clear();
  machine.Call.reset();
  machine.PausedUntil = {};
  OpenFlowHost::Network &network = *this;
  machine.Process =
      std::make_unique<OpenFlowHost>(std::move(settings), Clock, network);
  machine.Process->start();
  const auto generation = machine.Generation;
  after(between(milliseconds(1), OpenFlowHost::TickInterval),
        [this, host, generation] { tick(host, generation); });
}

void OpenFlowModel::stopProcess(std::size_t host) {
  auto &machine = Machines[host];
  machine.Process.reset();
  ++machine.Generation;
}

bool OpenFlowModel::canRun(std::size_t host) const {
  const auto &machine = Machines[host];
  return machine.Process != nullptr && now() >= machine.PausedUntil;
}

void OpenFlowModel::tick(std::size_t host, std::uint64_t generation) {
  auto &machine = Machines[host];
  if (machine.Generation != generation)
    return;
  if (!canRun(host)) {
    machine.IsTickPending = true;
    return;
  }
  machine.Process->tick();
  readPackets(host, MaxQueuedPackets);
  after(OpenFlowHost::TickInterval,
        [this, host, generation] { tick(host, generation); });
}

void OpenFlowModel::readPackets(std::size_t host, std::size_t count) {
  auto &machine = Machines[host];
  if (machine.Packets.empty() || !canRun(host) ||
      !machine.Process->isForwarding())
    return;
  machine.Process->onWakeUp();
  while (count > 0 && !machine.Packets.empty()) {
    const auto size = std::min({count, machine.Packets.size(), BatchSize});
    const std::vector<FlowPacket> batch(machine.Packets.begin(),
                                        machine.Packets.begin() +
                                            static_cast<std::ptrdiff_t>(size));
    machine.Packets.erase(machine.Packets.begin(),
                          machine.Packets.begin() +
                              static_cast<std::ptrdiff_t>(size));
    count -= size;
    machine.Process->onPackets(batch);
  }
}

void OpenFlowModel::readMessages(std::size_t host, std::size_t count) {
  auto &machine = Machines[host];
  if (machine.Messages.empty() || !canRun(host))
    return;
  machine.Process->onWakeUp();
  for (; count > 0 && !machine.Messages.empty(); --count) {
    const auto message = std::move(machine.Messages.front());
    machine.Messages.pop_front();
    machine.Process->onMessage(*message);
  }
}

void OpenFlowModel::readAnswers(std::size_t host) {
  for (const auto &it : std::exchange(Machines[host].Answers, {}))
    it();
}

void OpenFlowModel::pauseHost(std::size_t host, milliseconds time) {
  auto &machine = Machines[host];
  if (!canRun(host))
    return;
  note(absl::StrCat("host ", host, " pauses for ", time.count(), " ms"));
  machine.PausedUntil = now() + time;
  machine.IsTickPending = false;
  const auto generation = machine.Generation;
  after(time, [this, host, generation] { resumeHost(host, generation); });
}

void OpenFlowModel::resumeHost(std::size_t host, std::uint64_t generation) {
  auto &machine = Machines[host];
  if (machine.Generation != generation || now() < machine.PausedUntil)
    return;
  // Sockets and timers are ready at once; their order is not known. The timer
  // discards what is still in the sockets after a long pause.
  const auto part = [this](std::size_t n) {
    return isOneIn(2) ? n : below(n + 1);
  };
  if (isOneIn(2))
    readPackets(host, part(machine.Packets.size()));
  if (isOneIn(2))
    readMessages(host, part(machine.Messages.size()));
  if (isOneIn(2))
    readAnswers(host);
  if (machine.IsTickPending)
    tick(host, generation);
  readAnswers(host);
  readMessages(host, machine.Messages.size());
  readPackets(host, machine.Packets.size());
}

void OpenFlowModel::discardPackets(std::size_t host) {
  Machines[host].Packets.clear();
}

void OpenFlowModel::discardMessages(std::size_t host) {
  Machines[host].Messages.clear();
}

void OpenFlowModel::deliverPacket(std::size_t host, const FlowPacket &packet) {
  auto &machine = Machines[host];
  if (machine.Process == nullptr || machine.Packets.size() >= MaxQueuedPackets)
    return;
  machine.Packets.push_back(packet);
  readPackets(host, MaxQueuedPackets);
}

void OpenFlowModel::probeHosts() {
  for (std::size_t n = 0; n < Machines.size(); ++n) {
    auto &machine = Machines[n];
    machine.MissedProbes =
        canRun(n) && machine.Process->isReady() ? 0 : machine.MissedProbes + 1;
    if (machine.MissedProbes == 0)
      machine.IsInRotation = true;
    else if (machine.MissedProbes >= MaxMissedProbes)
      machine.IsInRotation = false;
  }
  checkVerdicts();
  after(ProbeInterval, [this] { probeHosts(); });
}

std::optional<std::size_t> OpenFlowModel::hostFor(const FlowId &flow,
                                                  std::size_t zone) const {
  std::vector<std::size_t> all;
  std::vector<std::size_t> rotation;
  std::vector<std::size_t> others;
  for (std::size_t n = 0; n < Machines.size(); ++n) {
    if (Machines[n].Zone == zone)
      all.push_back(n);
    if (Machines[n].IsInRotation)
      (Machines[n].Zone == zone ? rotation : others).push_back(n);
  }
  const auto &chosen = rotation.empty() && !others.empty() ? others
                       : 2 * rotation.size() < all.size()  ? all
                                                           : rotation;
  return chosen[(flow.Caller.key() * 0x9e3779b97f4a7c15 + flow.Service.key()) %
                0xfffffffb % chosen.size()];
}

void OpenFlowModel::sendToHosts(
    std::size_t host, std::shared_ptr<const fleet::GossipMessage> message,
    const std::vector<std::uint32_t> &to) {
  for (const auto address : to) {
    const std::size_t other = address - FirstHostAddress;
    if (isControlCut(host, other) ||
        !passes(Machines[host].Zone, Machines[other].Zone) ||
        (now() < GossipDisturbedUntil && isOneIn(3)))
      continue;
    after(controlDelay(), [this, other, message] {
      auto &machine = Machines[other];
      if (machine.Process == nullptr ||
          machine.Messages.size() >= MaxQueuedPackets)
        return;
      machine.Messages.push_back(message);
      readMessages(other, machine.Messages.size());
      readPackets(other, machine.Packets.size());
    });
  }
}

void OpenFlowModel::deliverAnswer(std::size_t host, std::uint64_t generation,
                                  std::function<void()> run) {
  if (Machines[host].Generation != generation)
    return;
  if (!canRun(host)) {
    Machines[host].Answers.push_back(std::move(run));
    return;
  }
  run();
  readPackets(host, MaxQueuedPackets);
}

void OpenFlowModel::fetchSnapshot(std::size_t host, std::uint32_t from,
                                  milliseconds timeout) {
  const std::size_t peer = from - FirstHostAddress;
  const auto generation = Machines[host].Generation;
  auto isDone = std::make_shared<bool>(false);
  const auto finish =
      [this, host, isDone](const std::optional<fleet::AgedSnapshot> &snapshot) {
        if (!std::exchange(*isDone, true))
          Machines[host].Process->onSnapshot(snapshot);
      };
  after(timeout, [this, host, generation, finish] {
    deliverAnswer(host, generation, [finish] { finish(std::nullopt); });
  });
  if (isControlCut(host, peer))
    return;
  after(controlDelay(), [this, host, peer, generation, finish] {
    if (!canRun(peer) || Machines[host].Generation != generation ||
        isControlCut(host, peer))
      return;
    const auto &process = *Machines[peer].Process;
    if (!process.view().isComplete()) {
      deliverAnswer(host, generation, [finish] { finish(std::nullopt); });
      return;
    }
    const auto bytes = fleet::GossipCodec::encode(
        process.snapshotFor(*Machines[host].Process));
    after(controlDelay(), [this, host, generation, finish, bytes] {
      deliverAnswer(host, generation, [finish, bytes] {
        finish(fleet::GossipCodec::decodeSnapshot(bytes));
      });
    });
  });
}

void OpenFlowModel::callRegistry(std::size_t host,
                                 const fleet::RegistryCall &call) {
  Machines[host].Call = PendingCall{call, now()};
}

void OpenFlowModel::stepRegistry() {
  Registry.expire(now());
  const bool isDown = now() < RegistryDownUntil;
  for (std::size_t n = 0; n < Machines.size(); ++n) {
    auto &machine = Machines[n];
    if (machine.Process == nullptr || !machine.Call || machine.Call->IsAnswered)
      continue;
    auto &call = *machine.Call;
    const auto generation = machine.Generation;
    const bool isCut = now() < machine.CutFromControlUntil;
    std::function<void()> finish;
    if ((isDown && !IsRegistrySilent) ||
        elapsed(call.SentAt) > call.Call.Timeout) {
      finish = [this, n] {
        Machines[n].Process->onRegistryFailure(
            fleet::RegistryFailure::Unreachable);
      };
    } else if (!isDown && !isCut) {
      auto page = Registry.answer(call.Call, call.SentAt, now());
      if (!page)
        continue;
      finish = [this, n, page = *page] {
        Machines[n].Process->onRegistryPage(page);
      };
    } else {
      continue;
    }
    call.IsAnswered = true;
    after(milliseconds(1 + below(10)), [this, n, generation, finish] {
      deliverAnswer(n, generation, [this, n, finish] {
        Machines[n].Call.reset();
        finish();
      });
    });
  }
  after(RegistryStep, [this] { stepRegistry(); });
}

void OpenFlowModel::onFoundDead(std::size_t host, std::uint64_t identity) {
  Machines[host].FoundDead.try_emplace(identity, now());
}

// Servers

std::size_t OpenFlowModel::startServer(const std::string &service,
                                       std::size_t zone) {
  const auto n = Servers.size();
  auto &server = Servers.emplace_back();
  server.Zone = zone;
  server.StartedAt = now();
  server.Entry.Identity = n + 1;
  server.Entry.Name = absl::StrCat("s", n + 1);
  server.Entry.Service = service;
  server.Entry.Zone = ZoneNames[zone];
  server.Entry.Slots = Slots;
  server.Entry.Address = {FirstServerAddress + static_cast<std::uint32_t>(n),
                          8000};
  server.Entry.StartTimeMs =
      std::chrono::duration_cast<milliseconds>(now().time_since_epoch())
          .count();
  ServersByAddress[server.Entry.Address.key()] = n;
  at(now(), [this, n] { checkIn(n); });
  return n;
}

void OpenFlowModel::startAgain(std::size_t before, bool sameName) {
  const auto &old = Servers[before];
  if (old.IsRunning || ServersByAddress[old.Entry.Address.key()] != before)
    return;
  const auto service = sameName == (old.Entry.Service == "orders")
                           ? std::string("orders")
                           : std::string("sheets");
  const auto n = startServer(service, old.Zone);
  auto &server = Servers[n];
  ServersByAddress.erase(server.Entry.Address.key());
  server.Entry.Address = old.Entry.Address;
  if (sameName) {
    server.Entry.Name = old.Entry.Name;
    server.Entry.Identity = old.Entry.Identity;
  }
  ServersByAddress[server.Entry.Address.key()] = n;
  note(absl::StrCat(server.Entry.Name, " starts at the address of ",
                    old.Entry.Name));
}

void OpenFlowModel::checkIn(std::size_t n) {
  auto &server = Servers[n];
  if (!server.IsRunning)
    return;
  if (now() >= RegistryDownUntil && now() >= server.CutFromRegistryUntil &&
      now() >= server.SilentUntil) {
    ++server.Entry.Sequence;
    Registry.write(server.Entry, now() + Lease);
  }
  after(Heartbeat, [this, n] { checkIn(n); });
}

void OpenFlowModel::drain(std::size_t n, milliseconds extra) {
  auto &server = Servers[n];
  if (!server.IsRunning || server.Entry.State == ServerState::Draining ||
      now() < RegistryDownUntil || now() < server.CutFromRegistryUntil)
    return;
  note(absl::StrCat(server.Entry.Name, " drains for ",
                    (DrainTime + extra).count(), " ms"));
  server.Entry.State = ServerState::Draining;
  ++server.Entry.Sequence;
  Registry.write(server.Entry, now() + Lease);
  after(DrainTime + extra, [this, n] { endServer(n, /*isCrash=*/false); });
}

void OpenFlowModel::endServer(std::size_t n, bool isCrash) {
  auto &server = Servers[n];
  if (!server.IsRunning)
    return;
  note(server.Entry.Name + (isCrash ? " crashes" : " ends"));
  server.IsRunning = false;
  server.HasCrashed = isCrash;
  server.EndedAt = now();
  server.Flows.clear();
  if (!isCrash && now() >= RegistryDownUntil)
    Registry.remove(server.Entry.Name);
}

void OpenFlowModel::sendToServer(std::size_t host, const FlowPacket &packet,
                                 const routing::ServerRegistration &server,
                                 std::uint32_t tag) {
  const auto flow = FlowsById.at({packet.Source, packet.Destination});
  const auto it = ServersByAddress.find(server.Address.key());
  const std::optional<std::size_t> target =
      it != ServersByAddress.end() &&
              Servers[it->second].Entry.Identity == server.Identity
          ? std::optional(it->second)
          : std::nullopt;
  checkDirection(host, flow, target);
  if (!target)
    return;
  const auto &machine = Machines[host];
  const auto n = *target;
  const bool isCut =
      now() < machine.CutServersUntil && machine.CutServers.contains(n);
  if (isCut || !passes(machine.Zone, Servers[n].Zone))
    return;
  after(linkDelay(machine.Zone, Servers[n].Zone),
        [this, n, flow, packet, tag] { receive(n, flow, packet, tag); });
}

void OpenFlowModel::receive(std::size_t n, std::size_t flow,
                            const FlowPacket &packet, std::uint32_t tag) {
  auto &server = Servers[n];
  if (!server.IsRunning || now() < server.SilentUntil)
    return;
  auto it = server.Flows.find(flow);
  if (packet.Syn) {
    if (it == server.Flows.end()) {
      if (server.Queue.size() >= QueueLength || server.Flows.size() >= MaxFlows)
        return;
      it = server.Flows.try_emplace(flow).first;
      it->second.InitialSequence = static_cast<std::uint32_t>(Random());
      after(SynAckLifetime, [this, n, flow] {
        const auto found = Servers[n].Flows.find(flow);
        if (found != Servers[n].Flows.end() && !found->second.IsOpen)
          Servers[n].Flows.erase(found);
      });
    }
    it->second.Tag = tag;
    sendReply(n, flow, {ReplyKind::SynAck, n, it->second.InitialSequence, tag});
    return;
  }
  if (it == server.Flows.end()) {
    if (!packet.Rst && !packet.Fin)
      sendReply(n, flow, {ReplyKind::Reset, n, 0, tag});
    return;
  }
  auto &state = it->second;
  state.Tag = tag;
  const auto acknowledged = packet.Acknowledgement - state.InitialSequence;
  if (acknowledged > 1000 * ResponseSize)
    return; // The caller took another server's SYN-ACK.
  if (!state.IsOpen) {
    state.IsOpen = true;
    Flows[flow].OpenAt = n;
  }
  state.Acknowledged = std::max(state.Acknowledged,
                                static_cast<int>(acknowledged / ResponseSize));
  if (packet.Fin || packet.Rst) {
    Flows[flow].IsClosed = true;
    server.Flows.erase(it);
    return;
  }
  if (packet.PayloadSize == 0)
    return;
  const int request =
      static_cast<int>((packet.Sequence - FirstSequence) / RequestSize);
  if (request == state.Requests) {
    ++state.Requests;
    if (server.Queue.size() >= QueueLength) {
      // Rejected with an answer.
      ++state.Responses;
      respond(n, flow, request, FirstRepeat);
      return;
    }
    server.Queue.push_back(flow);
    startWork(n);
  } else if (request < state.Responses) {
    respond(n, flow, request, LongestRepeat);
  } else {
    sendReply(n, flow, {ReplyKind::Ack, n, state.InitialSequence, tag});
  }
}

void OpenFlowModel::startWork(std::size_t n) {
  auto &server = Servers[n];
  while (server.Busy < Slots && !server.Queue.empty()) {
    const auto flow = server.Queue.front();
    server.Queue.pop_front();
    ++server.Busy;
    auto work =
        std::min(std::exponential_distribution<double>(1 / MeanWorkMs)(Random),
                 MaxWorkFactor * MeanWorkMs);
    if (server.StartedAt != StartedAt && elapsed(server.StartedAt) < ColdTime)
      work *= ColdFactor;
    after(milliseconds(1 + static_cast<int>(work)), [this, n, flow] {
      auto &it = Servers[n];
      --it.Busy;
      if (!it.IsRunning)
        return;
      const auto found = it.Flows.find(flow);
      if (found != it.Flows.end()) {
        const int response = found->second.Responses++;
        respond(n, flow, response, FirstRepeat);
      }
      startWork(n);
    });
  }
}

void OpenFlowModel::respond(std::size_t n, std::size_t flow, int response,
                            milliseconds repeatAfter) {
  auto &server = Servers[n];
  const auto it = server.Flows.find(flow);
  if (!server.IsRunning || it == server.Flows.end() ||
      it->second.Acknowledged > response)
    return;
  Reply reply{ReplyKind::Response, n, it->second.InitialSequence,
              it->second.Tag, response};
  reply.IsLast = server.Entry.State == ServerState::Draining;
  sendReply(n, flow, reply);
  if (repeatAfter < LongestRepeat * MaxServerRepeats)
    after(std::min(repeatAfter, LongestRepeat),
          [this, n, flow, response, repeatAfter] {
            respond(n, flow, response, repeatAfter * 2);
          });
}

void OpenFlowModel::sendReply(std::size_t n, std::size_t flow, Reply reply) {
  auto &server = Servers[n];
  if (now() < server.SilentUntil)
    return;
  server.LastResponseAt = now();
  const auto zone = zoneOfCaller(Flows[flow].Id.Caller.Address);
  if (!passes(server.Zone, zone))
    return;
  after(linkDelay(server.Zone, zone),
        [this, flow, reply] { onReply(flow, reply); });
}

// Callers

void OpenFlowModel::nextRequest(std::size_t n,
                                std::optional<std::size_t> flow) {
  Channels[n].TriesLeft = MaxTries;
  if (flow && Flows[*flow].Phase == CallerPhase::Open)
    sendRequest(*flow);
  else
    openFlow(n);
}

void OpenFlowModel::openFlow(std::size_t n) {
  auto &channel = Channels[n];
  --channel.TriesLeft;
  const auto index = Flows.size();
  auto &flow = Flows.emplace_back();
  flow.Id = {{channel.Address, channel.NextPort++}, channel.Service};
  flow.Channel = n;
  flow.RequestedAt = now();
  FlowsById.emplace(flow.Id, index);
  sendSyn(index, 0);
}

void OpenFlowModel::sendSyn(std::size_t n, std::uint32_t copy) {
  if (Flows[n].Phase != CallerPhase::Opening)
    return;
  FlowPacket packet;
  packet.Syn = true;
  packet.Sequence = FirstSequence;
  packet.Acknowledgement = copy;
  sendPacket(n, packet);
  if (copy == 0)
    after(milliseconds(200), [this, n] { sendSyn(n, 1); });
  else if (copy == 1)
    after(milliseconds(400), [this, n] { sendSyn(n, 2); });
  if (copy == 0)
    after(OpeningTime, [this, n] {
      if (Flows[n].Phase == CallerPhase::Opening) {
        Flows[n].CallerEnd = "gave up opening";
        Flows[n].Phase = CallerPhase::Closed;
        onRequestFailed(n);
      }
    });
}

void OpenFlowModel::sendPacket(std::size_t n, FlowPacket packet) {
  const auto &flow = Flows[n];
  packet.Source = flow.Id.Caller;
  packet.Destination = flow.Id.Service;
  const auto zone = Channels[flow.Channel].Zone;
  const auto host = hostFor(flow.Id, zone);
  if (!host || !passes(zone, Machines[*host].Zone))
    return;
  after(linkDelay(zone, Machines[*host].Zone),
        [this, host, packet] { deliverPacket(*host, packet); });
}

void OpenFlowModel::sendRequest(std::size_t n) {
  auto &flow = Flows[n];
  const int request = flow.Requests++;
  flow.IsPending = true;
  flow.IsReceived = false;
  flow.RequestedAt = now();
  sendData(n, request, FirstRepeat);
  after(Channels[flow.Channel].Limit,
        [this, n, request] { giveUp(n, request); });
}

void OpenFlowModel::sendData(std::size_t n, int request,
                             milliseconds repeatAfter) {
  const auto &flow = Flows[n];
  if (flow.Phase != CallerPhase::Open || flow.Responses > request ||
      flow.IsReceived)
    return;
  FlowPacket packet;
  packet.Ack = true;
  packet.Sequence =
      FirstSequence + RequestSize * static_cast<std::uint32_t>(request);
  packet.Acknowledgement =
      flow.ServerSequence +
      ResponseSize * static_cast<std::uint32_t>(flow.Responses);
  packet.Echo = flow.Tag;
  packet.PayloadSize = RequestSize;
  sendPacket(n, packet);
  after(repeatAfter, [this, n, request, repeatAfter] {
    sendData(n, request, std::min(repeatAfter * 2, LongestRepeat));
  });
}

void OpenFlowModel::acknowledge(std::size_t n, bool isFin) {
  const auto &flow = Flows[n];
  FlowPacket packet;
  packet.Ack = true;
  packet.Fin = isFin;
  packet.Sequence =
      FirstSequence + RequestSize * static_cast<std::uint32_t>(flow.Requests);
  packet.Acknowledgement =
      flow.ServerSequence +
      ResponseSize * static_cast<std::uint32_t>(flow.Responses);
  packet.Echo = flow.Tag;
  sendPacket(n, packet);
}

void OpenFlowModel::onReply(std::size_t n, const Reply &reply) {
  auto &flow = Flows[n];
  if (flow.Phase == CallerPhase::Closed)
    return;
  if (reply.Kind == ReplyKind::Reset) {
    flow.Phase = CallerPhase::Closed;
    flow.IsClosed = true;
    flow.CallerEnd = "reset";
    const auto &server = flow.Server;
    if (flow.IsPending && server && Servers[*server].HasCrashed)
      ++(elapsed(std::max(flow.RequestedAt, Servers[*server].EndedAt)) <=
                 MaxResetTime
             ? DeadRequests.ResetInTime
             : DeadRequests.ResetLate);
    if (flow.IsPending || !server)
      onRequestFailed(n);
    else
      nextRequest(flow.Channel, std::nullopt);
    return;
  }
  if (reply.Kind == ReplyKind::SynAck) {
    if (flow.Phase == CallerPhase::Opening) {
      flow.Phase = CallerPhase::Open;
      flow.Server = reply.Server;
      flow.ServerSequence = reply.InitialSequence;
      flow.Tag = reply.Tag;
      acknowledge(n);
      sendRequest(n);
    } else if (flow.Server == reply.Server) {
      acknowledge(n);
    }
    return;
  }
  if (flow.Server != reply.Server)
    return;
  flow.Tag = reply.Tag;
  if (reply.Kind == ReplyKind::Ack) {
    flow.IsReceived = true;
    return;
  }
  if (reply.Response < flow.Responses) {
    acknowledge(n);
    return;
  }
  ++flow.Responses;
  flow.IsPending = false;
  ++AnsweredRequests;
  onRequestDone(n, reply.IsLast);
}

void OpenFlowModel::onRequestDone(std::size_t n, bool isLast) {
  auto &flow = Flows[n];
  const auto &channel = Channels[flow.Channel];
  const auto pause = milliseconds(static_cast<int>(
      std::min(std::exponential_distribution<double>(
                   1 / static_cast<double>(channel.Pause.count()))(Random),
               3000.0)));
  if (isLast || !channel.KeepsFlows) {
    acknowledge(n, /*isFin=*/true);
    flow.Phase = CallerPhase::Closed;
    flow.CallerEnd = "closed";
  } else {
    const int responses = flow.Responses;
    after(between(milliseconds(0), MaxAckDelay), [this, n, responses] {
      if (Flows[n].Responses == responses && !Flows[n].IsPending &&
          Flows[n].Phase == CallerPhase::Open)
        acknowledge(n);
    });
  }
  const auto index = flow.Channel;
  after(pause, [this, index, n] { nextRequest(index, n); });
}

void OpenFlowModel::onRequestFailed(std::size_t n) {
  const auto channel = Flows[n].Channel;
  if (Channels[channel].TriesLeft > 0)
    openFlow(channel);
  else
    after(Channels[channel].Pause,
          [this, channel] { nextRequest(channel, std::nullopt); });
}

void OpenFlowModel::giveUp(std::size_t n, int request) {
  auto &flow = Flows[n];
  if (flow.Phase != CallerPhase::Open || flow.Responses > request)
    return;
  if (flow.Server && Servers[*flow.Server].HasCrashed && !flow.IsReceived &&
      Channels[flow.Channel].Limit > MaxResetTime)
    ++DeadRequests.TimedOut;
  if (isOneIn(2))
    acknowledge(n, /*isFin=*/true);
  flow.Phase = CallerPhase::Closed;
  flow.CallerEnd = "gave up";
  onRequestFailed(n);
}

// Faults

void OpenFlowModel::configure() {
  ++Configuration.Version;
  Registry.configure(Configuration);
}

std::size_t OpenFlowModel::anyServer() { return below(Servers.size()); }

void OpenFlowModel::disturb(std::size_t n, TimePoint until) {
  Servers[n].DisturbedUntil = std::max(Servers[n].DisturbedUntil, until);
}

std::uint64_t OpenFlowModel::crashBusiestServer() {
  const auto busiest = std::ranges::max_element(
      Servers, {}, [](const Server &it) { return it.Flows.size(); });
  endServer(static_cast<std::size_t>(busiest - Servers.begin()),
            /*isCrash=*/true);
  return busiest->Entry.Identity;
}

void OpenFlowModel::scheduleFaults(milliseconds length) {
  for (std::size_t n = 2 + below(4); n > 0; --n)
    drawFault(now() + between(milliseconds(2000), length));
}

void OpenFlowModel::note(const std::string &fault) {
  absl::StrAppend(&Faults, "\n  ", timeText(now()), ": ", fault);
}

void OpenFlowModel::scheduleLateHost(TimePoint from) {
  // A host learns of a new route and a new server seconds after the others.
  const auto late = below(Machines.size());
  const auto other = below(Machines.size());
  const auto cut = between(milliseconds(1000), milliseconds(4000));
  at(from, [this, late, cut] {
    note(absl::StrCat("a new route and server; host ", late,
                      " hears of nothing for ", cut.count(), " ms"));
    Machines[late].CutFromControlUntil = now() + cut;
    startServer(isOneIn(2) ? "orders" : "sheets", below(ZoneCount));
    routing::Route route = Configuration.Routes.front();
    route.Address.Address = FirstRouteAddress + LastRoute++;
    route.Name = absl::StrCat("r", LastRoute);
    Configuration.Routes.push_back(route);
    configure();
    for (std::size_t n = 0; n < 6; ++n)
      Channels[below(Channels.size())].Service = route.Address;
  });
  // The flows move to other hosts meanwhile.
  const auto pause = between(milliseconds(300), milliseconds(2000));
  at(from + between(milliseconds(300), milliseconds(1500)),
     [this, other, pause] { pauseHost(other, pause); });
}

void OpenFlowModel::scheduleStartWithoutView(TimePoint from) {
  // Hosts start while the registry is away, and hear nothing of other hosts.
  const auto zone = below(ZoneCount);
  const bool isWholeZone = isOneIn(2);
  const auto outage = between(milliseconds(1000), milliseconds(6000));
  at(from, [this, zone, isWholeZone, outage] {
    takeRegistryAway(outage);
    for (std::size_t n = 0; n < Machines.size(); ++n)
      if (isWholeZone ? Machines[n].Zone == zone : !isOneIn(3)) {
        Machines[n].CutFromControlUntil = now() + outage;
        restartHost(n);
      }
  });
}

void OpenFlowModel::restartHost(std::size_t n) {
  note(absl::StrCat("host ", n, " restarts"));
  stopProcess(n);
  after(between(milliseconds(100), milliseconds(1500)), [this, n] {
    if (Machines[n].Process == nullptr)
      startProcess(n, /*isFirstStart=*/false);
  });
}

void OpenFlowModel::replaceHost(std::size_t n) {
  if (!canRun(n))
    return;
  note(absl::StrCat("host ", n, " leaves"));
  Machines[n].Process->stop();
  const auto generation = Machines[n].Generation;
  after(milliseconds(1500), [this, n, generation] {
    if (Machines[n].Generation == generation)
      restartHost(n);
  });
}

void OpenFlowModel::takeRegistryAway(milliseconds time) {
  note(absl::StrCat("the registry is away for ", time.count(), " ms"));
  RegistryDownUntil = std::max(RegistryDownUntil, now() + time);
  IsRegistrySilent = isOneIn(2);
}

void OpenFlowModel::pauseZone(std::size_t host, TimePoint from) {
  const bool isWholeZone = isOneIn(3);
  for (std::size_t n = 0; n < Machines.size(); ++n) {
    if (n != host && !(isWholeZone && Machines[n].Zone == Machines[host].Zone))
      continue;
    const auto pause = isOneIn(2)
                           ? between(milliseconds(100), milliseconds(700))
                           : between(milliseconds(600), milliseconds(5000));
    at(from, [this, n, pause] { pauseHost(n, pause); });
  }
}

void OpenFlowModel::loseEntry(milliseconds time, std::size_t host) {
  auto &server = Servers[anyServer()];
  server.CutFromRegistryUntil =
      now() + (isOneIn(2) ? milliseconds(20000) : time);
  if (isOneIn(2))
    Registry.remove(server.Entry.Name);
  note(absl::StrCat(server.Entry.Name, " does not reach the registry"));
  after(time, [this, host] { restartHost(host); });
}

void OpenFlowModel::drainServers() {
  for (std::size_t n = 1 + below(3); n > 0; --n) {
    const auto server = anyServer();
    const auto extra = isOneIn(2)
                           ? milliseconds(200)
                           : between(milliseconds(500), milliseconds(6000));
    drain(server, extra);
    after(DrainTime + extra + AddressReuseTime,
          [this, server] { startAgain(server, /*sameName=*/false); });
  }
}

void OpenFlowModel::crashServer() {
  const auto server = anyServer();
  endServer(server, /*isCrash=*/true);
  const bool sameName = isOneIn(2);
  after(sameName ? between(milliseconds(300), milliseconds(4000))
                 : AddressReuseTime,
        [this, server, sameName] { startAgain(server, sameName); });
}

void OpenFlowModel::dropRoute() {
  // The first two stay.
  if (Configuration.Routes.size() < 3)
    return;
  const auto address = Configuration.Routes.back().Address;
  note("route " + toString(address) + " is dropped");
  DroppedRoutes.insert(address.key());
  for (auto &it : Channels)
    if (it.Service == address)
      it.Service = Configuration.Routes.front().Address;
  Configuration.Routes.pop_back();
  configure();
}

void OpenFlowModel::loseLinks(milliseconds time, std::size_t host) {
  if (isOneIn(2)) {
    note(absl::StrCat("the zones are cut for ", time.count(), " ms"));
    ZonesCutUntil = now() + time;
    return;
  }
  note(absl::StrCat("host ", host, " is cut from servers for ", time.count(),
                    " ms"));
  auto &machine = Machines[host];
  machine.CutServers.clear();
  machine.CutServersUntil = now() + time;
  for (std::size_t n = 0; n < Servers.size(); ++n)
    if (isOneIn(3)) {
      machine.CutServers.insert(n);
      disturb(n, now() + time);
    }
}

void OpenFlowModel::drawFault(TimePoint from) {
  const auto host = below(Machines.size());
  const auto time = between(milliseconds(500), milliseconds(5000));
  switch (below(16)) {
  case 0:
  case 1:
    pauseZone(host, from);
    break;
  case 2:
    at(from, [this, host] { restartHost(host); });
    break;
  case 3:
  case 4:
    scheduleStartWithoutView(from);
    break;
  case 5: // The registry is away so long that entries expire.
    at(from, [this, time, host] {
      takeRegistryAway(time);
      after(time - between(milliseconds(0), time / 4),
            [this, host] { restartHost(host); });
      // Some servers reach the registry only later, or not at all.
      for (auto &it : Servers)
        if (isOneIn(4))
          it.CutFromRegistryUntil =
              now() + time + between(milliseconds(0), milliseconds(8000));
    });
    break;
  case 6:
  case 7:
    at(from, [this, time, host] { loseEntry(time, host); });
    break;
  case 8:
    at(from, [this] { drainServers(); });
    break;
  case 9:
  case 10:
    at(from, [this] { crashServer(); });
    break;
  case 11:
    at(from, [this] {
      const auto zone = below(ZoneCount);
      Loss[zone] = 0.05 + 0.01 * static_cast<double>(below(30));
      LossyUntil[zone] = now() + between(milliseconds(500), milliseconds(3000));
      note("packets are lost in zone " + ZoneNames[zone]);
    });
    break;
  case 12:
    at(from, [this, time, host] { loseLinks(time, host); });
    break;
  case 13:
    at(from, [this] {
      const auto server = anyServer();
      const auto until = now() + between(milliseconds(300), milliseconds(3000));
      Servers[server].SilentUntil = until;
      disturb(server, until);
      note(Servers[server].Entry.Name + " is silent until " + timeText(until));
    });
    break;
  case 14:
    scheduleLateHost(from);
    break;
  default:
    at(from, [this, time] {
      note(absl::StrCat("messages between hosts are late or lost for ",
                        time.count(), " ms"));
      GossipDisturbedUntil = now() + time;
    });
    scheduleLateHost(from + milliseconds(200));
    break;
  }
  if (isOneIn(6))
    at(from + time, [this] { dropRoute(); });
  if (isOneIn(3))
    at(from + time / 2, [this, host] { replaceHost(host); });
}

// Oracle

bool OpenFlowModel::isExcused(std::size_t n, std::size_t hostZone,
                              std::size_t callerZone) const {
  const auto &server = Servers[n];
  const auto isRecent = [&](TimePoint until) {
    return until != TimePoint() && now() < until + ExcuseTime;
  };
  return isRecent(server.DisturbedUntil) || isRecent(LossyUntil[server.Zone]) ||
         isRecent(LossyUntil[hostZone]) || isRecent(LossyUntil[callerZone]) ||
         ((hostZone != server.Zone || callerZone != server.Zone) &&
          isRecent(ZonesCutUntil));
}

void OpenFlowModel::resetFlow(std::size_t host,
                              const routing::RefusedPacket &refused) {
  const auto flow = FlowsById.at(refused.Flow);
  checkReset(host, flow, refused);
  const auto zone = zoneOfCaller(refused.Flow.Caller.Address);
  if (!passes(Machines[host].Zone, zone))
    return;
  Reply reply;
  reply.Kind = ReplyKind::Reset;
  after(linkDelay(Machines[host].Zone, zone),
        [this, flow, reply] { onReply(flow, reply); });
}

void OpenFlowModel::checkReset(std::size_t host, std::size_t n,
                               const routing::RefusedPacket &refused) {
  const auto &flow = Flows[n];
  if (!flow.OpenAt || flow.IsClosed)
    return;
  ++ResetsOfOpenFlows;
  const auto &server = Servers[*flow.OpenAt];
  if (!server.IsRunning || !server.Flows.contains(n) ||
      DroppedRoutes.contains(flow.Id.Service.key()) ||
      isExcused(*flow.OpenAt, Machines[host].Zone,
                zoneOfCaller(flow.Id.Caller.Address)))
    return;
  std::string rule(toString(refused.Why));
  if (refused.End)
    rule += "/" + std::string(toString(refused.End.Reason));
  if (refused.IsSyn)
    rule += "/syn";
  Violations.push_back(
      {rule, absl::StrCat(timeText(now()), ": host ", host, " of zone ",
                          ZoneNames[Machines[host].Zone], " reset open flow ",
                          toString(refused.Flow), " of a caller in zone ",
                          ZoneNames[zoneOfCaller(flow.Id.Caller.Address)], " (",
                          rule, ", ", refused.End.RequestCount, " requests, ",
                          refused.End.SynCount, " SYNs, silent for ",
                          refused.End.Silence.count(),
                          " ms): ", describe(*flow.OpenAt, n))});
}

void OpenFlowModel::checkVerdicts() {
  for (std::size_t host = 0; host < Machines.size(); ++host) {
    if (!canRun(host))
      continue;
    const auto zone = Machines[host].Zone;
    for (std::size_t n = 0; n < Servers.size(); ++n) {
      const auto &server = Servers[n];
      // Callers of both zones may have sent the evidence.
      if (!server.IsRunning || !Machines[host].Process->isDead(server.Entry) ||
          isExcused(n, zone, 0) || isExcused(n, zone, 1))
        continue;
      Violations.push_back(
          {"dead", absl::StrCat(timeText(now()), ": host ", host, " of zone ",
                                ZoneNames[zone], " takes ", server.Entry.Name,
                                " for dead, which sent its last packet at ",
                                timeText(server.LastResponseAt))});
    }
  }
}

void OpenFlowModel::checkDirection(std::size_t host, std::size_t n,
                                   std::optional<std::size_t> server) {
  auto &flow = Flows[n];
  if (!flow.OpenAt || flow.IsClosed || !Servers[*flow.OpenAt].IsRunning ||
      server == flow.OpenAt) {
    flow.MisdirectedPackets = 0;
    return;
  }
  if (!server)
    return;
  if (flow.MisdirectedPackets++ == 0)
    flow.MisdirectedSince = now();
  if (flow.MisdirectedPackets < MaxMisdirectedPackets ||
      now() - flow.MisdirectedSince < MaxMisdirectedTime ||
      isExcused(*flow.OpenAt, Machines[host].Zone,
                zoneOfCaller(flow.Id.Caller.Address)))
    return;
  flow.MisdirectedPackets = 0;
  Violations.push_back(
      {"misdirected",
       absl::StrCat(timeText(now()), ": packets of flow ", toString(flow.Id),
                    " go to ", Servers[*server].Entry.Name, " instead of ",
                    describe(*flow.OpenAt, n))});
}

std::string OpenFlowModel::timeText(TimePoint time) const {
  return time == TimePoint()
             ? std::string("never")
             : absl::StrCat(
                   std::chrono::duration_cast<milliseconds>(time - StartedAt)
                       .count(),
                   " ms");
}

std::string OpenFlowModel::describe(std::size_t n,
                                    std::size_t flowIndex) const {
  const auto &server = Servers[n];
  const auto &flow = Flows[flowIndex];
  return absl::StrCat(
      server.Entry.Name, " of ", server.Entry.Service, " in zone ",
      server.Entry.Zone, ", started at ", timeText(server.StartedAt), ", ",
      server.Entry.State == ServerState::Draining ? "draining" : "ready",
      Registry.holds(server.Entry.Name) ? ", registered" : ", not registered",
      ", sent its last packet at ", timeText(server.LastResponseAt),
      "; the flow's ", flow.Requests, " requests have ", flow.Responses,
      " responses, the last request was sent at ", timeText(flow.RequestedAt),
      ", its caller: ", flow.CallerEnd);
}

std::vector<std::optional<milliseconds>>
OpenFlowModel::timesToFindDead(std::uint64_t identity) const {
  std::vector<std::optional<milliseconds>> times;
  const auto &server = Servers[identity - 1];
  for (const auto &it : Machines) {
    if (it.Zone != server.Zone)
      continue;
    const auto found = it.FoundDead.find(identity);
    if (found == it.FoundDead.end())
      times.emplace_back();
    else
      times.emplace_back(std::chrono::duration_cast<milliseconds>(
          found->second - server.EndedAt));
  }
  return times;
}

} // namespace auburnroute::unittests
