#include "Coordination/Membership/Membership.h"

#include "Coordination/Membership/NeighbourRing.h"

#include <algorithm>
#include <array>
#include <tuple>

#include <xxhash.h>

namespace auburnroute::membership {

using common::TimePoint;
using state::Host;
using state::HostState;

namespace {

// News goes to each neighbour twice; what is lost both times is found by the
// comparison of view digests.
constexpr std::uint32_t NewsRounds = 2;
constexpr std::size_t MaxTransitions = 1024;
constexpr std::size_t ReaderCount = 2;
constexpr std::string_view ReaderKey = "settings reader";

// Order of reports with the same incarnation and sequence.
int rank(HostState state) {
  switch (state) {
  case HostState::Suspect:
    return 1;
  case HostState::Dead:
    return 2;
  default:
    return 0;
  }
}

bool isDown(HostState state) { return rank(state) > 0; }

// Position in the order of reports: the higher one is right.
auto position(const Host &host) {
  return std::tuple(host.Incarnation, host.Sequence, rank(host.State));
}

auto position(const messages::HostUpdate &update) {
  return std::tuple(update.Incarnation, update.Sequence, rank(update.State));
}

messages::HostUpdate updateOf(const Host &host) {
  return {host.Name,  host.Incarnation, host.Sequence,
          host.State, host.Leaving,     host.Addresses};
}

bool known(const common::Endpoint &endpoint) { return endpoint.Port != 0; }

std::uint32_t lowBits(std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(incarnation);
}

} // namespace

Membership::Membership(TimePoint now, HostIdentity self,
                       MembershipOptions options)
    : Self(std::move(self)), Options(std::move(options)), News(NewsRounds),
      Confirmed(Options.JoinTimeout), LastTick(now),
      LastRound(now - Options.EarlyInterval), NextRound(now), NextForget(now) {
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
    peer.Doubted = false;
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
    EarlyWanted = Changed = true;
    return;
  }
  if (update.Incarnation < Self.Incarnation)
    return;
  if (isDown(update.State)) {
    // The next round has a higher sequence, which refutes the report.
    ++Counters.Refutations;
    EarlyWanted = true;
  }
  if (update.Leaving)
    announceLeaving(now);
}

std::vector<messages::OutgoingMessage>
Membership::onDoubt(TimePoint now, std::string_view name) {
  std::vector<messages::OutgoingMessage> out;
  auto *host = Hosts.find(name);
  const auto it = Peers.find(name);
  if (host == nullptr || it == Peers.end() || !it->second.Watched ||
      host->State != HostState::Live ||
      now - it->second.DoubtedAt < Options.DoubtInterval)
    return out;
  auto &peer = it->second;
  sendTo(*host, ++Sequence, {}, true, out);
  peer.DoubtedAt = peer.LastProbe = now;
  peer.Doubted = !out.empty();
  Counters.Probes += out.size();
  Counters.DoubtProbes += out.size();
  Counters.HeartbeatsSent += out.size();
  return out;
}

void Membership::onSettings(TimePoint now, messages::SettingsStamp stamp) {
  if (stamp == Settings)
    return;
  Settings = stamp;
  EarlyWanted = true;
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
  EarlyWanted = Changed = true;
  refresh(now);
}

// --- Queries ---

bool Membership::isConfirmed(TimePoint now) const {
  return Confirmed.confirmed() && now - LastTick <= Options.PauseLimit;
}

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
  return {Self.Name, Self.Incarnation, ++Sequence, std::move(body)};
}

std::vector<HostTransition> Membership::takeTransitions() {
  return std::exchange(Transitions, {});
}

std::vector<std::string> Membership::takeForgotten() {
  return std::exchange(Forgotten, {});
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
  peer.KnowsMe = peer.Doubted = false;
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
  News.push(host.Name);
  EarlyWanted = Changed = true;
}

// --- Time ---

std::vector<messages::OutgoingMessage> Membership::onTick(TimePoint now) {
  if (now - LastTick > Options.PauseLimit)
    onWake(now);
  // Answers may be waiting behind a late tick.
  if (now - LastTick > Options.EarlyInterval)
    restartDoubts(now);
  LastTick = now;
  expire(now);
  forgetDead(now);
  if (Confirmed.update(now, Settings))
    EarlyWanted = Changed = true;
  refresh(now);
  std::vector<messages::OutgoingMessage> out;
  if (now >= NextRound ||
      (EarlyWanted && now - LastRound >= Options.EarlyInterval)) {
    sendRound(now, out);
  } else {
    sendAnswers(now, out);
    sendProbes(now, out);
  }
  Counters.HeartbeatsSent += out.size();
  return out;
}

void Membership::onWake(TimePoint now) {
  ++Counters.Pauses;
  Confirmed.restart(now, Sequence + 1);
  NextRound = now;
  Changed = true;
  // The silence of the others during the pause says nothing about them.
  for (auto &[name, host] : Hosts) {
    host.LastHeard = now;
    host.StateSince = now;
  }
}

void Membership::restartDoubts(TimePoint now) {
  for (const auto &name : Neighbours)
    if (auto &peer = Peers[name]; peer.Doubted)
      peer.DoubtedAt = now;
}

void Membership::expire(TimePoint now) {
  for (const auto &name : Neighbours) {
    auto &host = *Hosts.find(name);
    auto &peer = Peers[name];
    const auto since = std::max(host.LastHeard, peer.WatchedSince);
    const bool unanswered =
        peer.Doubted && now - peer.DoubtedAt >= Options.DoubtTimeout;
    if (isDown(host.State) ||
        (!unanswered && now - since < Options.SuspectAfter))
      continue;
    peer.Doubted = false;
    ++Counters.Suspicions;
    setState(now, host, HostState::Suspect);
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
  refreshNeighbours(now);
  refreshReaders();
  std::vector<std::string> eligible;
  for (const auto &[name, host] : Hosts)
    if (host.State == HostState::Live)
      eligible.push_back(name);
  if (Owners.setHosts(std::move(eligible)))
    ++OwnershipVersion;
  ViewDigest = viewDigest();
}

void Membership::refreshNeighbours(TimePoint now) {
  std::vector<std::string> ring;
  for (const auto &[name, host] : Hosts)
    if (host.State != HostState::Dead)
      ring.push_back(name);
  auto next = neighboursOf(ring, Self.Name);
  for (const auto &name : Neighbours)
    if (!std::binary_search(next.begin(), next.end(), name)) {
      const auto it = Peers.find(name);
      if (it != Peers.end())
        it->second.Watched = it->second.Doubted = false;
    }
  for (const auto &name : next) {
    auto &peer = Peers[name];
    if (!peer.Watched)
      peer.WatchedSince = now;
    peer.Watched = true;
  }
  Neighbours = std::move(next);
}

// Live hosts come first. Joining ones fill up, since a zone that starts cold
// has no others; then the rest, so that there are readers in any case.
void Membership::refreshReaders() {
  const auto key = rendezvousHash(ReaderKey);
  std::vector<std::tuple<int, std::uint64_t, const std::string *>> order;
  for (const auto &[name, host] : Hosts) {
    if (isDown(host.State) || host.Incarnation == 0)
      continue;
    const int preference = host.State == HostState::Live      ? 2
                           : host.State == HostState::Joining ? 1
                                                              : 0;
    order.emplace_back(preference, rendezvousWeight(key, rendezvousHash(name)),
                       &name);
  }
  const auto n = std::min(ReaderCount, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(n), order.end(),
                    std::greater<>());
  Readers.clear();
  for (std::size_t i = 0; i < n; ++i)
    Readers.push_back(*std::get<2>(order[i]));
}

// Dead hosts are left out, since each host forgets them at its own time.
std::uint32_t Membership::viewDigest() const {
  std::uint64_t digest = 0;
  for (const auto &[name, host] : Hosts) {
    if (host.State == HostState::Dead)
      continue;
    const std::array<std::uint64_t, 3> words{
        host.Incarnation, static_cast<std::uint64_t>(host.State),
        static_cast<std::uint64_t>(host.Leaving)};
    digest ^=
        XXH3_64bits_withSeed(words.data(), sizeof(words), rendezvousHash(name));
  }
  return static_cast<std::uint32_t>(digest);
}

// --- Sending ---

void Membership::sendRound(TimePoint now,
                           std::vector<messages::OutgoingMessage> &out) {
  LastRound = now;
  NextRound = now + Options.HeartbeatInterval;
  const auto news = newsOfRound();
  EarlyWanted = !News.empty();
  const auto sequence = ++Sequence;
  for (const auto &name : Neighbours)
    sendTo(*Hosts.find(name), sequence, news, false, out);
  for (auto &[name, peer] : Peers)
    if (peer.AnswerDue && !peer.Watched)
      sendTo(*Hosts.find(name), sequence, news, false, out);
  sendToLost(out);
}

void Membership::sendAnswers(TimePoint now,
                             std::vector<messages::OutgoingMessage> &out) {
  if (now - LastRound < Options.EarlyInterval)
    return;
  std::uint64_t sequence = 0;
  for (auto &[name, peer] : Peers) {
    if (!peer.AnswerDue)
      continue;
    if (sequence == 0)
      sequence = ++Sequence;
    sendTo(*Hosts.find(name), sequence, {}, false, out);
  }
}

void Membership::sendProbes(TimePoint now,
                            std::vector<messages::OutgoingMessage> &out) {
  for (const auto &name : Neighbours) {
    auto &host = *Hosts.find(name);
    auto &peer = Peers[name];
    if (isDown(host.State) || now - host.LastHeard < Options.ProbeAfter ||
        now - peer.WatchedSince < Options.ProbeAfter ||
        now - peer.LastProbe < Options.EarlyInterval)
      continue;
    peer.LastProbe = now;
    ++Counters.Probes;
    sendTo(host, ++Sequence, {}, true, out);
  }
}

// Dead hosts and seeds that no living host answers for take turns, one per
// round: after a partition both sides hold each other for dead. A host that
// knows nobody yet tries all seeds.
void Membership::sendToLost(std::vector<messages::OutgoingMessage> &out) {
  std::vector<common::Endpoint> lost;
  std::vector<common::Endpoint> found{Self.Addresses.Peer};
  for (const auto &[name, host] : Hosts) {
    const auto &endpoint = host.Addresses.Peer;
    if (host.State == HostState::Dead && known(endpoint))
      lost.push_back(endpoint);
    else if (host.Incarnation != 0)
      found.push_back(endpoint);
  }
  for (const auto &it : Options.Seeds)
    if (std::find(found.begin(), found.end(), it) == found.end())
      lost.push_back(it);
  if (lost.empty())
    return;
  auto body = heartbeat();
  body.Intro = introduction();
  const bool alone = found.size() == 1;
  for (std::size_t n = alone ? lost.size() : 1; n > 0; --n)
    out.push_back({lost[LostCursor++ % lost.size()], stamp(body)});
}

void Membership::sendTo(Host &host, std::uint64_t sequence,
                        const std::vector<messages::HostUpdate> &news,
                        bool probe,
                        std::vector<messages::OutgoingMessage> &out) {
  auto &peer = Peers[host.Name];
  peer.AnswerDue = false;
  if (!known(host.Addresses.Peer))
    return;
  auto body = heartbeat();
  body.EchoIncarnation = lowBits(peer.HeardIncarnation);
  body.EchoSequence = peer.HeardSequence;
  body.Answer = !peer.Watched;
  body.Probe = probe;
  if (!peer.KnowsMe)
    body.Intro = introduction();
  body.Updates = news;
  if (peer.ViewDiffers)
    addView(peer, host.State, body);
  out.push_back({host.Addresses.Peer,
                 {Self.Name, Self.Incarnation, sequence, std::move(body)}});
}

std::vector<messages::HostUpdate> Membership::newsOfRound() {
  std::vector<messages::HostUpdate> out;
  for (const auto &name : News.takeRound(Options.MaxUpdates))
    if (const auto *host = Hosts.find(name); host != nullptr)
      out.push_back(updateOf(*host));
  return out;
}

void Membership::addView(Peer &peer, HostState peerState,
                         messages::Heartbeat &heartbeat) {
  const auto limit = std::min(Hosts.size(), peerState == HostState::Joining
                                                ? Options.MaxJoinUpdates
                                                : Options.MaxViewUpdates);
  auto it = Hosts.after(peer.ViewCursor);
  for (std::size_t n = 0; n < limit; ++n) {
    if (it == Hosts.end())
      it = Hosts.begin();
    if (it->first != Self.Name)
      heartbeat.Updates.push_back(updateOf(it->second));
    peer.ViewCursor = it->first;
    ++it;
  }
}

messages::Heartbeat Membership::heartbeat() const {
  messages::Heartbeat body;
  body.State = selfState();
  body.Settings = Settings;
  body.ViewDigest = ViewDigest;
  return body;
}

} // namespace auburnroute::membership
