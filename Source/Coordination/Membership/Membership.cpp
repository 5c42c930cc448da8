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
      SelfConfirmation(Options.JoinTimeout), Sender(now, Options),
      LastTick(now), NextForget(now) {
  auto &host = *Hosts.add(Self.Name);
  host.Addresses = Self.Addresses;
  host.Incarnation = Self.Incarnation;
  host.StateSince = host.LastHeard = now;
  SelfConfirmation.restart(now, 1);
  refresh(now);
}

// --- Events ---

void Membership::onHostList(TimePoint now, const messages::HostList &list) {
  for (auto &[name, host] : Hosts)
    host.IsListed = false;
  for (const auto &listed : list.Hosts)
    if (listed.Zone == Self.Zone)
      onListedHost(now, listed);
  for (auto &[name, peer] : Peers) {
    const auto *host = Hosts.find(name);
    peer.WasListedLeaving =
        peer.WasListedLeaving && host != nullptr && host->IsListed;
  }
  refresh(now);
}

void Membership::onListedHost(TimePoint now,
                              const messages::ListedHost &listed) {
  const bool isNew = Hosts.find(listed.Name) == nullptr;
  auto *host = addHost(now, listed.Name);
  if (host == nullptr)
    return;
  host->IsListed = true;
  if (host->Incarnation == 0)
    host->Addresses = listed.Addresses;
  if (isNew)
    queueUpdate(*host);
  // The list may still show the state of an earlier incarnation, so only the
  // change to leaving counts.
  auto &peer = Peers[listed.Name];
  if (listed.IsLeaving && !peer.WasListedLeaving)
    markLeaving(now, *host);
  peer.WasListedLeaving = listed.IsLeaving;
}

void Membership::onHeartbeat(TimePoint now,
                             const messages::PeerMessage &message) {
  const auto *body = std::get_if<messages::Heartbeat>(&message.Body);
  const bool isOtherZone = body != nullptr && body->Intro.has_value() &&
                           body->Intro->Zone != Self.Zone;
  if (body == nullptr || isOtherZone || message.Sender == Self.Name ||
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
  ++Counters.HeartbeatsAccepted;
  auto &peer = Peers[message.Sender];
  const bool isNew = advanceIncarnation(*host, message.Incarnation);
  // An earlier report with the same sequence says that the host is down; it
  // takes precedence.
  const bool isOverruled =
      message.Sequence == host->Sequence && isDown(host->State);
  host->Sequence = message.Sequence;
  if (body->Intro)
    host->Addresses = body->Intro->Addresses;
  if (body->State == HostState::Leaving)
    markLeaving(now, *host);
  if (!isOverruled) {
    host->LastHeard = now;
    peer.IsOnDemandProbePending = false;
    setState(now, *host, host->IsLeaving ? HostState::Leaving : body->State);
  }
  if (isNew)
    queueUpdate(*host);
  peer.HeardIncarnation = message.Incarnation;
  peer.HeardSequence = message.Sequence;
  peer.HasEchoed = body->EchoIncarnation == low32Bits(Self.Incarnation);
  peer.ViewDiffers = body->ViewDigest != ViewDigest;
  peer.NeedsAnswer = peer.NeedsAnswer || body->IsProbe ||
                     (!body->IsAnswer &&
                      (!peer.IsNeighbour || body->State == HostState::Joining));
  if (peer.HasEchoed)
    SelfConfirmation.onEcho(body->EchoSequence, body->Settings);
  for (const auto &update : body->Updates)
    onUpdate(now, update);
  refresh(now);
}

void Membership::onUpdate(TimePoint now, const messages::HostUpdate &update) {
  if (update.Host == Self.Name)
    return onUpdateOfSelf(now, update);
  auto *host = Hosts.find(update.Host);
  if (host == nullptr) {
    // A dead host that is unknown here is not added: its peers are about to
    // remove it.
    host =
        update.State == HostState::Dead ? nullptr : addHost(now, update.Host);
    if (host == nullptr)
      return;
    host->Addresses = update.Addresses;
    queueUpdate(*host);
  }
  if (reportOrder(update) < reportOrder(*host)) {
    // The report is outdated; sending the newer state refutes it.
    if (isDown(update.State) && !isDown(host->State))
      queueUpdate(*host);
  } else if (reportOrder(update) > reportOrder(*host)) {
    if (advanceIncarnation(*host, update.Incarnation)) {
      host->Addresses = update.Addresses;
      queueUpdate(*host);
    }
    if (isDown(host->State) && !isDown(update.State))
      host->LastHeard = now;
    host->Sequence = update.Sequence;
    setState(now, *host,
             host->IsLeaving && !isDown(update.State) ? HostState::Leaving
                                                      : update.State);
  }
  if (update.IsLeaving && update.Incarnation == host->Incarnation)
    markLeaving(now, *host);
}

void Membership::onUpdateOfSelf(TimePoint now,
                                const messages::HostUpdate &update) {
  if (update.Incarnation > Self.Incarnation) {
    // An earlier process with this name had a clock that ran ahead. Peers would
    // ignore this process as the older one of the two.
    Self.Incarnation = update.Incarnation + 1;
    Hosts.find(Self.Name)->Incarnation = Self.Incarnation;
    Sender.requestEarlyRound();
    NeedsRefresh = true;
    return;
  }
  if (update.Incarnation < Self.Incarnation)
    return;
  if (isDown(update.State)) {
    // The next round has a higher sequence, which refutes the report.
    ++Counters.Refutations;
    Sender.requestEarlyRound();
  }
  if (update.IsLeaving)
    announceLeaving(now);
}

std::vector<messages::OutgoingMessage>
Membership::requestProbe(TimePoint now, std::string_view name) {
  std::vector<messages::OutgoingMessage> out;
  auto *host = Hosts.find(name);
  const auto record = Peers.find(name);
  if (host == nullptr || record == Peers.end() || !record->second.IsNeighbour ||
      host->State != HostState::Live ||
      now - record->second.OnDemandProbeSince < Options.OnDemandProbeInterval)
    return out;
  auto &peer = record->second;
  Sender.sendTo(senderContext(), *host, Sender.nextSequence(), {}, true, out);
  peer.OnDemandProbeSince = peer.LastProbe = now;
  peer.IsOnDemandProbePending = !out.empty();
  Counters.Probes += out.size();
  Counters.OnDemandProbes += out.size();
  Counters.HeartbeatsSent += out.size();
  return out;
}

void Membership::onSettings(TimePoint now, messages::SettingsStamp stamp) {
  if (stamp == Settings)
    return;
  Settings = stamp;
  Sender.requestEarlyRound();
  if (SelfConfirmation.update(now, Settings))
    NeedsRefresh = true;
  refresh(now);
}

void Membership::setServices(const std::vector<std::string> &services) {
  Owners.setServices(services);
  ++OwnershipVersion;
}

void Membership::announceLeaving(TimePoint now) {
  if (IsSelfLeaving)
    return;
  IsSelfLeaving = true;
  Sender.requestEarlyRound();
  NeedsRefresh = true;
  refresh(now);
}

// --- Queries ---

HostState Membership::selfState() const {
  if (IsSelfLeaving)
    return HostState::Leaving;
  return SelfConfirmation.isConfirmed() ? HostState::Live : HostState::Joining;
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
  const auto *entry = Hosts.find(host);
  if (entry == nullptr || !isKnown(entry->Addresses.Peer))
    return std::nullopt;
  return entry->Addresses.Peer;
}

messages::PeerMessage Membership::makeMessage(messages::PeerBody body) {
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
  NeedsRefresh = true;
  return host;
}

bool Membership::advanceIncarnation(Host &host, std::uint64_t incarnation) {
  if (incarnation <= host.Incarnation)
    return false;
  // A leaving mark set before the first heartbeat of the host remains in force.
  host.IsLeaving = host.IsLeaving && host.Incarnation == 0;
  host.Incarnation = incarnation;
  host.Sequence = 0;
  auto &peer = Peers[host.Name];
  peer.HasEchoed = peer.IsOnDemandProbePending = false;
  peer.HeardSequence = 0;
  NeedsRefresh = true;
  return true;
}

void Membership::markLeaving(TimePoint now, Host &host) {
  if (host.Name == Self.Name)
    return announceLeaving(now);
  if (host.IsLeaving || host.State == HostState::Dead)
    return;
  host.IsLeaving = NeedsRefresh = true;
  if (!isDown(host.State))
    setState(now, host, HostState::Leaving);
  queueUpdate(host);
}

void Membership::setState(TimePoint now, Host &host, HostState state) {
  if (host.State == state)
    return;
  if (Transitions.size() < MaxTransitions)
    Transitions.push_back({host.Name, host.Incarnation, host.State, state});
  host.State = state;
  host.StateSince = now;
  queueUpdate(host);
}

void Membership::queueUpdate(const Host &host) {
  Sender.queueUpdate(host.Name);
  NeedsRefresh = true;
}

// --- Time ---

std::vector<messages::OutgoingMessage> Membership::onTick(TimePoint now) {
  if (now - LastTick > Options.PauseLimit)
    onResume(now);
  // Answers may still be queued in the socket after a late tick.
  if (now - LastTick > Options.MinRoundInterval)
    Neighbours.restartProbeTimeouts(now, Peers);
  LastTick = now;
  expireSilentHosts(now);
  forgetDead(now);
  if (SelfConfirmation.update(now, Settings)) {
    Sender.requestEarlyRound();
    NeedsRefresh = true;
  }
  refresh(now);
  std::vector<messages::OutgoingMessage> out;
  const auto context = senderContext();
  if (Sender.isRoundDue(now, Options)) {
    Sender.sendRound(now, context, out);
  } else {
    Sender.sendAnswers(now, context, out);
    Counters.Probes += Sender.sendProbes(now, context, out);
  }
  Counters.HeartbeatsSent += out.size();
  return out;
}

void Membership::onResume(TimePoint now) {
  ++Counters.Pauses;
  SelfConfirmation.restart(now, Sender.lastSequence() + 1);
  Sender.scheduleRound(now);
  NeedsRefresh = true;
  // This host received nothing during the pause, so the silence of the others
  // is no evidence of failure.
  for (auto &[name, host] : Hosts) {
    host.LastHeard = now;
    host.StateSince = now;
  }
}

void Membership::expireSilentHosts(TimePoint now) {
  for (const auto &name : Neighbours.findSuspects(now, Hosts, Peers, Options)) {
    ++Counters.Suspicions;
    setState(now, *Hosts.find(name), HostState::Suspect);
  }
  // The suspicion may come from any host, so each host applies the timeout.
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
    if (host.State == HostState::Dead && !host.IsListed &&
        now - host.StateSince >= Options.ForgetAfter)
      gone.push_back(name);
  for (auto &name : gone) {
    Hosts.erase(name);
    Peers.erase(name);
    Forgotten.push_back(std::move(name));
  }
}

void Membership::refresh(TimePoint now) {
  if (!NeedsRefresh)
    return;
  NeedsRefresh = false;
  auto &self = *Hosts.find(Self.Name);
  self.State = selfState();
  self.IsLeaving = IsSelfLeaving;
  Neighbours.refresh(now, Hosts, Peers, Self.Name);
  Readers = selectSettingsReaders(Hosts);
  std::vector<std::string> eligible;
  for (const auto &[name, host] : Hosts)
    if (host.State == HostState::Live)
      eligible.push_back(name);
  if (Owners.setHosts(std::move(eligible)))
    ++OwnershipVersion;
  ViewDigest = computeViewDigest(Hosts);
}

messages::Heartbeat Membership::heartbeat() const {
  messages::Heartbeat body;
  body.State = selfState();
  body.Settings = Settings;
  body.ViewDigest = ViewDigest;
  return body;
}

HeartbeatSender::Context Membership::senderContext() {
  return {Self, Options, Hosts, Peers, Neighbours.names(), heartbeat()};
}

} // namespace auburnroute::membership
