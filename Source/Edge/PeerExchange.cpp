#include "Edge/PeerExchange.h"

#include "Common/Text.h"
#include "Fleet/GossipCodec.h"
#include "Reactor/HttpQuery.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace auburnroute::edge {

using common::HttpResponse;
using common::TimePoint;
using fleet::GossipCodec;
using fleet::GossipMessage;
using std::chrono::milliseconds;

namespace {

/// Transfers within an availability zone or a region take a few milliseconds.
constexpr milliseconds SnapshotTimeout{600};
/// Batches of datagrams handled per wake-up.
constexpr int MaxBatches = 4;
/// A seed is contacted in every round whose number is a multiple of this.
constexpr std::size_t RoundsPerSeed = 8;
/// An unchanged view is announced again when it is this much more current. One
/// host reads the registry, at intervals of a second or more.
constexpr milliseconds MinFreshnessGain{700};
/// Delay after the start, in which more urgent work than the causes of the past
/// hour is done.
constexpr milliseconds CauseFetchDelay{2000};
/// 512 entries take some 50 kB, which is 40 ms on the slowest link (10 Mbit/s).
constexpr milliseconds CauseFetchTimeout{1000};

} // namespace

PeerExchange::PeerExchange(
    boost::asio::io_context &loop, transport::UdpSocket socket,
    common::Endpoint self, fleet::PeerTable &peers, fleet::FleetView &view,
    routing::ServerDirectory &directory, routing::ServerHealthTracker &health,
    fleet::SharedFailureDetector &detector,
    fleet::InitialViewSource &initialView, const common::Clock &clock,
    fleet::CauseHistory &history, EventLog &log, EdgeMetrics &metrics,
    std::function<milliseconds()> onWakeUp, std::function<void()> onViewChanged)
    : Loop(loop), Socket(loop, std::move(socket)), Self(self), Peers(peers),
      View(view), Directory(directory), Health(health), Detector(detector),
      InitialView(initialView), Clock(clock), History(history), Log(log),
      Metrics(metrics), OnWakeUp(std::move(onWakeUp)),
      OnViewChanged(std::move(onViewChanged)) {}

void PeerExchange::start(const std::vector<common::Endpoint> &seeds,
                         state::StartMode mode) {
  setSeeds(seeds);
  StartedAt = Clock.now();
  const bool isSeed = Seeds.size() < seeds.size();
  InitialView.start(startModeOf(mode, isSeed), Seeds, StartedAt);
  Socket.start([this] { onReadable(); });
  sendView(Seeds, /*wantsAnswer=*/true, /*since=*/0, /*withHosts=*/true);
}

fleet::InitialViewSource::Mode PeerExchange::startModeOf(state::StartMode mode,
                                                         bool isSeed) const {
  using ViewMode = fleet::InitialViewSource::Mode;
  if (Seeds.empty())
    return ViewMode::WithoutPeers;
  if (mode == state::StartMode::Restart)
    return ViewMode::Restart;
  return isSeed ? ViewMode::FirstAsSeed : ViewMode::First;
}

void PeerExchange::setSeeds(const std::vector<common::Endpoint> &seeds) {
  Seeds.clear();
  for (const auto &it : seeds)
    if (it.Address != Self.Address)
      Seeds.push_back(it.Address);
}

void PeerExchange::poll() {
  const auto now = Clock.now();
  announceIfChanged();
  pollEvidence();
  fetchFirstView();
  if (Loads != nullptr) {
    Loads->poll(now);
    sendLoads();
  }
  if (now < NextRound)
    return;
  NextRound = now + RoundInterval;
  reportLostPeers();
  sendCauses();
  fetchCauses();
  Peers.advanceHeartbeat(now);
  auto to = Peers.choose(FanOut, now);
  // Also sending to one seed now and then rejoins fleets after a partition.
  // Without any live peer all seeds are contacted.
  const bool hasNoPeers = to.empty();
  if (hasNoPeers)
    to = Seeds;
  else if (!Seeds.empty() && RoundCount % RoundsPerSeed == 0)
    to.push_back(Seeds[RoundCount / RoundsPerSeed % Seeds.size()]);
  ++RoundCount;
  sendView(to, /*wantsAnswer=*/!View.isComplete() || hasNoPeers, /*since=*/0,
           /*withHosts=*/true);
}

void PeerExchange::announceIfChanged() {
  if (Clock.now() < NextAnnounce)
    return;
  if (View.changeCount() != AnnouncedChangeCount ||
      (View.isComplete() &&
       View.freshAt() - AnnouncedFreshAt >= MinFreshnessGain))
    announce();
}

void PeerExchange::announce() {
  AnnouncedChangeCount = View.changeCount();
  if (std::exchange(AnnouncedEra, View.era()) != View.era())
    AnnouncedRevision = 0;
  AnnouncedFreshAt = View.freshAt();
  const auto now = Clock.now();
  NextAnnounce = now + MinAnnounceInterval;
  const auto all = Peers.aliveCount(now);
  sendView(Peers.choose(all <= MaxBroadcastHosts ? all : FanOut + 1, now),
           /*wantsAnswer=*/false,
           /*since=*/std::exchange(AnnouncedRevision, View.revision()),
           /*withHosts=*/false);
}

bool PeerExchange::canAskForServers() const {
  return Clock.now() >= NextTagQuestion;
}

void PeerExchange::askForServers(const std::vector<std::uint32_t> &tags) {
  const auto now = Clock.now();
  if (tags.empty())
    return;
  NextTagQuestion = now + MinTagInterval;
  GossipMessage message;
  message.Sender = Peers.self();
  message.UnknownTags = tags;
  Metrics.add(EdgeCounter::TagsAsked, tags.size());
  send(message, Peers.choose(FanOut, now));
}

void PeerExchange::nameServers(const std::vector<std::uint32_t> &tags,
                               std::uint32_t to) {
  GossipMessage message;
  message.Sender = Peers.self();
  message.Changes.Era = View.era();
  message.NamedServers =
      View.serversWithTags(tags, GossipCodec::MaxChanges, Clock.now());
  if (!message.NamedServers.empty())
    send(message, {to});
}

void PeerExchange::announceStop() {
  Peers.setLeaving();
  announce();
  for (int i = 0; i < MaxFinalCauseBatches && History.hasPendingEntries();
       ++i) {
    NextCauseSend = {};
    sendCauses();
  }
}

void PeerExchange::sendCauses() {
  const auto now = Clock.now();
  if (now < NextCauseSend || !History.hasPendingEntries())
    return;
  const auto to = Peers.choose(CauseFanOut, now);
  if (to.empty())
    return; // They are sent as soon as a host is available.
  NextCauseSend = now + CauseSendInterval;
  GossipMessage message;
  message.Sender = Peers.self();
  message.Causes = History.takeBatch();
  send(message, to);
}

void PeerExchange::reportLostPeers() {
  for (const auto &it : Peers.takeLostHosts(Clock.now())) {
    History.record(state::Cause::HostDead, {}, 0,
                   common::addressToString(it.Address));
    logPeerChange("lost", it);
  }
}

void PeerExchange::logPeerChange(std::string_view change,
                                 const fleet::PeerInfo &peer) {
  if (!Log.tryAdmit(LogEvent::Peer))
    return;
  Log.write(LogEvent::Peer,
            absl::StrCat("\"change\":\"", common::toAbsl(change),
                         "\",\"host\":\"",
                         common::toString({peer.Address, Self.Port}),
                         "\",\"incarnation\":", peer.Incarnation));
}

void PeerExchange::sendView(const std::vector<std::uint32_t> &addresses,
                            bool wantsAnswer, std::uint64_t since,
                            bool withHosts) {
  if (addresses.empty())
    return;
  const auto now = Clock.now();
  GossipMessage message;
  message.Sender = Peers.self();
  if (withHosts)
    message.Hosts = Peers.sample(GossipCodec::MaxHosts, now);
  message.Changes = View.recentChanges(GossipCodec::MaxChanges, since);
  message.ViewAge = View.age(now);
  message.Suspects = localSuspects(now);
  message.WantsAnswer = wantsAnswer;
  if (withHosts)
    addZoneLoads(message);
  send(message, addresses);
}

std::size_t PeerExchange::send(const GossipMessage &message,
                               const std::vector<std::uint32_t> &addresses) {
  const auto bytes = GossipCodec::encode(message);
  for (const auto it : addresses) {
    Socket.socket().queue({it, Self.Port}, std::as_bytes(std::span(bytes)), {});
    Metrics.add(EdgeCounter::GossipSent);
    Metrics.add(EdgeCounter::GossipBytesSent, bytes.size());
  }
  Socket.socket().flush();
  return bytes.size() * addresses.size();
}

void PeerExchange::pollEvidence() {
  Detector.poll(Clock.now());
  if (Outliers != nullptr)
    Outliers->poll(Clock.now());
  sendEvidence();
}

void PeerExchange::sendEvidence() {
  sendEvidence(Detector.takeOutgoing());
  if (Outliers != nullptr)
    sendEvidence(Outliers->takeOutgoing());
}

void PeerExchange::sendEvidence(
    const std::vector<fleet::SharedFailureDetector::Outgoing> &list) {
  for (const auto &[message, to] : list) {
    Metrics.add(EdgeCounter::EvidenceSent, to.size());
    Metrics.add(EdgeCounter::EvidenceBytesSent, send(message, to));
  }
}

void PeerExchange::addZoneLoads(GossipMessage &message) {
  if (Loads == nullptr)
    return;
  message.ZoneLoads = Loads->ownZoneLoads(Clock.now());
  if (!message.ZoneLoads.empty() &&
      GossipCodec::encode(message).size() > GossipCodec::MaxDatagramBytes)
    message.ZoneLoads.clear();
}

void PeerExchange::sendLoads() {
  for (const auto &[message, to] : Loads->takeOutgoing()) {
    const auto bytes = send(message, {to});
    Loads->onSent(bytes);
    Metrics.add(EdgeCounter::LoadsSent);
    Metrics.add(EdgeCounter::LoadBytesSent, bytes);
  }
}

std::vector<fleet::ReportedSuspect>
PeerExchange::localSuspects(TimePoint now) const {
  std::vector<fleet::ReportedSuspect> list;
  for (const auto &it : Directory.all()) {
    const auto id = Directory.idOf(it);
    // Suspicions reported by peers are not passed on: hosts would keep renewing
    // each other's suspicion.
    if (!it.IsOccupied || !Health.isSuspect(id, now) ||
        Health.activity(id).Why == routing::SuspicionReason::Reported)
      continue;
    if (list.size() == GossipCodec::MaxSuspects)
      break;
    list.push_back({it.Registration.Identity,
                    std::chrono::duration_cast<milliseconds>(
                        now - Health.activity(id).FirstUnansweredAt)});
  }
  return list;
}

void PeerExchange::onReadable() {
  const auto waited = OnWakeUp();
  for (int i = 0; i < MaxBatches; ++i) {
    const auto batch = Socket.socket().receive(milliseconds(0));
    for (const auto &it : batch) {
      auto message = GossipCodec::decode(
          {reinterpret_cast<const char *>(it.Bytes.data()), it.Bytes.size()});
      Metrics.add(EdgeCounter::GossipReceived);
      if (!message || message->Sender.Address != it.Sender.Address) {
        Metrics.add(EdgeCounter::GossipMalformed);
        continue;
      }
      Metrics.add(EdgeCounter::GossipServersSkipped, message->SkippedServers);
      addWaitingTime(*message, waited);
      onMessage(*message, it.Sender.Address);
    }
    if (batch.size() < transport::UdpSocket::BatchSize)
      break;
  }
  announceIfChanged();
  sendEvidence();
  if (Loads != nullptr)
    sendLoads();
  OnViewChanged();
}

void PeerExchange::addWaitingTime(GossipMessage &message, milliseconds waited) {
  if (waited == milliseconds(0))
    return;
  message.ViewAge += waited;
  // Their ages would be too low, so that answers since would not refute them.
  message.Suspects.clear();
  message.LoadReports.clear();
  message.LoadTotals.clear();
  message.ZoneLoads.clear();
  message.OutcomeReports.clear();
  message.OutlierVerdicts.clear();
  std::erase_if(message.Verdicts, [](const auto &it) {
    return it.Kind != fleet::VerdictKind::Answering;
  });
}

void PeerExchange::onRegistryFailure() {
  if (View.isComplete())
    return;
  InitialView.onRegistryFailed();
  fetchFirstView();
  sendView(Seeds, /*wantsAnswer=*/true, /*since=*/0, /*withHosts=*/true);
}

void PeerExchange::discardBacklog() { Socket.discard(MaxBatches); }

void PeerExchange::mergeHosts(const GossipMessage &message) {
  const auto now = Clock.now();
  if (Peers.applyDirectUpdate(message.Sender, now))
    logPeerChange("joined", message.Sender);
  for (const auto &it : message.Hosts)
    Peers.applyRelayedUpdate(it, now);
}

void PeerExchange::mergeSuspects(const GossipMessage &message) {
  const auto now = Clock.now();
  for (const auto &report : message.Suspects)
    if (const auto *server = Directory.findByIdentity(report.Identity))
      Health.onReport(Directory.idOf(*server), now - report.SilentFor, now);
}

void PeerExchange::onMessage(const GossipMessage &message, std::uint32_t from) {
  const auto now = Clock.now();
  LastMessageAt = now;
  mergeHosts(message);
  mergeSuspects(message);
  Detector.onMessage(message, now);
  if (Loads != nullptr)
    Loads->onMessage(message, now);
  if (Outliers != nullptr)
    Outliers->onMessage(message, now);
  History.merge(message.Causes);
  if (message.Changes.To != 0) {
    if (!View.applyPeerChanges(message.Changes, message.ViewAge, now))
      onLaterView(message, from);
  }
  for (const auto &it : message.NamedServers)
    View.applyNamedServer(it, now);
  if (!message.UnknownTags.empty())
    nameServers(message.UnknownTags, from);
  if (message.WantsAnswer)
    sendView({from}, /*wantsAnswer=*/false, /*since=*/0, /*withHosts=*/true);
}

void PeerExchange::onLaterView(const GossipMessage &message,
                               std::uint32_t from) {
  if (View.isComplete()) {
    fetchSnapshot(from, SnapshotTimeout);
  } else if (message.Changes.ConfigurationVersion != 0) {
    InitialView.onOffer(from, message.ViewAge, Clock.now());
    fetchFirstView();
  }
}

void PeerExchange::fetchFirstView() {
  if (View.isComplete() || IsFetchingSnapshot || !InitialView.hasOffers())
    return;
  const auto now = Clock.now();
  if (const auto next =
          InitialView.nextFetch(Peers.choose(Peers.aliveCount(now), now), now))
    fetchSnapshot(next->Host, next->Timeout);
}

void PeerExchange::fetchSnapshot(std::uint32_t address, milliseconds timeout) {
  if (IsFetchingSnapshot)
    return;
  IsFetchingSnapshot = true;
  SnapshotClient = std::make_unique<reactor::AsyncHttpClient>(
      Loop, common::Endpoint{address, Self.Port});
  const auto target = absl::StrCat("/view?after=", View.revision(),
                                   "&version=", View.configurationVersion(),
                                   "&era=", View.era());
  SnapshotClient->get(
      target, timeout,
      [this, fetch = SnapshotFetch{address, timeout, Clock.now()}](
          const auto &result) { onSnapshot(fetch, result); });
}

void PeerExchange::onSnapshot(const SnapshotFetch &fetch,
                              const absl::StatusOr<HttpResponse> &result) {
  IsFetchingSnapshot = false;
  const auto now = Clock.now();
  const bool isFirst = !View.isComplete();
  const bool hasBody = result.ok() && result->Status == HttpResponse::Ok;
  const auto snapshot =
      hasBody ? GossipCodec::decodeSnapshot(result->Body) : std::nullopt;
  // The answer may have been under way since the request.
  const auto age =
      snapshot
          ? snapshot->Age +
                std::chrono::duration_cast<milliseconds>(now - fetch.StartedAt)
          : milliseconds(0);
  if (snapshot)
    Metrics.add(EdgeCounter::GossipServersSkipped, snapshot->SkippedServers);
  std::string_view outcome = "taken";
  const bool isOlderVersion = snapshot && !snapshot->View.HasEvacuations;
  if (!snapshot || isOlderVersion) {
    const bool isLate = !result.ok() && now - fetch.StartedAt >= fetch.Timeout;
    outcome = isOlderVersion ? "older_version"
              : hasBody      ? "malformed"
              : isLate       ? "timed_out"
                             : "refused";
    using Failure = fleet::InitialViewSource::FetchFailure;
    InitialView.onFetchFailed(isLate ? Failure::TimedOut : Failure::Refused);
    Metrics.add(EdgeCounter::SnapshotsFailed);
    if (hasBody && !isOlderVersion)
      Metrics.add(EdgeCounter::GossipMalformed);
  } else if (isFirst && !InitialView.onFetched(age, now)) {
    outcome = "too_old";
    Metrics.add(EdgeCounter::SnapshotsFailed);
  } else {
    Metrics.add(EdgeCounter::SnapshotsFetched);
    View.applySnapshot(snapshot->View, age, now);
    OnViewChanged();
  }
  logFetch(fetch, isFirst, outcome, age);
  // The client that runs this handler must not be replaced before it returns.
  if (!View.isComplete())
    boost::asio::post(Loop, [this] { fetchFirstView(); });
}

void PeerExchange::logFetch(const SnapshotFetch &fetch, bool isFirst,
                            std::string_view outcome, milliseconds age) {
  if (!Log.tryAdmit(LogEvent::ViewFetch))
    return;
  const auto took =
      std::chrono::duration_cast<milliseconds>(Clock.now() - fetch.StartedAt);
  Log.write(LogEvent::ViewFetch,
            absl::StrCat(
                "\"host\":\"", common::toString({fetch.Address, Self.Port}),
                "\",\"first\":", isFirst ? "true" : "false", ",\"result\":\"",
                common::toAbsl(outcome), "\",\"age_ms\":", age.count(),
                ",\"took_ms\":", took.count()));
}

void PeerExchange::fetchCauses() {
  const auto now = Clock.now();
  if (CauseFetchAttemptsLeft == 0 || !View.isComplete() ||
      now - StartedAt < CauseFetchDelay)
    return;
  const auto from = Peers.choose(1, now);
  if (from.empty())
    return;
  const int attemptsLeft = std::exchange(CauseFetchAttemptsLeft, 0);
  CauseClient = std::make_unique<reactor::AsyncHttpClient>(
      Loop, common::Endpoint{from.front(), Self.Port});
  CauseClient->get(
      "/causes", CauseFetchTimeout, [this, attemptsLeft](const auto &result) {
        const auto causes = result.ok() && result->Status == HttpResponse::Ok
                                ? GossipCodec::decodeCauses(result->Body)
                                : std::nullopt;
        if (causes)
          History.merge(*causes);
        else
          CauseFetchAttemptsLeft =
              attemptsLeft - 1; // The next round asks another host.
      });
}

std::string PeerExchange::snapshot(std::string_view query) const {
  // Without these parameters the requesting host has no view.
  const auto after = reactor::numberInQuery(query, "after").value_or(0);
  const auto version = reactor::numberInQuery(query, "version").value_or(0);
  const auto era = reactor::numberInQuery(query, "era").value_or(0);
  const auto now = Clock.now();
  fleet::AgedSnapshot snapshot{View.snapshotSince(after, version, era),
                               View.age(now)};
  snapshot.View.EraAge = View.eraAge(now);
  View.setLapsedTimes(snapshot.View.Servers, now);
  return GossipCodec::encode(snapshot);
}

} // namespace auburnroute::edge
