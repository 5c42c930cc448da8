#include "Fleet/SharedFailureDetector.h"
#include "Fleet/EvidenceOwners.h"
#include "UnitTests/Fleet/DetectorZone.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::EvidenceRejection;
using fleet::VerdictEndReason;
using fleet::VerdictKind;
using unittests::DetectorHost;
using unittests::DetectorZone;

namespace {

// Load of a zone of the large deployments: 60 hosts, 96 servers with 5.2
// requests a second each.
constexpr std::uint32_t LargeZoneHosts = 60;
constexpr std::uint64_t LargeZoneServers = 96;
constexpr double RequestRate = 5.2;
/// Hosts need some answers to know how many packets are lost.
constexpr std::chrono::seconds WarmUp{10};

std::chrono::milliseconds since(common::TimePoint start,
                                common::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time - start);
}

/// A host of zone "a" with a verdict of \p sender on server "s1".
struct VerdictFixture {
  common::ManualClock Clock;
  DetectorHost Host{DetectorZone::FirstAddress, 8, Clock.now()};
  fleet::PeerInfo Sender;
  fleet::ServerVerdict Verdict{1, 0, VerdictKind::Dead, 500ms};

  VerdictFixture() {
    Clock.advance(10s);
    for (std::uint32_t n = 1; n < 20; ++n)
      Host.Peers.applyDirectUpdate({DetectorZone::FirstAddress + n, "a", 1, 1},
                                   Clock.now());
    const auto owners = owningHosts();
    Sender = {
        *std::ranges::find_if(
            owners, [](auto it) { return it != DetectorZone::FirstAddress; }),
        "a", 1, 1};
  }
  std::vector<std::uint32_t> owningHosts() const {
    return fleet::EvidenceOwners::choose(
        1, Host.Peers.hostsInZone(Clock.now()),
        fleet::EvidenceOwners::AcceptedPerServer);
  }
  void receive() {
    fleet::GossipMessage message;
    message.Sender = Sender;
    message.Verdicts.push_back(Verdict);
    Host.Detector.onMessage(message, Clock.now());
  }
  bool isRejected(EvidenceRejection why) {
    receive();
    return Host.Detector.takeDead().empty() &&
           Host.Observer.Rejected == std::vector{why};
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SharedFailureDetectorTest)

// Load pattern: a quarter of the servers behind a large zone fall silent at
// once. One host sees a request of each such server every 11 s, so that alone
// it needs half a minute to find it dead, and its callers wait for their
// timeouts until then. The zone must know within a second.
BOOST_AUTO_TEST_CASE(SilentServersAreKnownToALargeZone) {
  std::vector<std::chrono::milliseconds> times;
  for (const auto seed : unittests::seeds({1, 2, 3, 9, 12})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DetectorZone zone(LargeZoneHosts, LargeZoneServers, seed);
      zone.run(WarmUp, RequestRate);
      const auto start = zone.Clock.now();
      for (routing::ServerId id = 0; id < LargeZoneServers / 4; ++id)
        zone.setSilent(id);
      zone.run(3s, RequestRate);
      BOOST_TEST(zone.Dead.size() == LargeZoneServers / 4);
      for (const auto &[id, it] : zone.Dead) {
        BOOST_TEST(id < LargeZoneServers / 4);
        times.push_back(since(start, it.Last));
        for (const auto &host : zone.Hosts)
          BOOST_TEST(host->Health.isDead(id, zone.Clock.now()));
      }
    }
  }
  BOOST_REQUIRE(!times.empty());
  std::ranges::sort(times);
  BOOST_TEST(times[times.size() / 2].count() <= 800);
}

// Lost packets look like a silent server. At 10% loss for a minute no server
// may be found dead.
BOOST_AUTO_TEST_CASE(LostPacketsCauseNoVerdict) {
  for (const auto seed : unittests::seeds({1, 2, 3, 34, 57})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DetectorZone zone(LargeZoneHosts, LargeZoneServers, seed);
      zone.setLoss(0.1);
      zone.run(60s, RequestRate);
      BOOST_TEST(zone.Dead.empty());
    }
  }
}

// Servers with eight times the work, up to 0.84 s for a request, are slow but
// alive; their running requests must not be given up.
BOOST_AUTO_TEST_CASE(SlowServersAreNotDead) {
  for (const auto seed : unittests::seeds({1, 2, 3, 10, 27})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DetectorZone zone(LargeZoneHosts, LargeZoneServers, seed);
      zone.run(WarmUp, RequestRate);
      for (routing::ServerId id = 0; id < LargeZoneServers / 5; ++id)
        zone.setSlow(id, 8);
      zone.run(20s, RequestRate);
      BOOST_TEST(zone.Dead.empty());
    }
  }
}

// A host whose packets reach no server sees all of them silent. The others of a
// small zone must not believe it.
BOOST_AUTO_TEST_CASE(IsolatedHostCausesNoVerdict) {
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DetectorZone zone(3, 6, seed);
      zone.run(3s, 24);
      zone.setIsolated(0);
      zone.run(10s, 24);
      BOOST_TEST(zone.Dead.empty());
    }
  }
}

// A host that collects evidence on a silent server may be killed at the same
// moment; the second owner decides without it.
BOOST_AUTO_TEST_CASE(LossOfAnOwnerDelaysNoVerdict) {
  DetectorZone zone(LargeZoneHosts, LargeZoneServers, 7);
  zone.run(WarmUp, RequestRate);
  const auto start = zone.Clock.now();
  const auto identity = zone.Hosts[0]->Directory.at(0).Registration.Identity;
  const auto owners = fleet::EvidenceOwners::choose(
      identity, zone.Hosts[0]->Peers.hostsInZone(start), 1);
  zone.setDown(owners.front() - DetectorZone::FirstAddress);
  zone.setSilent(0);
  zone.run(2s, RequestRate);
  BOOST_REQUIRE(zone.Dead.contains(0));
  BOOST_TEST(since(start, zone.Dead[0].Last).count() <= 1500);
  BOOST_TEST(zone.Dead[0].HostCount == LargeZoneHosts - 1);
}

// The traffic of the reports must stay small beside 5 kB/s a host, also while a
// tenth of all packets is lost and suspicions are raised and refuted all the
// time.
BOOST_AUTO_TEST_CASE(EvidenceFitsTheControlBudget) {
  DetectorZone zone(LargeZoneHosts, LargeZoneServers, 1);
  zone.setLoss(0.1);
  zone.run(20s, RequestRate);
  BOOST_TEST(zone.MessageBytes / 20 / LargeZoneHosts < 2500U);
}

// Guards against lines of verdicts that crowd each other out: each event is
// limited to 100 lines a second, and the lines of a host must explain each of
// its verdicts, also when a quarter of the servers falls silent at once.
BOOST_AUTO_TEST_CASE(VerdictsFitTheLimitOfTheLog) {
  constexpr std::size_t MaxLinesPerSecond = 100;
  DetectorZone zone(LargeZoneHosts, LargeZoneServers, 1);
  zone.run(WarmUp, RequestRate);
  for (routing::ServerId id = 0; id < LargeZoneServers / 4; ++id)
    zone.setSilent(id);
  std::vector<std::size_t> events(LargeZoneHosts);
  std::vector<std::size_t> ends(LargeZoneHosts);
  std::size_t most = 0;
  for (int second = 0; second < 20; ++second) {
    zone.run(1s, RequestRate);
    for (std::size_t n = 0; n < LargeZoneHosts; ++n) {
      const auto &seen = zone.Hosts[n]->Observer;
      most = std::max(
          {most, seen.Events.size() - events[n], seen.Ends.size() - ends[n]});
      events[n] = seen.Events.size();
      ends[n] = seen.Ends.size();
    }
  }
  BOOST_TEST_MESSAGE("at most " << most << " lines of an event a second");
  BOOST_TEST(zone.Dead.size() == LargeZoneServers / 4);
  BOOST_TEST(most <= MaxLinesPerSecond);
}

// A process that was paused has seen no answers meanwhile, and what it had
// collected is outdated.
BOOST_AUTO_TEST_CASE(PausedOwnerDiscardsItsEvidence) {
  VerdictFixture it;
  fleet::GossipMessage message;
  message.Sender = {DetectorZone::FirstAddress + 5, "a", 1, 1};
  message.Suspects.push_back({1, 200ms, 1, 0, 100, true});
  message.Suspects.push_back({1, 200ms, 2, 0, 100, true});
  it.Host.Detector.poll(it.Clock.now());
  it.Host.Detector.onMessage(message, it.Clock.now());
  it.Host.Detector.takeOutgoing();
  it.Clock.advance(900ms);
  it.Host.Detector.poll(it.Clock.now());
  BOOST_TEST(it.Host.Detector.caseCount() == 0U);
  BOOST_TEST(it.Host.Detector.takeOutgoing().empty());
}

// After a pause a message may be handled before the next poll.
BOOST_AUTO_TEST_CASE(PausedOwnerDiscardsItsEvidenceBeforeAMessage) {
  VerdictFixture it;
  fleet::GossipMessage message;
  message.Sender = {DetectorZone::FirstAddress + 5, "a", 1, 1};
  message.Suspects.push_back({1, 200ms, 2, 0, 100, true});
  it.Host.Detector.poll(it.Clock.now());
  it.Host.Detector.onMessage(message, it.Clock.now());
  it.Clock.advance(900ms);
  message.Sender.Address += 1;
  it.Host.Detector.onMessage(message, it.Clock.now());
  BOOST_TEST(it.Host.Detector.takeDead().empty());
}

// A verdict of an owner is applied once, and repeated ones change nothing.
BOOST_AUTO_TEST_CASE(VerdictsOfOwnersAreApplied) {
  VerdictFixture it;
  it.receive();
  it.receive();
  BOOST_TEST(it.Host.Detector.takeDead() == std::vector<routing::ServerId>{0},
             boost::test_tools::per_element());
  BOOST_TEST(it.Host.Health.isDead(0, it.Clock.now()));
  BOOST_TEST(it.Host.Observer.Verdicts.size() == 1U);
  it.Verdict.Kind = VerdictKind::Answering;
  it.Verdict.Age = 10ms;
  it.receive();
  BOOST_TEST(!it.Host.Health.isDead(0, it.Clock.now()));
  BOOST_TEST(!it.Host.Health.isSuspect(0, it.Clock.now()));
}

// Hosts that lie or know an older state must not end flows: verdicts are taken
// only from owners of the zone, on the known run of a known server.
BOOST_AUTO_TEST_CASE(OtherVerdictsAreRejected) {
  {
    VerdictFixture it;
    const auto owners = it.owningHosts();
    it.Sender.Address = DetectorZone::FirstAddress + 1;
    while (std::ranges::find(owners, it.Sender.Address) != owners.end())
      ++it.Sender.Address;
    BOOST_TEST(it.isRejected(EvidenceRejection::NotOwner));
  }
  {
    VerdictFixture it;
    it.Sender.Zone = "b";
    BOOST_TEST(it.isRejected(EvidenceRejection::OtherZone));
  }
  {
    VerdictFixture it;
    it.Verdict.StartTimeMs = 5;
    BOOST_TEST(it.isRejected(EvidenceRejection::OtherRun));
  }
}

// A verdict on an identity never seen must be dropped, whoever sends it.
BOOST_AUTO_TEST_CASE(UnknownIdentityIsRejected) {
  VerdictFixture it;
  it.Verdict.Identity = 0x99;
  const auto owners = fleet::EvidenceOwners::choose(
      0x99, it.Host.Peers.hostsInZone(it.Clock.now()),
      fleet::EvidenceOwners::AcceptedPerServer);
  it.Sender.Address =
      owners[0] == DetectorZone::FirstAddress ? owners[1] : owners[0];
  BOOST_TEST(it.isRejected(EvidenceRejection::UnknownServer));
}

// A host that has seen a later answer keeps its flows and tells the owners.
BOOST_AUTO_TEST_CASE(LaterAnswerRefutesAVerdict) {
  VerdictFixture it;
  it.Host.Health.onAnswer(0, 0, it.Clock.now() - 200ms, it.Clock.now() - 100ms);
  BOOST_TEST(it.isRejected(EvidenceRejection::Refuted));
  const auto out = it.Host.Detector.takeOutgoing();
  BOOST_REQUIRE(!out.empty());
  for (const auto &message : out) {
    BOOST_REQUIRE(message.Message.Answers.size() == 1U);
    BOOST_TEST((message.Message.Answers.front().Age == 100ms));
  }
}

// Guards against a verdict of this host that operators cannot trace to the
// packets behind it, and an answer whose witness is unknown.
BOOST_AUTO_TEST_CASE(OwnerTellsItsEvidenceAndWhoSawTheAnswer) {
  common::ManualClock clock;
  clock.advance(10s);
  DetectorHost host(DetectorZone::FirstAddress, 8, clock.now());
  // In a zone of two hosts both collect the evidence on every server.
  const fleet::PeerInfo peer{DetectorZone::FirstAddress + 1, "a", 1, 1};
  host.Peers.applyDirectUpdate(peer, clock.now());
  host.Detector.poll(clock.now());
  fleet::GossipMessage report;
  report.Sender = peer;
  report.Suspects.push_back({1, 300ms, 3, 1, 100, true});
  host.Detector.onMessage(report, clock.now());
  for (int n = 0; n < 2; ++n) {
    clock.advance(75ms);
    host.Detector.poll(clock.now());
  }
  const auto &events = host.Observer.Events;
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST((events[0].Kind == VerdictKind::Suspected));
  BOOST_TEST((events[1].Kind == VerdictKind::Dead));
  for (const auto &event : events) {
    BOOST_TEST(event.DecidedBy == DetectorZone::FirstAddress);
    BOOST_REQUIRE(event.Basis.has_value());
    BOOST_TEST(event.Basis->Evidence.RequestCount == 3U);
    BOOST_TEST(event.Basis->Evidence.SynCount == 1U);
    BOOST_TEST(event.Basis->Evidence.HasSeveralCallers);
    BOOST_TEST(event.Basis->ReporterCount == 1U);
    BOOST_TEST(event.Basis->Quality.HasManyRetransmissions);
  }
  BOOST_TEST((events[1].Age == 450ms));

  clock.advance(100ms);
  fleet::GossipMessage answer;
  answer.Sender = peer;
  answer.Answers.push_back({1, 10ms});
  host.Detector.onMessage(answer, clock.now());
  host.Detector.poll(clock.now());
  BOOST_REQUIRE(events.size() == 3U);
  BOOST_TEST((events[2].Kind == VerdictKind::Answering));
  BOOST_TEST(events[2].AnswerSeenBy == peer.Address);
  BOOST_REQUIRE(host.Observer.Ends.size() == 1U);
  const auto &end = host.Observer.Ends.front();
  BOOST_TEST((end.Kind == VerdictKind::Dead));
  BOOST_TEST((end.Why == VerdictEndReason::PeerAnswer));
  BOOST_TEST((end.Duration == 100ms));
  BOOST_TEST((end.Age == 10ms));
  BOOST_TEST(end.ToldBy == DetectorZone::FirstAddress);
  BOOST_TEST(end.AnswerSeenBy == peer.Address);
}

// Two hosts decide on each server. The evidence of the one that comes second
// must not be lost, and its verdict must not count as another one.
BOOST_AUTO_TEST_CASE(SecondOwnerTellsItsEvidence) {
  common::ManualClock clock;
  clock.advance(10s);
  DetectorHost host(DetectorZone::FirstAddress, 8, clock.now());
  const fleet::PeerInfo peer{DetectorZone::FirstAddress + 1, "a", 1, 1};
  host.Peers.applyDirectUpdate(peer, clock.now());
  host.Detector.poll(clock.now());
  fleet::GossipMessage message;
  message.Sender = peer;
  message.Suspects.push_back({1, 300ms, 3, 1, 100, true});
  message.Verdicts.push_back({1, 0, VerdictKind::Dead, 300ms});
  host.Detector.onMessage(message, clock.now());
  for (int n = 0; n < 2; ++n) {
    clock.advance(75ms);
    host.Detector.poll(clock.now());
  }
  BOOST_TEST(host.Observer.Verdicts.size() == 1U);
  const auto &events = host.Observer.Events;
  BOOST_REQUIRE(events.size() == 3U);
  BOOST_TEST(events[0].IsNew);
  BOOST_TEST(events[0].DecidedBy == peer.Address);
  BOOST_TEST(!events[0].Basis.has_value());
  BOOST_TEST(!events[2].IsNew);
  BOOST_TEST((events[2].Kind == VerdictKind::Dead));
  BOOST_TEST(events[2].Basis.has_value());
}

// Guards against verdicts whose end cannot be told afterwards: what ended them
// shows whether the server was alive.
BOOST_AUTO_TEST_CASE(EndOfAVerdictTellsWhatEndedIt) {
  const auto isEndedBy = [](const VerdictFixture &it, VerdictEndReason why,
                            std::chrono::milliseconds duration) {
    const auto &ends = it.Host.Observer.Ends;
    return ends.size() == 1 && ends.front().Why == why &&
           ends.front().Kind == VerdictKind::Dead &&
           ends.front().Duration == duration &&
           ends.front().DecidedBy == it.Sender.Address;
  };
  {
    VerdictFixture it;
    it.receive();
    it.Clock.advance(200ms);
    it.Host.Health.onAnswer(0, 0, it.Clock.now() - 50ms, it.Clock.now());
    it.Clock.advance(30ms);
    it.Host.Detector.poll(it.Clock.now());
    BOOST_TEST(isEndedBy(it, VerdictEndReason::Answer, 200ms));
    it.Host.Detector.poll(it.Clock.now());
    BOOST_TEST(it.Host.Observer.Ends.size() == 1U);
  }
  {
    VerdictFixture it;
    it.receive();
    it.Clock.advance(200ms);
    it.Verdict.Kind = VerdictKind::Answering;
    it.Verdict.Age = 10ms;
    it.receive();
    BOOST_TEST(isEndedBy(it, VerdictEndReason::PeerAnswer, 200ms));
    BOOST_TEST(it.Host.Observer.Ends.front().ToldBy == it.Sender.Address);
    it.Host.Detector.poll(it.Clock.now());
    BOOST_TEST(it.Host.Observer.Ends.size() == 1U);
  }
  {
    VerdictFixture it;
    it.receive();
    const auto start = it.Clock.now();
    while (it.Host.Health.isDead(0, it.Clock.now())) {
      it.Host.Detector.poll(it.Clock.now());
      BOOST_REQUIRE(it.Host.Observer.Ends.empty());
      it.Clock.advance(100ms);
    }
    it.Host.Detector.poll(it.Clock.now());
    BOOST_TEST(
        isEndedBy(it, VerdictEndReason::Time, since(start, it.Clock.now())));
  }
  {
    VerdictFixture it;
    it.receive();
    it.Clock.advance(100ms);
    auto restarted = unittests::sampleServer(1, 100);
    restarted.StartTimeMs = 5;
    it.Host.Directory.apply(restarted, it.Clock.now());
    it.Host.Detector.poll(it.Clock.now());
    BOOST_TEST(isEndedBy(it, VerdictEndReason::ServerChanged, 100ms));
  }
}

// A host that does not know yet that a server has started again reports what
// the run before left unanswered. The new run must not be taken for dead.
BOOST_AUTO_TEST_CASE(ReportsOnAnEarlierRunAreRejected) {
  common::ManualClock clock;
  clock.advance(10s);
  DetectorHost host(DetectorZone::FirstAddress, 8, clock.now());
  const fleet::PeerInfo peer{DetectorZone::FirstAddress + 1, "a", 1, 1};
  host.Peers.applyDirectUpdate(peer, clock.now());
  auto restarted = unittests::sampleServer(1, 100);
  restarted.StartTimeMs = 5;
  host.Directory.apply(restarted, clock.now());
  clock.advance(200ms);
  fleet::GossipMessage report;
  report.Sender = peer;
  report.Suspects.push_back({1, 500ms, 3, 0, 100, true});
  host.Detector.onMessage(report, clock.now());
  BOOST_TEST(
      (host.Observer.Rejected == std::vector{EvidenceRejection::OtherRun}));
  BOOST_TEST(host.Detector.caseCount() == 0U);
  report.Suspects.front().SilentFor = 200ms;
  host.Detector.onMessage(report, clock.now());
  BOOST_TEST(host.Detector.caseCount() == 1U);
}

// An answer to an announced suspicion may wait in the socket of an owner that
// did not run for a while. It must have the time to be read before the verdict.
BOOST_AUTO_TEST_CASE(StalledOwnerGrantsTimeToRefute) {
  common::ManualClock clock;
  clock.advance(10s);
  DetectorHost host(DetectorZone::FirstAddress, 8, clock.now());
  const fleet::PeerInfo peer{DetectorZone::FirstAddress + 1, "a", 1, 1};
  host.Peers.applyDirectUpdate(peer, clock.now());
  host.Detector.poll(clock.now());
  fleet::GossipMessage message;
  message.Sender = peer;
  message.Suspects.push_back({1, 500ms, 3, 0, 100, true});
  host.Detector.onMessage(message, clock.now());
  clock.advance(190ms);
  host.Detector.poll(clock.now());
  BOOST_TEST(host.Detector.takeDead().empty());
  message.Suspects.clear();
  message.Answers.push_back({1, 150ms});
  host.Detector.onMessage(message, clock.now());
  for (int n = 0; n < 6; ++n) {
    clock.advance(50ms);
    host.Detector.poll(clock.now());
    BOOST_TEST(host.Detector.takeDead().empty());
  }
}

// The detector is the only source of verdicts, so a host without peers in its
// zone must find a dead server by itself, and no other one.
BOOST_AUTO_TEST_CASE(LoneHostFindsASilentServer) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DetectorZone zone(/*hostCount=*/1, /*serverCount=*/14, seed);
      zone.run(WarmUp, /*perServer=*/10);
      BOOST_TEST(zone.Dead.empty());
      const auto start = zone.Clock.now();
      zone.setSilent(3);
      zone.run(1500ms, /*perServer=*/10);
      BOOST_REQUIRE(zone.Dead.contains(3));
      BOOST_TEST(since(start, zone.Dead[3].First).count() <= 1000);
      BOOST_TEST(zone.Dead.size() == 1U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
