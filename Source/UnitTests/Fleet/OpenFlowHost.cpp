#include "UnitTests/Fleet/OpenFlowHost.h"

#include "Fleet/GossipCodec.h"
#include "UnitTests/Fleet/FleetFixture.h"

#include <algorithm>
#include <utility>

namespace auburnroute::unittests {

using common::TimePoint;
using fleet::GossipCodec;
using fleet::GossipMessage;
using routing::DirectoryChange;
using std::chrono::milliseconds;

namespace {

// The figures of EdgeNode and PeerExchange.
constexpr milliseconds HousekeepingInterval{250};
constexpr milliseconds MinPauseGap{600};
constexpr milliseconds MinStallGap =
    OpenFlowHost::TickInterval + routing::FlowTable::MinRetransmissionDelay;
constexpr milliseconds MaxQueueTime{200};
constexpr milliseconds RoundInterval{500};
constexpr milliseconds MinAnnounceInterval{100};
constexpr milliseconds MinFreshnessGain{700};
constexpr milliseconds MinTagInterval{200};
constexpr milliseconds SnapshotTimeout{600};
constexpr std::size_t FanOut = 3;
constexpr std::size_t MaxBroadcastHosts = 10;
constexpr std::size_t RoundsPerSeed = 8;

} // namespace

OpenFlowHost::OpenFlowHost(Settings settings, const common::Clock &clock,
                           Network &network)
    : Self(std::move(settings)), Clock(clock), Links(network),
      Random(Self.Random), Directory(LapsedServerRetention),
      Health(routing::HealthLimits::forHeartbeat(Self.Heartbeat,
                                                 Self.ChangeBound)),
      View(Routes, Directory, *this,
           fleet::FleetView::rewriteTimeFor(Self.Heartbeat)),
      Reader(View, fleet::RegistryReadTiming::forBound(Self.ChangeBound)),
      Peers({Self.Address, Self.Zone, Self.Random}, Self.Random),
      Detector(Peers, Directory, Health, *this),
      InitialView(fleet::InitialViewTiming::forBound(Self.ChangeBound)),
      Placement(Directory, Health, Directory.zoneNames().idOf(Self.Zone),
                Self.Random),
      Router(Routes, Directory, Health, Placement, *this) {
  Placement.setParts({.Evacuations = &View.evacuations()});
}

void OpenFlowHost::start() {
  StartedAt = LastWakeUp = Clock.now();
  using Mode = fleet::InitialViewSource::Mode;
  InitialView.start(Self.IsFirstStart ? Mode::FirstAsSeed : Mode::Restart,
                    Self.Seeds, StartedAt);
  sendView(Self.Seeds, /*wantsAnswer=*/true, /*since=*/0, /*withHosts=*/true);
  tick();
}

void OpenFlowHost::tick() {
  const auto now = Clock.now();
  detectStall();
  if (!View.isComplete() && now - StartedAt >= MaxQueueTime)
    Links.discardPackets(Self.Index);
  if (now >= NextHousekeeping) {
    NextHousekeeping = now + HousekeepingInterval;
    Router.onTick(now);
    View.reconcileEra(now);
    View.discardExpired(now);
  }
  updateRegistryRole(now);
  pollRegistry();
  Router.checkOpeningFlows(now);
  pollExchange();
  resetFlowsOfDeadServers();
}

milliseconds OpenFlowHost::detectStall() {
  const auto now = Clock.now();
  const auto gap = std::chrono::duration_cast<milliseconds>(
      now - std::exchange(LastWakeUp, now));
  if (gap < MinStallGap)
    return now - LastStallAt < TickInterval ? LastStall : milliseconds(0);
  LastStallAt = now;
  LastStall = gap;
  Router.discardEvidence(now);
  if (gap < MinPauseGap)
    return gap;
  Links.discardPackets(Self.Index);
  Links.discardMessages(Self.Index);
  Reader.scheduleNextCallAt(now);
  return gap;
}

void OpenFlowHost::updateRegistryRole(TimePoint now) {
  const auto &timing = Reader.timing();
  const auto age = View.age(now);
  const bool hearsPeers = now - LastMessageAt <= timing.TakeoverAge;
  const bool takesOver =
      age > timing.TakeoverAge &&
      age > timing.takeoverAge(Peers.rankInZone(now), hearsPeers);
  Reader.setActive(View.isComplete()
                       ? takesOver ||
                             (!IsStopping && Peers.hasLowestAddress(now))
                       : InitialView.shouldAskRegistry(now));
  Router.setUsesLapsed(Reader.isRegistryUnavailable() ||
                       age > timing.TakeoverAge * 2);
}

void OpenFlowHost::pollRegistry() {
  if (const auto call = Reader.nextCall(Clock.now()))
    Links.callRegistry(Self.Index, *call);
}

void OpenFlowHost::onRegistryPage(const fleet::RegistryPage &page) {
  Reader.onPage(page, Clock.now());
  afterRegistryCall();
}

void OpenFlowHost::onRegistryFailure(fleet::RegistryFailure failure) {
  Reader.onFailure(failure, Clock.now());
  afterRegistryCall();
}

void OpenFlowHost::afterRegistryCall() {
  onViewChanged();
  if (Reader.failures() > 0 && !View.isComplete()) {
    InitialView.onRegistryFailed();
    fetchFirstView();
    sendView(Self.Seeds, /*wantsAnswer=*/true, /*since=*/0, /*withHosts=*/true);
  }
  pollExchange();
  updateRegistryRole(Clock.now());
  pollRegistry();
}

void OpenFlowHost::onWakeUp() { detectStall(); }

void OpenFlowHost::onPackets(std::span<const routing::FlowPacket> packets) {
  const auto now = Clock.now();
  for (const auto &it : packets) {
    const auto outcome = Router.onPacket(it, now);
    if (const auto *forward = std::get_if<routing::ForwardPacket>(&outcome))
      Links.sendToServer(Self.Index, it,
                         Directory.at(forward->Server).Registration,
                         forward->Tag);
  }
  sendResets();
  if (Health.hasNewRetransmissions())
    pollEvidence();
  if (Router.hasUnknownTags() && now >= NextTagQuestion)
    askForServers();
}

void OpenFlowHost::askForServers() {
  const auto now = Clock.now();
  NextTagQuestion = now + MinTagInterval;
  GossipMessage message;
  message.Sender = Peers.self();
  message.UnknownTags = Router.takeUnknownTags(GossipCodec::MaxTags, now);
  if (!message.UnknownTags.empty())
    send(message, choosePeers(FanOut));
}

void OpenFlowHost::nameServers(const std::vector<std::uint32_t> &tags,
                               std::uint32_t to) {
  GossipMessage message;
  message.Sender = Peers.self();
  message.Changes.Era = View.era();
  message.NamedServers =
      View.serversWithTags(tags, GossipCodec::MaxChanges, Clock.now());
  if (!message.NamedServers.empty())
    send(message, {to});
}

void OpenFlowHost::sendResets() {
  for (const auto &it : std::exchange(Refused, {}))
    if (!it.IsDropped)
      Links.resetFlow(Self.Index, it);
}

void OpenFlowHost::onViewChanged() {
  IsForwarding = IsForwarding || View.isComplete();
  resetFlowsOfDeadServers();
}

void OpenFlowHost::resetFlowsOfDeadServers() {
  for (const auto id : Detector.takeDead())
    Router.abandonFlowsOf(id, Clock.now());
  std::ranges::sort(Refused, {}, [](const auto &it) {
    return std::pair(it.Flow.Caller.key(), it.Flow.Service.key());
  });
  sendResets();
}

std::vector<std::uint32_t> OpenFlowHost::choosePeers(std::size_t n) {
  auto peers = Peers.alive(Clock.now());
  std::ranges::shuffle(peers, Random);
  peers.resize(std::min(n, peers.size()));
  return peers;
}

void OpenFlowHost::stop() {
  IsStopping = true;
  Peers.setLeaving();
  announce();
}

void OpenFlowHost::pollExchange() {
  const auto now = Clock.now();
  announceIfChanged();
  pollEvidence();
  fetchFirstView();
  if (now < NextRound)
    return;
  NextRound = now + RoundInterval;
  Peers.takeLostHosts(now);
  Peers.advanceHeartbeat(now);
  auto to = choosePeers(FanOut);
  const bool hasNoPeers = to.empty();
  if (hasNoPeers)
    to = Self.Seeds;
  else if (!Self.Seeds.empty() && RoundCount % RoundsPerSeed == 0)
    to.push_back(Self.Seeds[RoundCount / RoundsPerSeed % Self.Seeds.size()]);
  ++RoundCount;
  sendView(to, /*wantsAnswer=*/!View.isComplete() || hasNoPeers, /*since=*/0,
           /*withHosts=*/true);
}

void OpenFlowHost::announceIfChanged() {
  if (Clock.now() < NextAnnounce)
    return;
  if (View.changeCount() != AnnouncedChangeCount ||
      (View.isComplete() &&
       View.freshAt() - AnnouncedFreshAt >= MinFreshnessGain))
    announce();
}

void OpenFlowHost::announce() {
  const auto now = Clock.now();
  AnnouncedChangeCount = View.changeCount();
  AnnouncedFreshAt = View.freshAt();
  NextAnnounce = now + MinAnnounceInterval;
  const auto all = Peers.aliveCount(now);
  sendView(choosePeers(all <= MaxBroadcastHosts ? all : FanOut + 1),
           /*wantsAnswer=*/false,
           /*since=*/std::exchange(AnnouncedRevision, View.revision()),
           /*withHosts=*/false);
}

void OpenFlowHost::pollEvidence() {
  Detector.poll(Clock.now());
  sendEvidence();
}

void OpenFlowHost::sendEvidence() {
  auto all = Detector.takeOutgoing();
  std::ranges::stable_sort(all, {}, [](const auto &it) { return it.To; });
  for (const auto &[message, to] : all)
    send(message, to);
}

void OpenFlowHost::sendView(const std::vector<std::uint32_t> &to,
                            bool wantsAnswer, std::uint64_t since,
                            bool withHosts) {
  if (to.empty())
    return;
  const auto now = Clock.now();
  GossipMessage message;
  message.Sender = Peers.self();
  if (withHosts)
    message.Hosts = Peers.sample(GossipCodec::MaxHosts, now);
  message.Changes = View.recentChanges(GossipCodec::MaxChanges, since);
  message.ViewAge = View.age(now);
  for (const auto &it : Directory.all()) {
    const auto id = Directory.idOf(it);
    if (it.IsOccupied && Health.isSuspect(id, now) &&
        Health.activity(id).Why != routing::SuspicionReason::Reported)
      message.Suspects.push_back(
          {it.Registration.Identity,
           std::chrono::duration_cast<milliseconds>(
               now - Health.activity(id).FirstUnansweredAt)});
  }
  message.WantsAnswer = wantsAnswer;
  send(message, to);
}

void OpenFlowHost::send(const GossipMessage &message,
                        const std::vector<std::uint32_t> &to) {
  // Decoded once for all receivers, with the rounding of the encoding.
  const auto decoded = GossipCodec::decode(GossipCodec::encode(message));
  if (decoded && !to.empty())
    Links.sendToHosts(Self.Index,
                      std::make_shared<const GossipMessage>(*decoded), to);
}

void OpenFlowHost::onMessage(GossipMessage message) {
  const auto now = Clock.now();
  if (const auto waited = detectStall(); waited > milliseconds(0)) {
    message.ViewAge += waited;
    message.Suspects.clear();
    message.Verdicts.clear();
  }
  LastMessageAt = now;
  Peers.applyDirectUpdate(message.Sender, now);
  for (const auto &it : message.Hosts)
    Peers.applyRelayedUpdate(it, now);
  for (const auto &it : message.Suspects)
    if (const auto *server = Directory.findByIdentity(it.Identity))
      Health.onReport(Directory.idOf(*server), now - it.SilentFor, now);
  Detector.onMessage(message, now);
  const auto from = message.Sender.Address;
  if (message.Changes.To != 0 &&
      !View.applyPeerChanges(message.Changes, message.ViewAge, now)) {
    if (View.isComplete()) {
      fetchSnapshot(from, SnapshotTimeout);
    } else if (message.Changes.ConfigurationVersion != 0) {
      InitialView.onOffer(from, message.ViewAge, now);
      fetchFirstView();
    }
  }
  for (const auto &it : message.NamedServers)
    View.applyNamedServer(it, now);
  if (!message.UnknownTags.empty())
    nameServers(message.UnknownTags, from);
  if (message.WantsAnswer)
    sendView({from}, /*wantsAnswer=*/false, /*since=*/0, /*withHosts=*/true);
  announceIfChanged();
  sendEvidence();
  onViewChanged();
}

void OpenFlowHost::fetchFirstView() {
  if (View.isComplete() || IsFetchingSnapshot || !InitialView.hasOffers())
    return;
  const auto now = Clock.now();
  if (const auto next =
          InitialView.nextFetch(choosePeers(Peers.aliveCount(now)), now))
    fetchSnapshot(next->Host, next->Timeout);
}

void OpenFlowHost::fetchSnapshot(std::uint32_t address, milliseconds timeout) {
  if (IsFetchingSnapshot)
    return;
  IsFetchingSnapshot = true;
  SnapshotRequestedAt = Clock.now();
  FetchTimeout = timeout;
  Links.fetchSnapshot(Self.Index, address, timeout);
}

void OpenFlowHost::onSnapshot(
    const std::optional<fleet::AgedSnapshot> &snapshot) {
  IsFetchingSnapshot = false;
  const auto now = Clock.now();
  const auto transfer =
      std::chrono::duration_cast<milliseconds>(now - SnapshotRequestedAt);
  using Failure = fleet::InitialViewSource::FetchFailure;
  if (!snapshot) {
    InitialView.onFetchFailed(transfer >= FetchTimeout ? Failure::TimedOut
                                                       : Failure::Refused);
    fetchFirstView();
    return;
  }
  if (!View.isComplete() &&
      !InitialView.onFetched(snapshot->Age + transfer, now)) {
    fetchFirstView();
    return;
  }
  View.applySnapshot(snapshot->View, snapshot->Age + transfer, now);
  onViewChanged();
}

fleet::AgedSnapshot OpenFlowHost::snapshotFor(const OpenFlowHost &other) const {
  const auto &its = other.View;
  const auto now = Clock.now();
  fleet::AgedSnapshot snapshot{
      View.snapshotSince(its.revision(), its.configurationVersion(), its.era()),
      View.age(now)};
  snapshot.View.EraAge = View.eraAge(now);
  View.setLapsedTimes(snapshot.View.Servers, now);
  return snapshot;
}

bool OpenFlowHost::isDead(const routing::ServerRegistration &server) const {
  const auto *known = Directory.findByIdentity(server.Identity);
  return known != nullptr &&
         known->Registration.StartTimeMs == server.StartTimeMs &&
         Health.isDead(Directory.idOf(*known), Clock.now());
}

void OpenFlowHost::onServer(const routing::ServerRegistration &server,
                            DirectoryChange change) {
  if (change == DirectoryChange::Added || change == DirectoryChange::Restarted)
    if (const auto *known = Directory.findByName(server.Name))
      Health.reset(Directory.idOf(*known));
}

void OpenFlowHost::onVerdict(const fleet::VerdictEvent &verdict) {
  if (verdict.Kind == fleet::VerdictKind::Dead && verdict.IsNew)
    Links.onFoundDead(Self.Index,
                      Directory.at(verdict.Server).Registration.Identity);
}

} // namespace auburnroute::unittests
