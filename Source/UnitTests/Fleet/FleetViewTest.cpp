#include "UnitTests/Fleet/FleetFixture.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace auburnroute;
using namespace std::chrono_literals;
using routing::ServerState;
using unittests::sampleConfiguration;
using unittests::samplePage;
using unittests::sampleServer;
using unittests::ViewFixture;

namespace {

/// Loads \p it with servers 1 and 2 and version 1 at revision 10.
void load(ViewFixture &it, common::TimePoint now) {
  it.View.applyEntries(
      samplePage(10, {sampleServer(1, 3), sampleServer(2, 4)}, 1), now);
  it.View.finishList({"s1", "s2"}, {10, now}, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetViewTest)

// A stale registry or a lagging peer must not revert the configuration.
BOOST_AUTO_TEST_CASE(ConfigurationsNeverGoBack) {
  common::ManualClock clock;
  ViewFixture it;
  load(it, clock.now());
  it.View.applyChanges(samplePage(12, {}, 5), clock.now(), clock.now());
  it.View.applyChanges(samplePage(11, {}, 2), clock.now(), clock.now());
  it.View.applySnapshot({11, 20, sampleConfiguration(4), {}}, 0ms, clock.now());
  BOOST_TEST(it.Routes.version() == 5U);
  BOOST_TEST((it.Observer.Versions == std::vector<std::uint64_t>{1, 5}));
}

// Servers removed while no changes were received are missing in the list that
// is read after a compaction, and must lapse.
BOOST_AUTO_TEST_CASE(ListMarksMissingServersLapsed) {
  common::ManualClock clock;
  ViewFixture it;
  load(it, clock.now());
  it.View.applyEntries(samplePage(30, {sampleServer(2, 4)}), clock.now());
  it.View.finishList({"s2"}, {30, clock.now()}, clock.now());
  BOOST_TEST((it.stateOf("s1") == ServerState::Lapsed));
  BOOST_TEST((it.stateOf("s2") == ServerState::Ready));
}

// A list must not mark a server as lapsed that registered while its pages were
// read.
BOOST_AUTO_TEST_CASE(ListKeepsServersRegisteredAfterItsStart) {
  common::ManualClock clock;
  ViewFixture it;
  load(it, clock.now());
  it.View.applyPeerChanges({10, 31, {sampleServer(3, 31)}}, 0ms, clock.now());
  it.View.finishList({"s1", "s2"}, {30, clock.now()}, clock.now());
  BOOST_TEST((it.stateOf("s3") == ServerState::Ready));
}

// A host that missed changes must not consider itself current but request a
// snapshot.
BOOST_AUTO_TEST_CASE(GapInChangesRequiresASnapshot) {
  common::ManualClock clock;
  ViewFixture it;
  load(it, clock.now());
  clock.advance(5s);
  BOOST_TEST(!it.View.applyPeerChanges({14, 20, {sampleServer(3, 20)}}, 0ms,
                                       clock.now()));
  BOOST_TEST(it.View.revision() == 10U);
  BOOST_TEST((it.View.age(clock.now()) >= 5s));
  BOOST_TEST(it.View.applyPeerChanges({10, 20, {}}, 100ms, clock.now()));
  BOOST_TEST(it.View.revision() == 20U);
  BOOST_TEST((it.View.age(clock.now()) < 200ms));
}

// A truncated set of changes must not claim to be complete.
BOOST_AUTO_TEST_CASE(TruncatedChangesStartAtALaterRevision) {
  common::ManualClock clock;
  ViewFixture it;
  load(it, clock.now());
  for (std::uint64_t n = 11; n <= 20; ++n)
    it.View.applyChanges(samplePage(n, {sampleServer(n, n)}), clock.now(),
                         clock.now());
  const auto changes = it.View.recentChanges(3);
  BOOST_TEST(changes.Servers.size() == 3U);
  BOOST_TEST(changes.From == 17U);
  BOOST_TEST(changes.To == 20U);
}

// A host must not keep a removed server forever because the peer that it asks
// has already discarded the removal.
BOOST_AUTO_TEST_CASE(DiscardedRemovalsForceAFullSnapshot) {
  common::ManualClock clock;
  ViewFixture peer;
  ViewFixture late;
  load(peer, clock.now());
  load(late, clock.now());
  fleet::RegistryPage page;
  page.Revision = 12;
  page.Removed.push_back({"s1", 12});
  peer.View.applyChanges(page, clock.now(), clock.now());
  auto part = peer.View.snapshotSince(late.View.revision(), 1);
  BOOST_TEST(part.From == 10U);
  BOOST_TEST(part.Servers.size() == 1U);
  BOOST_TEST(part.Configuration.Version == 0U);
  clock.advance(70s);
  peer.View.discardExpired(clock.now());
  const auto whole = peer.View.snapshotSince(late.View.revision(), 0);
  BOOST_TEST(whole.From == 0U);
  late.View.applySnapshot(whole, 0ms, clock.now());
  BOOST_TEST((late.stateOf("s1") == ServerState::Lapsed));
  BOOST_TEST((late.stateOf("s2") == ServerState::Ready));
}

// Applies random registry changes that some views read and pass to others in
// any order and with losses. Views never go back, and a view that is complete
// up to the registry's revision agrees with it on every server.
BOOST_AUTO_TEST_CASE(ViewsConverge) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937_64 random(seed);
      common::ManualClock clock;
      std::vector<ViewFixture> views(4);
      std::map<std::uint64_t, routing::ServerRegistration> registry;
      std::vector<std::pair<std::uint64_t, std::uint64_t>> log; // revision, id
      std::uint64_t revision = 1;
      const auto list = [&](ViewFixture &it) {
        std::set<std::string> names;
        std::vector<routing::ServerRegistration> servers;
        for (const auto &[id, server] : registry)
          if (server.State != ServerState::Lapsed) {
            servers.push_back(server);
            names.insert(server.Name);
          }
        it.View.applyEntries(samplePage(revision, servers, 1), clock.now());
        it.View.finishList(names, {revision, clock.now()}, clock.now());
      };
      for (auto &it : views)
        list(it);
      for (int step = 0; step < 3000; ++step) {
        clock.advance(std::chrono::milliseconds(random() % 30));
        auto &a = views[random() % views.size()];
        auto &b = views[random() % views.size()];
        const auto before = a.View.revision();
        switch (random() % 6) {
        case 0:
        case 1: {
          const auto id = 1 + random() % 12;
          const auto state = static_cast<ServerState>(random() % 3);
          registry[id] = sampleServer(id, ++revision, state);
          log.emplace_back(revision, id);
          break;
        }
        case 2: { // A watch by one of the first two views.
          auto &reader = views[random() % 2];
          fleet::RegistryPage page;
          page.Revision = revision;
          for (const auto &[at, id] : log)
            if (at > reader.View.revision()) {
              if (registry[id].State == ServerState::Lapsed)
                page.Removed.push_back(
                    {registry[id].Name, registry[id].Revision});
              else
                page.Servers.push_back(registry[id]);
            }
          reader.View.applyChanges(page, clock.now(), clock.now());
          break;
        }
        case 3:
        case 4: {
          const auto changes = b.View.recentChanges(1 + random() % 8);
          if (!a.View.applyPeerChanges(changes, 0ms, clock.now()) &&
              random() % 2 == 0)
            a.View.applySnapshot(
                b.View.snapshotSince(a.View.revision(), a.Routes.version()),
                0ms, clock.now());
          break;
        }
        default:
          a.View.discardExpired(clock.now());
        }
        BOOST_TEST(a.View.revision() >= before);
        for (const auto &it : views) {
          if (it.View.revision() != revision)
            continue;
          for (const auto &[id, server] : registry)
            BOOST_TEST((it.stateOf(server.Name) == server.State),
                       "step " << step << " server " << id);
        }
      }
    }
  }
}

// A peer that was suspended for longer than removals are remembered, and then
// gossips what it knew, must not bring back a server that has left.
BOOST_AUTO_TEST_CASE(RemovedServerIsNotBroughtBackByAPeer) {
  for (const bool isSnapshot : {false, true}) {
    common::ManualClock clock;
    ViewFixture it;
    load(it, clock.now());
    auto page = samplePage(20, {});
    page.Removed.push_back({"s1", 20});
    it.View.applyChanges(page, clock.now(), clock.now());
    clock.advance(unittests::LapsedServerRetention + 1s);
    it.View.discardExpired(clock.now());
    BOOST_REQUIRE(it.Directory.findByName("s1") == nullptr);
    if (isSnapshot)
      it.View.applySnapshot({0, 12, {}, {sampleServer(1, 3)}}, 70s,
                            clock.now());
    else
      it.View.applyPeerChanges({0, 12, {sampleServer(1, 3)}}, 70s, clock.now());
    BOOST_TEST((it.stateOf("s1") == ServerState::Lapsed));
    // One that has registered since is new.
    it.View.applyPeerChanges({20, 31, {sampleServer(3, 31)}}, 0ms, clock.now());
    BOOST_TEST((it.stateOf("s3") == ServerState::Ready));
  }
}

// Changes do not carry the configuration. A view that advances past a version
// that it lacks never learns of it if the only host that read it ends before it
// was asked.
BOOST_AUTO_TEST_CASE(ChangesNeedTheConfigurationToBeComplete) {
  common::ManualClock clock;
  ViewFixture reader;
  ViewFixture it;
  load(reader, clock.now());
  load(it, clock.now());
  reader.View.applyChanges(samplePage(20, {}, 5), clock.now(), clock.now());
  BOOST_TEST(!it.View.applyPeerChanges(reader.View.recentChanges(8), 0ms,
                                       clock.now()));
  // The next watch must ask for what was written after revision 10.
  BOOST_TEST(it.View.revision() == 10U);
  it.View.applySnapshot(reader.View.snapshotSince(10, 1), 0ms, clock.now());
  BOOST_TEST(it.View.revision() == 20U);
  BOOST_TEST(it.View.configurationVersion() == 5U);
}

// A host that starts after a server was removed reads a list without it, and
// knows no removal. Peers that ask it for what they lack must not keep the
// server: one that had left was in use until it was registered again.
BOOST_AUTO_TEST_CASE(RemovalBeforeAListReachesPeersWithAnOlderView) {
  for (const bool isRelayed : {false, true}) {
    common::ManualClock clock;
    ViewFixture late;
    ViewFixture started;
    ViewFixture relay;
    load(late, clock.now());
    started.View.applyEntries(samplePage(30, {sampleServer(2, 4)}, 1),
                              clock.now());
    started.View.finishList({"s2"}, {30, clock.now()}, clock.now());
    relay.View.applySnapshot(started.View.snapshotSince(0, 0), 0ms,
                             clock.now());
    const auto &peer = isRelayed ? relay : started;
    late.View.applySnapshot(peer.View.snapshotSince(late.View.revision(), 1),
                            0ms, clock.now());
    BOOST_TEST(late.View.revision() == 30U);
    BOOST_TEST((late.stateOf("s1") == ServerState::Lapsed));
    BOOST_TEST((late.stateOf("s2") == ServerState::Ready));
  }
}

namespace {

/// A list of the registry in \p era.
void readList(ViewFixture &it, std::uint64_t era, std::uint64_t revision,
              const std::vector<routing::ServerRegistration> &servers,
              common::TimePoint now) {
  auto page = samplePage(revision, servers, 1);
  page.Era = era;
  std::set<std::string> names;
  for (const auto &server : servers)
    names.insert(server.Name);
  it.View.applyEntries(page, now);
  it.View.finishList(names, {revision, now, era}, now);
}

routing::ServerRegistration
writtenServer(std::uint64_t identity, std::uint64_t revision,
              std::uint64_t sequence, ServerState state = ServerState::Ready) {
  auto server = sampleServer(identity, revision, state);
  server.StartTimeMs = 1000;
  server.Sequence = sequence;
  return server;
}

} // namespace

// The copy that the registry is restored from shows a server as ready that has
// announced its end since. New flows would go to a server that leaves.
BOOST_AUTO_TEST_CASE(LeavingServerIsNotReadyAgainAfterARestore) {
  common::ManualClock clock;
  ViewFixture it;
  readList(
      it, 1, 30,
      {writtenServer(1, 25, 6, ServerState::Draining), writtenServer(2, 4, 1)},
      clock.now());
  clock.advance(fleet::FleetView::MinRewriteTime);
  readList(it, 2, 20, {writtenServer(1, 3, 1), writtenServer(2, 4, 1)},
           clock.now());
  BOOST_TEST((it.stateOf("s1") == ServerState::Draining));
  clock.advance(fleet::FleetView::MinRewriteTime);
  readList(it, 2, 21, {writtenServer(1, 3, 1), writtenServer(2, 4, 1)},
           clock.now());
  it.View.reconcileEra(clock.now());
  // A run that announced its end does not become ready again.
  BOOST_TEST((it.stateOf("s1") == ServerState::Lapsed));
  BOOST_TEST((it.stateOf("s2") == ServerState::Ready));
}

// A server that registered in the lost seconds stays in use until it had the
// time to register again, and lapses if it did not.
BOOST_AUTO_TEST_CASE(ServerThatIsNotRegisteredAgainLapsesAfterTheRewriteTime) {
  common::ManualClock clock;
  ViewFixture it;
  readList(it, 1, 30, {writtenServer(1, 3, 1), writtenServer(2, 25, 1)},
           clock.now());
  readList(it, 2, 20, {writtenServer(1, 3, 1)}, clock.now());
  it.View.reconcileEra(clock.now());
  BOOST_TEST((it.stateOf("s2") == ServerState::Ready));
  clock.advance(fleet::FleetView::MinRewriteTime);
  // The view must be known to be complete after that time.
  it.View.reconcileEra(clock.now());
  BOOST_TEST((it.stateOf("s2") == ServerState::Ready));
  readList(it, 2, 21, {writtenServer(1, 3, 1)}, clock.now());
  it.View.reconcileEra(clock.now());
  BOOST_TEST((it.stateOf("s2") == ServerState::Lapsed));
  BOOST_TEST((it.stateOf("s1") == ServerState::Ready));
  BOOST_REQUIRE(it.Observer.Reconciliations.size() == 1U);
  BOOST_TEST(it.Observer.Reconciliations.front().Lapsed == 1U);
}

// A server does not write again what the copy has already. One that had lapsed
// and come back in the lost seconds is in the copy with an earlier entry, and
// must not lapse for good.
BOOST_AUTO_TEST_CASE(UnchangedEntryIsConfirmedAfterTheRewriteTime) {
  common::ManualClock clock;
  ViewFixture reader;
  ViewFixture follower;
  readList(reader, 1, 30, {writtenServer(1, 25, 9)}, clock.now());
  follower.View.applySnapshot(reader.View.snapshotSince(0, 0), 0ms,
                              clock.now());
  readList(reader, 2, 20, {writtenServer(1, 3, 1)}, clock.now());
  // A host that enters the era by a peer's view must know of the entry, too.
  follower.View.applySnapshot(reader.View.snapshotSince(30, 1, 1), 0ms,
                              clock.now());
  BOOST_TEST(follower.View.era() == 2U);
  clock.advance(fleet::FleetView::MinRewriteTime + 1s);
  for (auto *it : {&reader, &follower}) {
    it->View.applyPeerChanges({.From = 20, .To = 21, .Servers = {}, .Era = 2},
                              0ms, clock.now());
    it->View.reconcileEra(clock.now());
    BOOST_TEST((it->stateOf("s1") == ServerState::Ready));
    BOOST_TEST(it->Directory.findByName("s1")->Registration.Era == 2U);
  }
}

// Load pattern: hosts gossip entries of the copy that look outdated to each
// other until the view is reconciled. Each round would renew the changes of all
// hosts, up to 8 in each message, for as long as the registry is away again.
BOOST_AUTO_TEST_CASE(WithheldEntriesAreToldOnce) {
  common::ManualClock clock;
  ViewFixture it;
  readList(it, 1, 30, {writtenServer(1, 25, 9)}, clock.now());
  readList(it, 2, 20, {writtenServer(1, 3, 1)}, clock.now());
  fleet::ViewChanges changes{.From = 20, .To = 21, .Servers = {}, .Era = 2};
  auto entry = writtenServer(1, 21, 1);
  entry.Era = 2;
  changes.Servers.push_back(entry);
  it.View.applyPeerChanges(changes, 0ms, clock.now());
  BOOST_TEST(it.View.recentChanges(8).Servers.size() == 2U);
  clock.advance(fleet::FleetView::HistoryRetention - 1s);
  it.View.applyPeerChanges(changes, 0ms, clock.now());
  clock.advance(2s);
  it.View.discardExpired(clock.now());
  BOOST_TEST(it.View.recentChanges(8).Servers.empty());
}

// A host that was suspended over the restore gossips revisions of the lost
// history, which are higher. They must not advance the views of others, and it
// must learn that it is behind.
BOOST_AUTO_TEST_CASE(PeerOfAnEarlierEraIsBehind) {
  common::ManualClock clock;
  ViewFixture it;
  ViewFixture suspended;
  readList(suspended, 1, 30, {writtenServer(1, 3, 1)}, clock.now());
  readList(it, 2, 20, {writtenServer(1, 3, 1)}, clock.now());
  BOOST_TEST(it.View.applyPeerChanges(suspended.View.recentChanges(8), 0ms,
                                      clock.now()));
  BOOST_TEST(it.View.revision() == 20U);
  BOOST_TEST(!suspended.View.applyPeerChanges(it.View.recentChanges(8), 0ms,
                                              clock.now()));
  suspended.View.applySnapshot(it.View.snapshotSince(30, 1, 1), 0ms,
                               clock.now());
  BOOST_TEST(suspended.View.era() == 2U);
  BOOST_TEST(suspended.View.revision() == 20U);
  BOOST_TEST((suspended.Observer.Eras == std::vector<std::uint64_t>{2}));
}

// A host of the last version states no era. Its revisions must not be taken for
// ones of the current era.
BOOST_AUTO_TEST_CASE(PeerWithoutErasDoesNotAdvanceTheView) {
  common::ManualClock clock;
  ViewFixture it;
  readList(it, 2, 20, {writtenServer(1, 3, 1)}, clock.now());
  it.View.applyPeerChanges({20, 40, {sampleServer(1, 39)}}, 0ms, clock.now());
  BOOST_TEST(it.View.revision() == 20U);
  BOOST_TEST(it.Directory.findByName("s1")->Registration.Revision == 3U);
  // It gets a full snapshot, as it cannot state what it has.
  BOOST_TEST(it.View.snapshotSince(20, 1).From == 0U);
}

// A host that starts while the registry is away may get an old view first.
// Nothing of it may come back once more is known, nor may it count as current.
BOOST_AUTO_TEST_CASE(HostThatStartedWithAnOldViewDoesNotReturnToIt) {
  common::ManualClock clock;
  const auto now = clock.now();
  ViewFixture old;
  load(old, now);
  const auto oldSnapshot = old.View.snapshotSince(0, 0);
  const auto oldChanges = old.View.recentChanges(8);
  ViewFixture later;
  load(later, now);
  auto page =
      samplePage(20, {sampleServer(1, 15, routing::ServerState::Draining)}, 2);
  page.Removed.push_back({"s2", 18});
  later.View.applyChanges(page, now, now);

  ViewFixture it;
  it.View.applySnapshot(oldSnapshot, 60s, now);
  BOOST_TEST(it.View.isComplete());
  BOOST_TEST((it.View.age(now) >= 60s));
  it.View.applySnapshot(later.View.snapshotSince(0, 0), 200ms, now);
  for (const auto age : {0ms, 60000ms}) {
    it.View.applySnapshot(oldSnapshot, age, now);
    it.View.applyPeerChanges(oldChanges, age, now);
    BOOST_TEST(it.View.configurationVersion() == 2U);
    BOOST_TEST(it.View.revision() == 20U);
    BOOST_TEST((it.View.age(now) >= 200ms));
    BOOST_TEST((it.stateOf("s1") == routing::ServerState::Draining));
    BOOST_TEST((it.stateOf("s2") == routing::ServerState::Lapsed));
  }
}

BOOST_AUTO_TEST_SUITE_END()
