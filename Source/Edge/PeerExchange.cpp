#include "Edge/PeerExchange.h"

#include "Common/Text.h"
#include "Fleet/GossipCodec.h"
#include "Reactor/HttpQuery.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace auburnroute::edge {

using common::HttpResponse;
using common::TimePoint;
using fleet::GossipCodec;
using fleet::GossipMessage;
using std::chrono::milliseconds;

namespace {

/// Within a zone or a region a snapshot takes some milliseconds.
constexpr milliseconds SnapshotTime{600};
constexpr int MaxBatches = 4;
/// A view that is this much more current is passed on at once: the registry is
/// read by one host, in steps of a second and more.
constexpr milliseconds FreshnessStep{700};
/// A host that starts has more urgent work than the causes of the past hour.
constexpr milliseconds CauseFetchDelay{2000};
/// 512 entries take some 50 kB: 40 ms on the slowest link, 10 Mbit/s.
constexpr milliseconds CauseFetchTime{1000};

} // namespace

PeerExchange::PeerExchange(boost::asio::io_context &loop,
                           transport::UdpSocket socket, common::Endpoint self,
                           fleet::PeerTable &peers, fleet::FleetView &view,
                           routing::ServerDirectory &directory,
                           routing::ServerHealthTracker &health,
                           const common::Clock &clock,
                           fleet::CauseHistory &history, EventLog &log,
                           EdgeMetrics &metrics, std::function<void()> onNews)
    : Loop(loop), Socket(loop, std::move(socket)), Self(self), Peers(peers),
      View(view), Directory(directory), Health(health), Clock(clock),
      History(history), Log(log), Metrics(metrics), OnNews(std::move(onNews)) {}

void PeerExchange::start(const std::vector<common::Endpoint> &seeds) {
  setSeeds(seeds);
  StartedAt = Clock.now();
  Socket.start([this] { onReadable(); });
  sendTo(Seeds, true, 0, true);
}

void PeerExchange::setSeeds(const std::vector<common::Endpoint> &seeds) {
  Seeds.clear();
  for (const auto &it : seeds)
    if (it.Address != Self.Address)
      Seeds.push_back(it.Address);
}

void PeerExchange::poll() {
  const auto now = Clock.now();
  relay();
  if (now < NextRound)
    return;
  NextRound = now + Round;
  reportLost();
  shareCauses();
  fetchCauses();
  Peers.advanceHeartbeat(now);
  auto to = Peers.choose(FanOut, now);
  // One seed a round joins fleets that have lost each other; without any peer
  // all of them are asked.
  const bool alone = to.empty();
  if (alone)
    to = Seeds;
  else if (!Seeds.empty() && SeedCursor % 8 == 0)
    to.push_back(Seeds[SeedCursor / 8 % Seeds.size()]);
  ++SeedCursor;
  sendTo(to, !View.isComplete() || alone, 0, true);
}

void PeerExchange::relay() {
  if (Clock.now() < NextAnnounce)
    return;
  if (View.changeCount() != AnnouncedChange ||
      (View.isComplete() && View.freshAt() - RelayedFreshAt >= FreshnessStep))
    announce();
}

void PeerExchange::announce() {
  AnnouncedChange = View.changeCount();
  RelayedFreshAt = View.freshAt();
  const auto now = Clock.now();
  NextAnnounce = now + AnnouncePause;
  const auto all = Peers.aliveCount(now);
  sendTo(Peers.choose(all <= SmallFleet ? all : FanOut + 1, now), false,
         std::exchange(AnnouncedRevision, View.revision()), false);
}

void PeerExchange::announceStop() {
  Peers.setLeaving();
  announce();
  for (int i = 0; i < LastCauseBatches && History.hasPendingEntries(); ++i) {
    NextCauses = {};
    shareCauses();
  }
}

void PeerExchange::shareCauses() {
  const auto now = Clock.now();
  if (now < NextCauses || !History.hasPendingEntries())
    return;
  const auto to = Peers.choose(CauseCopies, now);
  if (to.empty())
    return; // They stay new until there is a host to take them.
  NextCauses = now + CausePause;
  GossipMessage message;
  message.Sender = Peers.self();
  message.Causes = History.takeBatch();
  send(message, to);
}

void PeerExchange::reportLost() {
  for (const auto &it : Peers.takeLostHosts(Clock.now())) {
    History.record(state::Cause::HostDead, {}, 0,
                   common::addressText(it.Address));
    logPeer("lost", it);
  }
}

void PeerExchange::logPeer(std::string_view change,
                           const fleet::PeerInfo &peer) {
  if (!Log.admits(LogEvent::Peer))
    return;
  Log.write(LogEvent::Peer,
            absl::StrCat("\"change\":\"", common::toAbsl(change),
                         "\",\"host\":\"",
                         common::toString({peer.Address, Self.Port}),
                         "\",\"incarnation\":", peer.Incarnation));
}

void PeerExchange::sendTo(const std::vector<std::uint32_t> &addresses,
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
  message.ConfigurationVersion = View.configurationVersion();
  message.Suspects = suspects(now);
  message.WantsAnswer = wantsAnswer;
  send(message, addresses);
}

void PeerExchange::send(const GossipMessage &message,
                        const std::vector<std::uint32_t> &addresses) {
  const auto bytes = GossipCodec::encode(message);
  for (const auto it : addresses) {
    Socket.socket().queue({it, Self.Port}, std::as_bytes(std::span(bytes)), {});
    Metrics.add(EdgeCounter::GossipSent);
    Metrics.add(EdgeCounter::GossipBytesSent, bytes.size());
  }
  Socket.socket().flush();
}

std::vector<fleet::ReportedSuspect>
PeerExchange::suspects(TimePoint now) const {
  std::vector<fleet::ReportedSuspect> list;
  for (const auto &it : Directory.all()) {
    const auto id = Directory.idOf(it);
    // Hearsay is not passed on: it would keep a suspicion alive.
    if (!it.Used || !Health.isSuspect(id, now) ||
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
  for (int i = 0; i < MaxBatches; ++i) {
    const auto batch = Socket.socket().receive(milliseconds(0));
    for (const auto &it : batch) {
      const auto message = GossipCodec::decode(
          {reinterpret_cast<const char *>(it.Bytes.data()), it.Bytes.size()});
      Metrics.add(EdgeCounter::GossipReceived);
      if (message && message->Sender.Address == it.Sender.Address)
        onMessage(*message, it.Sender.Address);
      else
        Metrics.add(EdgeCounter::GossipMalformed);
    }
    if (batch.size() < transport::UdpSocket::BatchSize)
      break;
  }
  relay();
  OnNews();
}

void PeerExchange::onRegistryFailure() {
  if (View.isComplete() || StartedAt == TimePoint())
    return;
  StartedAt = TimePoint();
  sendTo(Seeds, true, 0, true);
}

void PeerExchange::discardBacklog() { Socket.discard(MaxBatches); }

void PeerExchange::learnHosts(const GossipMessage &message) {
  const auto now = Clock.now();
  if (Peers.applyDirectUpdate(message.Sender, now))
    logPeer("joined", message.Sender);
  for (const auto &it : message.Hosts)
    Peers.applyRelayedUpdate(it, now);
}

void PeerExchange::learnSuspects(const GossipMessage &message) {
  const auto now = Clock.now();
  for (const auto &report : message.Suspects)
    if (const auto *server = Directory.findByIdentity(report.Identity))
      Health.onReport(Directory.idOf(*server), now - report.SilentFor, now);
}

void PeerExchange::onMessage(const GossipMessage &message, std::uint32_t from) {
  const auto now = Clock.now();
  learnHosts(message);
  learnSuspects(message);
  History.merge(message.Causes);
  if (message.Changes.To != 0) {
    const bool complete =
        View.applyPeerChanges(message.Changes, message.ViewAge, now);
    if ((!complete && message.Changes.To > View.revision()) ||
        message.ConfigurationVersion > View.configurationVersion())
      fetchSnapshot(from);
  }
  if (message.WantsAnswer)
    sendTo({from}, false, 0, true);
}

void PeerExchange::fetchSnapshot(std::uint32_t address) {
  if (Fetching || (!View.isComplete() && Clock.now() - StartedAt < OwnListTime))
    return;
  Fetching = true;
  Fetcher = std::make_unique<reactor::AsyncHttpClient>(
      Loop, common::Endpoint{address, Self.Port});
  const auto target = absl::StrCat("/view?after=", View.revision(),
                                   "&version=", View.configurationVersion());
  Fetcher->get(target, SnapshotTime, [this](const auto &result) {
    Fetching = false;
    if (!result.ok() || result->Status != HttpResponse::Ok)
      return; // The next message of a peer leads to the next try.
    const auto snapshot = GossipCodec::decodeSnapshot(result->Body);
    if (!snapshot) {
      Metrics.add(EdgeCounter::GossipMalformed);
      return;
    }
    Metrics.add(EdgeCounter::SnapshotsFetched);
    View.applySnapshot(snapshot->View, snapshot->Age, Clock.now());
    OnNews();
  });
}

void PeerExchange::fetchCauses() {
  const auto now = Clock.now();
  if (CauseFetchesLeft == 0 || !View.isComplete() ||
      now - StartedAt < CauseFetchDelay)
    return;
  const auto from = Peers.choose(1, now);
  if (from.empty())
    return;
  const int left = std::exchange(CauseFetchesLeft, 0);
  CauseFetcher = std::make_unique<reactor::AsyncHttpClient>(
      Loop, common::Endpoint{from.front(), Self.Port});
  CauseFetcher->get(
      "/causes", CauseFetchTime, [this, left](const auto &result) {
        const auto causes = result.ok() && result->Status == HttpResponse::Ok
                                ? GossipCodec::decodeCauses(result->Body)
                                : std::nullopt;
        if (causes)
          History.merge(*causes);
        else
          CauseFetchesLeft = left - 1; // Another host is asked next.
      });
}

std::string PeerExchange::snapshot(std::string_view query) const {
  // Without a number the asking host has nothing.
  const auto after = reactor::numberInQuery(query, "after").value_or(0);
  const auto version = reactor::numberInQuery(query, "version").value_or(0);
  return GossipCodec::encode(fleet::AgedSnapshot{
      View.snapshotSince(after, version), View.age(Clock.now())});
}

} // namespace auburnroute::edge
