#include "UnitTests/Fleet/FleetModel.h"

#include "Fleet/GossipCodec.h"

#include <algorithm>
#include <utility>

namespace auburnroute::unittests {

using common::TimePoint;
using fleet::GossipCodec;
using fleet::RegistryFailure;
using routing::ServerState;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds RoundInterval{500};
constexpr std::uint32_t FirstAddress = 0x0a800001; // 10.128.0.1

} // namespace

FleetModel::FleetModel(std::uint64_t seed, bool placementEvacuates)
    : Random(seed), MaxChanges(seed % 4 == 0 ? 2 : GossipCodec::MaxChanges),
      Registry(seed, Clock.now()), PlacementEvacuates(placementEvacuates) {
  Hosts.resize(HostCount);
  for (std::size_t n = 0; n < HostCount; ++n)
    restartHost(n);
}

void FleetModel::restartHost(std::size_t n) {
  Hosts[n] = std::make_unique<Host>(
      RegistryModel::ZoneNames[n % RegistryModel::ZoneNames.size()]);
  Hosts[n]->StartedAt = Clock.now();
  if (PlacementEvacuates)
    Hosts[n]->Placement.setParts(
        {.Evacuations = &Hosts[n]->Fixture.View.evacuations()});
}

void FleetModel::run(milliseconds time, bool isCalm) {
  IsCalm = isCalm;
  if (isCalm)
    Registry.endFaults();
  const auto end = Clock.now() + time;
  while (Clock.now() < end) {
    Clock.advance(Step);
    const auto now = Clock.now();
    Registry.step(now);
    if (!isCalm && below(12) == 0)
      Registry.change(now);
    if (!isCalm && below(30) == 0)
      injectFault();
    for (std::size_t n = 0; n < HostCount; ++n)
      if (now >= Hosts[n]->FrozenUntil)
        poll(n);
  }
}

void FleetModel::injectFault() {
  const auto until = Clock.now() + milliseconds(500 + below(6000));
  const auto n = below(HostCount);
  switch (below(4)) {
  case 0:
    Hosts[n]->FrozenUntil = until;
    break;
  case 1:
    Hosts[n]->CutFromPeersUntil = until;
    break;
  case 2:
    Hosts[n]->CutFromRegistryUntil = until;
    break;
  default:
    restartHost(n);
  }
}

void FleetModel::poll(std::size_t n) {
  auto &host = *Hosts[n];
  const auto now = Clock.now();
  auto &view = host.Fixture.View;
  receive(n);
  finishFetch(n);
  pollCall(n);
  view.reconcileEra(now);
  view.discardExpired(now);
  if (now >= host.NextRound || view.changeCount() != host.AnnouncedChangeCount)
    gossip(n, now < host.NextRound);
  checkPromises(n);
}

void FleetModel::pollCall(std::size_t n) {
  auto &host = *Hosts[n];
  const auto now = Clock.now();
  const auto &view = host.Fixture.View;
  // A starting host waits for the view of a peer first.
  host.Reader.setActive(
      view.isComplete()
          ? n == 0 || view.age(now) > host.Reader.timing().takeoverAge(n, true)
          : now - host.StartedAt > milliseconds(100));
  if (!host.Call) {
    const auto call = host.Reader.nextCall(now);
    if (!call)
      return;
    ++RegistryCalls;
    host.Call = PendingCall{*call, now, {}, std::nullopt};
  }
  auto &call = *host.Call;
  const bool isReachable =
      now >= host.CutFromRegistryUntil && !Registry.isDown(now);
  if (!call.Answer && isReachable) {
    call.Answer = Registry.answer(call.Call, call.SentAt, now);
    // Some answers are late, and arrive after a restore that they don't know.
    call.DeliveredAt =
        now + milliseconds(!IsCalm && below(20) == 0 ? below(1500) : below(60));
  }
  const bool isReset =
      !call.Answer && Registry.isDown(now) && !Registry.isSilent();
  if (isReset || now - call.SentAt > call.Call.Timeout) {
    host.Call.reset();
    host.Reader.onFailure(RegistryFailure::Unreachable, now);
  } else if (call.Answer && now >= call.DeliveredAt &&
             now >= host.CutFromRegistryUntil) {
    const auto done = *std::exchange(host.Call, std::nullopt);
    deliver(host, done);
  }
}

void FleetModel::deliver(Host &host, const PendingCall &call) {
  const auto now = Clock.now();
  host.Reader.onEra(call.Answer->Era);
  if (const auto *failure = std::get_if<RegistryFailure>(&call.Answer->Content))
    host.Reader.onFailure(*failure, now);
  else
    host.Reader.onPage(std::get<fleet::RegistryPage>(call.Answer->Content),
                       now);
}

void FleetModel::gossip(std::size_t n, bool toAll) {
  auto &host = *Hosts[n];
  const auto now = Clock.now();
  const auto &view = host.Fixture.View;
  if (now >= host.NextRound)
    host.NextRound = now + RoundInterval;
  host.AnnouncedChangeCount = view.changeCount();
  if (now < host.CutFromPeersUntil)
    return;
  fleet::GossipMessage message;
  message.Sender = {FirstAddress + static_cast<std::uint32_t>(n), "a", 1, 1,
                    false};
  message.Changes = view.recentChanges(MaxChanges);
  message.ViewAge = view.age(now);
  const auto bytes = GossipCodec::encode(message);
  for (std::size_t to = 0; to < HostCount; ++to) {
    if (to == n || (!toAll && below(2) == 0) || (!IsCalm && below(10) == 0))
      continue;
    const auto delay =
        !IsCalm && below(30) == 0 ? 2000 + below(4000) : 1 + below(80);
    if (now >= Hosts[to]->CutFromPeersUntil)
      Hosts[to]->Inbox.push_back({now + milliseconds(delay), n, bytes});
  }
}

void FleetModel::receive(std::size_t n) {
  auto &host = *Hosts[n];
  auto &view = host.Fixture.View;
  const auto now = Clock.now();
  std::vector<Datagram> arrived;
  std::erase_if(host.Inbox, [&](Datagram &it) {
    if (it.At > now)
      return false;
    // What arrived while the process was stopped is discarded, see
    // EdgeNode::detectPause().
    if (it.At >= host.FrozenUntil)
      arrived.push_back(std::move(it));
    return true;
  });
  for (const auto &it : arrived) {
    const auto message = GossipCodec::decode(it.Bytes);
    if (!message || message->Changes.To == 0)
      continue;
    if (!view.applyPeerChanges(message->Changes, message->ViewAge, now) &&
        !host.Fetch)
      host.Fetch = SnapshotFetch{now + milliseconds(10 + below(100)), it.From};
  }
}

void FleetModel::finishFetch(std::size_t n) {
  auto &host = *Hosts[n];
  const auto now = Clock.now();
  if (!host.Fetch || now < host.Fetch->At)
    return;
  const auto &peer = *Hosts[std::exchange(host.Fetch, std::nullopt)->From];
  const bool isCut = now < host.CutFromPeersUntil ||
                     now < peer.CutFromPeersUntil || now < peer.FrozenUntil;
  if (isCut || !peer.Fixture.View.isComplete())
    return;
  auto &view = host.Fixture.View;
  fleet::AgedSnapshot answer{
      peer.Fixture.View.snapshotSince(view.revision(),
                                      view.configurationVersion(), view.era()),
      peer.Fixture.View.age(now)};
  answer.View.EraAge = peer.Fixture.View.eraAge(now);
  const auto bytes = GossipCodec::encode(answer);
  if (const auto snapshot = GossipCodec::decodeSnapshot(bytes))
    view.applySnapshot(snapshot->View, snapshot->Age, now);
}

void FleetModel::report(std::size_t n, const std::string &text) {
  BrokenPromises.push_back(
      "host " + std::to_string(n) + " at " +
      std::to_string(std::chrono::duration_cast<milliseconds>(
                         Clock.now() - common::ManualClock().now())
                         .count()) +
      " ms: " + text);
}

TimePoint FleetModel::contactSince(const Host &host) const {
  return std::max(
      {host.FrozenUntil, host.CutFromRegistryUntil, Registry.downUntil()});
}

void FleetModel::checkEvacuations(std::size_t n) {
  auto &host = *Hosts[n];
  const auto now = Clock.now();
  const auto &view = host.Fixture.View;
  if (!view.isComplete())
    return;
  const bool hadContact = now - contactSince(host) > ContactTime;
  // Without other reasons, the least loaded server of the service is chosen.
  const auto placed = host.Placement.choose(
      host.Fixture.Directory.serviceNames().idOf("orders"), {}, true, now);
  if (placed) {
    const auto &zone = host.Fixture.Directory.at(*placed).Registration.Zone;
    const auto it = Registry.requested().find(zone);
    if (hadContact && it != Registry.requested().end() &&
        now - it->second > EvacuationBound)
      report(n, "places a flow in the evacuated zone " + zone);
  }
  for (const auto name : RegistryModel::ZoneNames) {
    const std::string zone(name);
    const bool isRequested = Registry.requested().contains(zone);
    const bool isEvacuated = view.evacuations().isEvacuated(zone);
    if (isRequested) {
      const auto since = Registry.requested().at(zone);
      const auto it = host.Evacuated.find(zone);
      // A restored registry may not hold the request for a while.
      if (it != host.Evacuated.end() && it->second == since && !isEvacuated)
        report(n, "ended the evacuation of zone " + zone);
      // Before, it may be that of an earlier request.
      if (hadContact && isEvacuated && now - since > EvacuationBound)
        host.Evacuated[zone] = since;
    }
    if (!hadContact)
      continue;
    ++EvacuationChecks;
    // A view keeps what a restore removed, until it is reconciled. A host that
    // learns of the restore late, or starts then, may get it from a late peer.
    constexpr auto RewriteTime = fleet::FleetView::MinRewriteTime;
    const auto endedAt = std::max(Registry.lastEvacuated(zone),
                                  Registry.downUntil() + RewriteTime);
    if (isEvacuated && !isRequested && now - endedAt > EvacuationBound &&
        now - std::max(contactSince(host), host.StartedAt) >
            ContactTime + RewriteTime)
      report(n, "keeps zone " + zone + " evacuated");
  }
}

void FleetModel::checkPromises(std::size_t n) {
  checkEvacuations(n);
  auto &host = *Hosts[n];
  const auto version = host.Fixture.View.configurationVersion();
  if (version < host.HighestVersion)
    report(n, "configuration " + std::to_string(version) + " after " +
                  std::to_string(host.HighestVersion));
  host.HighestVersion = version;
  for (const auto &it : host.Fixture.Directory.all()) {
    if (!it.IsOccupied)
      continue;
    const auto &server = it.Registration;
    const std::pair run(server.Name, server.StartTimeMs);
    if (server.State == ServerState::Draining)
      host.Drained.insert(run);
    else if (server.State == ServerState::Ready && host.Drained.contains(run))
      report(n, server.Name + " is ready after it was draining");
  }
}

std::vector<std::string> FleetModel::faults() const {
  auto all = BrokenPromises;
  const auto &stored = Registry.servers();
  for (std::size_t n = 0; n < HostCount; ++n) {
    const auto &fixture = Hosts[n]->Fixture;
    const auto differ = [&](const std::string &what) {
      all.push_back("host " + std::to_string(n) + " in the end: " + what);
    };
    if (fixture.View.configurationVersion() != Registry.newestVersion())
      differ("configuration " +
             std::to_string(fixture.View.configurationVersion()) +
             ", expected " + std::to_string(Registry.newestVersion()));
    if (fixture.View.age(Clock.now()) > ChangeBound)
      differ("the view is " +
             std::to_string(fixture.View.age(Clock.now()).count()) + " ms old");
    for (const auto name : RegistryModel::ZoneNames)
      if (const std::string zone(name); fixture.View.evacuations().isEvacuated(
                                            zone) != Registry.isEvacuated(zone))
        differ("the evacuation of zone " + zone + " is not as in the registry");
    for (const auto &[name, it] : stored) {
      const auto *known = fixture.Directory.findByName(name);
      if (known == nullptr || known->Registration.State != it.Entry.State ||
          known->Registration.Address != it.Entry.Address ||
          known->Registration.StartTimeMs != it.Entry.StartTimeMs)
        differ(name + " is not as registered");
    }
    for (const auto &it : fixture.Directory.all())
      if (it.IsOccupied && it.Registration.State != ServerState::Lapsed &&
          !stored.contains(it.Registration.Name))
        differ(it.Registration.Name + " is not registered");
  }
  return all;
}

} // namespace auburnroute::unittests
