#include "Coordination/Membership/Membership.h"

#include "Coordination/Membership/HostReport.h"
#include "Coordination/Membership/ZoneView.h"

#include <algorithm>
#include <utility>

namespace auburnroute::membership {

using common::TimePoint;
using state::Host;
using state::HostState;

namespace {

constexpr std::size_t MaxTransitions = 1024;

} // namespace

Membership::Membership(TimePoint now, HostIdentity self,
                       MembershipOptions options)
    : Self(std::move(self)), Options(std::move(options)),
      Confirmed(Options.JoinTimeout), Sender(now, Options), LastTick(now),
      NextForget(now) {
  auto &host = *Hosts.add(Self.Name);
  host.Addresses = Self.Addresses;
  host.Incarnation = Self.Incarnation;
  host.StateSince = host.LastHeard = now;
  Confirmed.restart(now, 1);
  refresh(now);
}

// --- Events ---

void Membership::onHostList(TimePoint now, const messages::HostList &list) {
  for (auto &[name, host] : Hosts)
    host.Listed = false;
  for (const auto &it : list.Hosts)
    if (it.Zone == Self.Zone)
      onListedHost(now, it);
  for (auto &[name, peer] : Peers) {
    const auto *host = Hosts.find(name);
    peer.ListedLeaving = peer.ListedLeaving && host != nullptr && host->Listed;
  }
  refresh(now);
}

void Membership::onListedHost(TimePoint now,
                              const messages::ListedHost &listed) {
  const bool isNew = Hosts.find(listed.Name) == nullptr;
  auto *host = addHost(now, listed.Name);
  if (host == nullptr)
    return;
  host->Listed = true;
  if (host->Incarnation == 0)
    host->Addresses = listed.Addresses;
  if (isNew)
    publish(*host);
  // The list may still show the state of an earlier incarnation, so only the
  // change to leaving counts.
  auto &peer = Peers[listed.Name];
  if (listed.Leaving && !peer.ListedLeaving)
    markLeaving(now, *host);
  peer.ListedLeaving = listed.Leaving;
}

void Membership::onHeartbeat(TimePoint now,
                             const messages::PeerMessage &message) {
  const auto *body = std::get_if<messages::Heartbeat>(&message.Body);
  const bool otherZone = body != nullptr && body->Intro.has_value() &&
                         body->Intro->Zone != Self.Zone;
  if (body == nullptr || otherZone || message.Sender == Self.Name ||
      message.Incarnation == 0) {
    ++Counters.HeartbeatsIgnored;
    return;
  }
  auto *host = Hosts.find(message.Sender);
  if (host == nullptr && body->Intro)
    host = addHost(now, message.Sender);
  if (host == nullptr || message.Incarnation < host->Incarnation ||
      (message.Incarnation == host->Incarnation &&
       message.Sequence < host->Sequence)) {
    ++Counters.HeartbeatsIgnored;
    return;
  }
  ++Counters.HeartbeatsTaken;
  auto &peer = Peers[message.Sender];
  const bool isNew = takeNewIncarnation(*host, message.Incarnation);
  // A report of this very sequence came first; it stands.
  const bool stands = message.Sequence == host->Sequence && isDown(host->State);
  host->Sequence = message.Sequence;
  if (body->Intro)
    host->Addresses = body->Intro->Addresses;
  if (body->State == HostState::Leaving)
    markLeaving(now, *host);
  if (!stands) {
    host->LastHeard = now;
    peer.OnDemandProbePending = false;
    setState(now, *host, host->Leaving ? HostState::Leaving : body->State);
  }
  if (isNew)
    publish(*host);
  peer.HeardIncarnation = message.Incarnation;
  peer.HeardSequence = message.Sequence;
  peer.KnowsMe = body->EchoIncarnation == lowBits(Self.Incarnation);
  peer.ViewDiffers = body->ViewDigest != ViewDigest;
  peer.AnswerDue =
      peer.AnswerDue || body->Probe ||
      (!body->Answer && (!peer.Watched || body->State == HostState::Joining));
  if (peer.KnowsMe)
    Confirmed.onEcho(body->EchoSequence, body->Settings);
  for (const auto &it : body->Updates)
    onUpdate(now, it);
  refresh(now);
}

void Membership::onUpdate(TimePoint now, const messages::HostUpdate &update) {
  if (update.Host == Self.Name)
    return onUpdateOfSelf(now, update);
  auto *host = Hosts.find(update.Host);
  if (host == nullptr) {
    // A dead host that is not known here is on its way to being forgotten.
    host =
        update.State == HostState::Dead ? nullptr : addHost(now, update.Host);
    if (host == nullptr)
      return;
    host->Addresses = update.Addresses;
    publish(*host);
  }
  if (position(update) < position(*host)) {
    // The reporter lags behind; what is known here refutes it.
    if (isDown(update.State) && !isDown(host->State))
      publish(*host);
  } else if (position(update) > position(*host)) {
    if (takeNewIncarnation(*host, update.Incarnation)) {
      host->Addresses = update.Addresses;
      publish(*host);
    }
    if (isDown(host->State) && !isDown(update.State))
      host->LastHeard = now;
    host->Sequence = update.Sequence;
    setState(now, *host,
             host->Leaving && !isDown(update.State) ? HostState::Leaving
                                                    : update.State);
  }
  if (update.Leaving && update.Incarnation == host->Incarnation)
    markLeaving(now, *host);
}

void Membership::onUpdateOfSelf(TimePoint now,
                                const messages::HostUpdate &update) {
  if (update.Incarnation > Self.Incarnation) {
    // An earlier process of this name had a clock that ran ahead. Its peers
    // would ignore this one as the older of the two.
    Self.Incarnation = update.Incarnation + 1;
    Hosts.find(Self.Name)->Incarnation = Self.Incarnation;
    Sender.hurry();
    Changed = true;
    return;
  }
  if (update.Incarnation < Self.Incarnation)
    return;
  if (isDown(update.State)) {
    // The next round has a higher sequence, which refutes the report.
    ++Counters.Refutations;
    Sender.hurry();
  }
  if (update.Leaving)
    announceLeaving(now);
}

std::vector<messages::OutgoingMessage>
Membership::requestProbe(TimePoint now, std::string_view name) {
  std::vector<messages::OutgoingMessage> out;
  auto *host = Hosts.find(name);
  const auto it = Peers.find(name);
  if (host == nullptr || it == Peers.end() || !it->second.Watched ||
      host->State != HostState::Live ||
      now - it->second.OnDemandProbeSince < Options.OnDemandProbeInterval)
    return out;
  auto &peer = it->second;
  Sender.sendTo(source(), *host, Sender.nextSequence(), {}, true, out);
  peer.OnDemandProbeSince = peer.LastProbe = now;
  peer.OnDemandProbePending = !out.empty();
  Counters.Probes += out.size();
  Counters.OnDemandProbes += out.size();
  Counters.HeartbeatsSent += out.size();
  return out;
}

void Membership::onSettings(TimePoint now, messages::SettingsStamp stamp) {
  if (stamp == Settings)
    return;
  Settings = stamp;
  Sender.hurry();
  if (Confirmed.update(now, Settings))
    Changed = true;
  refresh(now);
}

void Membership::setServices(const std::vector<std::string> &services) {
  Owners.setServices(services);
  ++OwnershipVersion;
}

void Membership::announceLeaving(TimePoint now) {
  if (SelfLeaving)
    return;
  SelfLeaving = true;
  Sender.hurry();
  Changed = true;
  refresh(now);
}

// --- Queries ---

HostState Membership::selfState() const {
  if (SelfLeaving)
    return HostState::Leaving;
  return Confirmed.confirmed() ? HostState::Live : HostState::Joining;
}

std::optional<std::string>
Membership::admissionOwner(std::string_view service) const {
  const auto *owner = Owners.find(service);
  return owner != nullptr ? std::optional(*owner) : std::nullopt;
}

bool Membership::isSettingsReader() const {
  return std::find(Readers.begin(), Readers.end(), Self.Name) != Readers.end();
}

std::optional<common::Endpoint>
Membership::peerEndpoint(std::string_view host) const {
  const auto *it = Hosts.find(host);
  if (it == nullptr || !known(it->Addresses.Peer))
    return std::nullopt;
  return it->Addresses.Peer;
}

messages::PeerMessage Membership::stamp(messages::PeerBody body) {
  return {Self.Name, Self.Incarnation, Sender.nextSequence(), std::move(body)};
}

// --- Changes of a host ---

Host *Membership::addHost(TimePoint now, std::string_view name) {
  auto *host = Hosts.find(name);
  if (host != nullptr)
    return host;
  host = Hosts.add(name);
  if (host == nullptr)
    return nullptr;
  host->LastHeard = host->StateSince = now;
  Peers.try_emplace(std::string(name));
  Changed = true;
  return host;
}

bool Membership::takeNewIncarnation(Host &host, std::uint64_t incarnation) {
  if (incarnation <= host.Incarnation)
    return false;
  // A mark from before the host was first heard of stays in force.
  host.Leaving = host.Leaving && host.Incarnation == 0;
  host.Incarnation = incarnation;
  host.Sequence = 0;
  auto &peer = Peers[host.Name];
  peer.KnowsMe = peer.OnDemandProbePending = false;
  peer.HeardSequence = 0;
  Changed = true;
  return true;
}

void Membership::markLeaving(TimePoint now, Host &host) {
  if (host.Name == Self.Name)
    return announceLeaving(now);
  if (host.Leaving || host.State == HostState::Dead)
    return;
  host.Leaving = Changed = true;
  if (!isDown(host.State))
    setState(now, host, HostState::Leaving);
  publish(host);
}

void Membership::setState(TimePoint now, Host &host, HostState state) {
  if (host.State == state)
    return;
  if (Transitions.size() < MaxTransitions)
    Transitions.push_back({host.Name, host.Incarnation, host.State, state});
  host.State = state;
  host.StateSince = now;
  publish(host);
}

void Membership::publish(const Host &host) {
  Sender.addNews(host.Name);
  Changed = true;
}

// --- Time ---

std::vector<messages::OutgoingMessage> Membership::onTick(TimePoint now) {
  if (now - LastTick > Options.PauseLimit)
    onWake(now);
  // Answers may be waiting behind a late tick.
  if (now - LastTick > Options.EarlyInterval)
    Ring.restartProbeTimeouts(now, Peers);
  LastTick = now;
  expire(now);
  forgetDead(now);
  if (Confirmed.update(now, Settings)) {
    Sender.hurry();
    Changed = true;
  }
  refresh(now);
  std::vector<messages::OutgoingMessage> out;
  const auto from = source();
  if (Sender.isRoundDue(now, Options)) {
    Sender.sendRound(now, from, out);
  } else {
    Sender.sendAnswers(now, from, out);
    Counters.Probes += Sender.sendProbes(now, from, out);
  }
  Counters.HeartbeatsSent += out.size();
  return out;
}

void Membership::onWake(TimePoint now) {
  ++Counters.Pauses;
  Confirmed.restart(now, Sender.lastSequence() + 1);
  Sender.restart(now);
  Changed = true;
  // The silence of the others during the pause says nothing about them.
  for (auto &[name, host] : Hosts) {
    host.LastHeard = now;
    host.StateSince = now;
  }
}

void Membership::expire(TimePoint now) {
  for (const auto &name : Ring.silent(now, Hosts, Peers, Options)) {
    ++Counters.Suspicions;
    setState(now, *Hosts.find(name), HostState::Suspect);
  }
  // Anyone may have reported the suspicion, so each host ends it by itself.
  for (auto &[name, host] : Hosts)
    if (host.State == HostState::Suspect &&
        now - host.StateSince >= Options.DeadAfter - Options.SuspectAfter)
      setState(now, host, HostState::Dead);
}

void Membership::forgetDead(TimePoint now) {
  if (now < NextForget)
    return;
  NextForget = now + Options.HeartbeatInterval;
  std::vector<std::string> gone;
  for (const auto &[name, host] : Hosts)
    if (host.State == HostState::Dead && !host.Listed &&
        now - host.StateSince >= Options.ForgetAfter)
      gone.push_back(name);
  for (auto &name : gone) {
    Hosts.erase(name);
    Peers.erase(name);
    Forgotten.push_back(std::move(name));
  }
}

void Membership::refresh(TimePoint now) {
  if (!Changed)
    return;
  Changed = false;
  auto &self = *Hosts.find(Self.Name);
  self.State = selfState();
  self.Leaving = SelfLeaving;
  Ring.refresh(now, Hosts, Peers, Self.Name);
  Readers = readersOf(Hosts);
  std::vector<std::string> eligible;
  for (const auto &[name, host] : Hosts)
    if (host.State == HostState::Live)
      eligible.push_back(name);
  if (Owners.setHosts(std::move(eligible)))
    ++OwnershipVersion;
  ViewDigest = digestOf(Hosts);
}

messages::Heartbeat Membership::heartbeat() const {
  messages::Heartbeat body;
  body.State = selfState();
  body.Settings = Settings;
  body.ViewDigest = ViewDigest;
  return body;
}

HeartbeatSender::Source Membership::source() {
  return {Self, Options, Hosts, Peers, Ring.names(), heartbeat()};
}

} // namespace auburnroute::membership
