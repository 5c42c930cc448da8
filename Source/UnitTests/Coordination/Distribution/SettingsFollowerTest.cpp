#include "Coordination/Distribution/SettingsFollower.h"

#include "Bench/ZoneSimulation.h"
#include "Coordination/Distribution/MergePatch.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using bench::sampleDocument;
using bench::ZoneSimulation;
using distribution::SettingsFollower;
using distribution::SettingsUpdateOutcome;

namespace {

constexpr common::TimePoint Start{1h};

ZoneSimulation startedZone(std::size_t hosts,
                           bench::NetworkOptions network = {}) {
  ZoneSimulation zone(hosts, 1, network);
  zone.startAll();
  zone.publish(0, sampleDocument(1, 2, 2, 0));
  zone.run(6s);
  BOOST_REQUIRE(zone.allHaveSettings(zone.Nodes[0].Follower->stamp()));
  return zone;
}

// The reply of \p to to a settings request of \p from.
messages::SettingsReply fetch(SettingsFollower &from, SettingsFollower &to) {
  const auto request = from.onPeerSettings(Start, "peer", to.stamp());
  BOOST_REQUIRE(request.has_value());
  auto reply = to.onSettingsRequest(request->Request);
  BOOST_REQUIRE(reply.has_value());
  return *reply;
}

const std::size_t ZoneSizes[] = {3, 8, 32, 100};

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFollowerTest)

// Guards against a revision that is slow to take effect or misses a host.
BOOST_DATA_TEST_CASE(RevisionReachesAllHosts,
                     boost::unit_test::data::make(ZoneSizes), hosts) {
  for (const auto loss : {0.0, 0.01}) {
    auto zone = startedZone(hosts, {loss, 500us, 5000us});
    zone.publish(hosts / 2, sampleDocument(2, 2, 2, 1));
    const auto stamp = zone.Nodes[hosts / 2].Follower->stamp();
    BOOST_TEST(stamp.Revision == 2);
    BOOST_TEST(
        (zone.runUntil([&] { return zone.allHaveSettings(stamp); }, 4s) <= 2s));
  }
}

// Guards against sides of a partition that keep different revisions.
BOOST_DATA_TEST_CASE(HighestRevisionWinsAfterPartition,
                     boost::unit_test::data::make(ZoneSizes), hosts) {
  auto zone = startedZone(hosts);
  for (std::size_t i = 0; i < hosts; ++i)
    zone.Nodes[i].PartitionId = static_cast<int>(i % 2);
  zone.run(20s);
  zone.publish(0, sampleDocument(2, 2, 2, 1));
  zone.publish(1, sampleDocument(3, 2, 2, 2));
  zone.run(5s);
  BOOST_TEST(!zone.allHaveSettings(zone.Nodes[1].Follower->stamp()));
  for (auto &it : zone.Nodes)
    it.PartitionId = 0;
  const auto stamp = zone.Nodes[1].Follower->stamp();
  BOOST_TEST(
      (zone.runUntil([&] { return zone.allHaveSettings(stamp); }, 10s) < 5s));
  for (const auto &it : zone.Nodes)
    BOOST_TEST(!it.HasRevertedSettings);
}

// Guards against two revisions, published on different hosts within a second,
// of which the lower one remains in force anywhere.
BOOST_AUTO_TEST_CASE(HigherOfTwoConcurrentRevisionsWins) {
  auto zone = startedZone(32, {0.01, 500us, 20000us});
  zone.publish(3, sampleDocument(2, 2, 2, 1));
  zone.run(150ms);
  zone.publish(20, sampleDocument(3, 2, 2, 2));
  zone.run(100ms);
  // The same revision again with another content: the higher digest wins.
  zone.publish(9, sampleDocument(3, 2, 2, 3));
  zone.run(5s);
  BOOST_TEST(zone.Nodes[0].Follower->stamp().Revision == 3);
  BOOST_TEST(zone.allHaveSettings(zone.Nodes[0].Follower->stamp()));
  for (const auto &it : zone.Nodes)
    BOOST_TEST(!it.HasRevertedSettings);
}

// Guards against an outdated platform or a resumed peer that restores old
// settings. A rollback is a new revision with the old content.
BOOST_AUTO_TEST_CASE(OldRevisionsAreNotApplied) {
  auto zone = startedZone(8);
  zone.pause(2, 20s);
  zone.publish(0, sampleDocument(2, 2, 2, 1));
  zone.run(10s);
  BOOST_TEST((zone.publish(0, sampleDocument(1, 2, 2, 0)) ==
              SettingsUpdateOutcome::NotNewer));
  zone.run(15s);
  BOOST_TEST(zone.allHaveSettings(zone.Nodes[0].Follower->stamp()));
  BOOST_TEST(zone.Nodes[2].Follower->stamp().Revision == 2);
  zone.publish(5, sampleDocument(3, 2, 2, 0));
  zone.run(2s);
  BOOST_TEST(zone.allHaveSettings(zone.Nodes[5].Follower->stamp()));
  BOOST_TEST(zone.Nodes[0].Follower->stamp().Revision == 3);
  for (const auto &it : zone.Nodes)
    BOOST_TEST(!it.HasRevertedSettings);
}

// Guards against hosts that disagree on whether a document is valid, and
// against a refused one that replaces the settings in force.
BOOST_AUTO_TEST_CASE(RefusedDocumentChangesNothing) {
  const std::string bad[] = {"",
                             "{",
                             "[]",
                             "{\"revision\": 9}",
                             std::string(2000, '['),
                             std::string(1'000'001, ' ')};
  for (const auto &text : bad) {
    SettingsFollower fresh;
    SettingsFollower settled;
    settled.onPlatformDocument(sampleDocument(4, 1, 1, 0));
    for (auto *it : {&fresh, &settled}) {
      const auto before = it->stamp();
      BOOST_TEST(
          (it->onPlatformDocument(text) == SettingsUpdateOutcome::Refused));
      BOOST_TEST(
          (it->onPlatformDocument(text) == SettingsUpdateOutcome::Refused));
      BOOST_TEST((it->stamp() == before));
      BOOST_TEST(it->refusals().size() == 1);
      BOOST_TEST(!it->refusals().front().Errors.empty());
    }
    BOOST_TEST(fresh.refusals().front().Errors ==
               settled.refusals().front().Errors);
    BOOST_TEST(
        (fresh.refusals().front().Stamp == settled.refusals().front().Stamp));
  }
}

// Guards against a host that cannot start while the platform is down.
BOOST_AUTO_TEST_CASE(JoiningHostFetchesSettingsFromSeeds) {
  auto zone = startedZone(40);
  zone.kill(7);
  zone.run(10s);
  zone.Options.Seeds = {zone.peerEndpointOf(39), zone.peerEndpointOf(11)};
  zone.start(7);
  BOOST_TEST((zone.Nodes[7].Members->selfState() == state::HostState::Joining));
  const auto &joiner = zone.Nodes[7];
  const auto live = [&] {
    return joiner.Members->selfState() == state::HostState::Live;
  };
  BOOST_TEST((zone.runUntil(live, 5s) <= 2s));
  BOOST_TEST((joiner.Follower->stamp() == zone.Nodes[0].Follower->stamp()));
  zone.run(2s);
  BOOST_TEST(zone.allHostsLive());
}

// Guards against deltas that do not reproduce the document, including those
// that a merge patch cannot express.
BOOST_AUTO_TEST_CASE(DeltasReproduceTheDocument) {
  SettingsFollower sender;
  SettingsFollower receiver;
  sender.onPlatformDocument(sampleDocument(1, 20, 3, 0));
  receiver.onSettingsReply(Start, "peer", fetch(receiver, sender));
  sender.onPlatformDocument(sampleDocument(2, 20, 3, 7));
  const auto delta = fetch(receiver, sender);
  BOOST_TEST((delta.Base == receiver.stamp()));
  BOOST_TEST(delta.Text.size() < sender.text().size() / 5);
  const auto applied = receiver.onSettingsReply(Start, "peer", delta);
  BOOST_TEST((applied.Outcome == SettingsUpdateOutcome::InForce));
  BOOST_TEST((receiver.stamp() == sender.stamp()));
  // Fewer services: this delta is shorter as a merge patch.
  sender.onPlatformDocument(sampleDocument(3, 3, 3, 0));
  const auto merge = fetch(receiver, sender);
  BOOST_TEST(merge.Text.front() == '{');
  receiver.onSettingsReply(Start, "peer", merge);
  BOOST_TEST((receiver.stamp() == sender.stamp()));

  using Json = nlohmann::json;
  const Json cases[][2] = {{{{"a", 1}, {"b", {1, 2}}}, {{"b", {2}}}},
                           {{{"a", {{"x", 1}}}}, {{"a", {{"y", 1}}}}},
                           {{{"a", 1}}, {{"a", 1.0}}},
                           {{{"a", 1}}, {{"a", Json::object()}}}};
  for (const auto &[from, to] : cases) {
    auto result = from;
    result.merge_patch(distribution::makeMergePatch(from, to).value());
    BOOST_TEST(result.dump() == to.dump());
  }
  BOOST_TEST(!distribution::makeMergePatch({{"a", 1}}, {{"a", nullptr}}));
}

// Guards against a delta that corrupts settings, and against a host that does
// not request the whole document after a delta that does not apply.
BOOST_AUTO_TEST_CASE(MismatchRequestsTheDocument) {
  SettingsFollower sender;
  SettingsFollower receiver;
  sender.onPlatformDocument(sampleDocument(1, 2, 2, 0));
  receiver.onPlatformDocument(sampleDocument(1, 2, 2, 0));
  sender.onPlatformDocument(sampleDocument(2, 2, 2, 1));
  auto delta = fetch(receiver, sender);
  for (const auto *text :
       {"", "7", R"([{"op": "remove", "path": "/none"}])", "[7]",
        R"([{"op": "copy", "from": "", "path": "/a"}])"}) {
    delta.Text = text;
    BOOST_TEST((receiver.onSettingsReply(Start, "peer", delta).Outcome ==
                SettingsUpdateOutcome::Mismatch));
  }
  delta.Text = R"({"revision": 2})";
  const auto outcome = receiver.onSettingsReply(Start, "peer", delta);
  BOOST_TEST((outcome.Outcome == SettingsUpdateOutcome::Mismatch));
  BOOST_TEST(receiver.stamp().Revision == 1);
  BOOST_REQUIRE(outcome.Next.has_value());
  BOOST_TEST((outcome.Next->Request.Base == messages::SettingsStamp{}));
  const auto document = sender.onSettingsRequest(outcome.Next->Request);
  BOOST_REQUIRE(document.has_value());
  receiver.onSettingsReply(Start, "peer", *document);
  BOOST_TEST((receiver.stamp() == sender.stamp()));
}

// Guards against several requests at once, and against waiting forever for a
// peer that does not answer.
BOOST_AUTO_TEST_CASE(SilentPeerIsReplaced) {
  SettingsFollower follower;
  const messages::SettingsStamp higher{5, 1};
  const auto first = follower.onPeerSettings(Start, "a", higher);
  BOOST_REQUIRE(first.has_value());
  for (const auto *peer : {"a", "b", "c"})
    BOOST_TEST(!follower.onPeerSettings(Start, peer, higher));
  BOOST_TEST(!follower.onTick(Start + 499ms));
  const auto second = follower.onTick(Start + 500ms);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->Peer != first->Peer);
  const auto third = follower.onTick(Start + 1000ms);
  BOOST_REQUIRE(third.has_value());
  BOOST_TEST(third->Peer != first->Peer);
  BOOST_TEST(third->Peer != second->Peer);
}

BOOST_AUTO_TEST_SUITE_END()
