#include "Fleet/FailureAggregator.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::FailureAggregator;
using fleet::VerdictKind;

namespace {

constexpr std::uint64_t Server = 0x1234567890;
constexpr std::int64_t Run = 1769245012022;
constexpr std::size_t ZoneHosts = 60;

struct AggregatorFixture {
  common::ManualClock Clock;
  FailureAggregator Aggregator;

  /// A report of one unanswered packet, sent \p age ago by \p caller.
  void report(std::uint32_t reporter, std::uint32_t caller,
              std::chrono::milliseconds age, bool isSyn = false,
              std::int64_t run = Run) {
    routing::SilenceEvidence evidence;
    evidence.Since = Clock.now() - age;
    evidence.RequestCount = isSyn ? 0 : 1;
    evidence.SynCount = isSyn ? 1 : 0;
    evidence.Caller = caller;
    Aggregator.onReport(Server, run, reporter, evidence, Clock.now());
  }
  std::vector<VerdictKind> decisions(std::chrono::milliseconds slowest = 50ms) {
    std::vector<VerdictKind> kinds;
    for (const auto &it :
         Aggregator.takeDecisions({slowest, false}, ZoneHosts, Clock.now()))
      kinds.push_back(it.Verdict.Kind);
    return kinds;
  }
  bool isDead(std::chrono::milliseconds wait,
              std::chrono::milliseconds slowest = 50ms) {
    decisions(slowest);
    Clock.advance(wait);
    return decisions(slowest) == std::vector{VerdictKind::Dead};
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FailureAggregatorTest, AggregatorFixture)

// Hosts of a large zone see one unanswered request of a dead server each. Their
// sum must lead to a verdict, in two steps.
BOOST_AUTO_TEST_CASE(ReportsOfSeveralHostsAddUp) {
  report(1, 100, 250ms);
  BOOST_TEST(decisions().empty());
  Clock.advance(100ms);
  report(2, 200, 200ms);
  BOOST_TEST((decisions() == std::vector{VerdictKind::Suspected}));
  // The zone is told twice and has 100 ms to tell of an answer.
  Clock.advance(50ms);
  BOOST_TEST((decisions() == std::vector{VerdictKind::Suspected}));
  BOOST_TEST(decisions().empty());
  Clock.advance(60ms);
  BOOST_TEST((decisions() == std::vector{VerdictKind::Dead}));
  BOOST_TEST(decisions().empty());
}

// A caller that lost its own connectivity retransmits on all of its flows.
BOOST_AUTO_TEST_CASE(OneCallerIsNotEnough) {
  report(1, 100, 500ms);
  report(2, 100, 500ms);
  report(3, 100, 500ms);
  BOOST_TEST(!isDead(200ms));
}

// A host of a larger zone that lost only its own way to a server must not end
// the flows that pass the others; in a zone of two hosts one sees enough.
BOOST_AUTO_TEST_CASE(OneHostOfALargeZoneIsNotEnough) {
  routing::SilenceEvidence evidence;
  evidence.Since = Clock.now() - 500ms;
  evidence.RequestCount = 5;
  evidence.HasSeveralCallers = true;
  Aggregator.onReport(Server, Run, 1, evidence, Clock.now());
  BOOST_TEST(!isDead(300ms));
  const auto decisions =
      Aggregator.takeDecisions({50ms, false}, /*zoneHostCount=*/2, Clock.now());
  BOOST_REQUIRE(!decisions.empty());
  BOOST_TEST((decisions.front().Verdict.Kind == VerdictKind::Dead));
}

// A server without a free place for a flow ignores SYNs, but answers the
// requests on its open flows.
BOOST_AUTO_TEST_CASE(SynsAloneDoNotShowADeath) {
  for (std::uint32_t n = 1; n <= 10; ++n)
    report(n, n, 500ms, /*isSyn=*/true);
  BOOST_TEST(!isDead(300ms));
  report(11, 11, 500ms);
  BOOST_TEST(!isDead(300ms));
  // The silence counts from the first request, not from the SYNs.
  report(12, 12, 300ms);
  report(11, 11, 300ms);
  BOOST_TEST(!isDead(50ms));
  Clock.advance(50ms);
  BOOST_TEST((decisions() == std::vector{VerdictKind::Dead}));
}

// Any later answer refutes a suspicion and a verdict; the zone is told.
BOOST_AUTO_TEST_CASE(AnswersRefuteSuspicionsAndVerdicts) {
  report(1, 100, 300ms);
  report(2, 200, 300ms);
  BOOST_TEST((decisions() == std::vector{VerdictKind::Suspected}));
  Aggregator.onAnswer(Server, Clock.now() - 10ms);
  BOOST_TEST((decisions() == std::vector{VerdictKind::Answering}));
  Clock.advance(200ms);
  BOOST_TEST(decisions().empty());
  report(1, 100, 150ms);
  report(2, 200, 150ms);
  BOOST_TEST(isDead(300ms));
  Aggregator.onAnswer(Server, Clock.now());
  BOOST_TEST((decisions() == std::vector{VerdictKind::Answering}));
}

// An answer before the first unanswered packet refutes nothing, and reports of
// packets that were sent before a known answer count for nothing.
BOOST_AUTO_TEST_CASE(OnlyLaterAnswersRefute) {
  Aggregator.onAnswer(Server, Clock.now() - 400ms);
  report(1, 100, 300ms);
  report(2, 200, 300ms);
  BOOST_TEST((decisions() == std::vector{VerdictKind::Suspected}));
  Aggregator.onAnswer(Server, Clock.now() - 100ms);
  decisions();
  report(3, 300, 250ms);
  report(4, 400, 250ms);
  BOOST_TEST(!isDead(300ms));
}

// With slow work, servers are silent for longer than the least silence of a
// dead one.
BOOST_AUTO_TEST_CASE(SilenceIsComparedWithTheSlowestAnswer) {
  report(1, 100, 300ms);
  report(2, 200, 300ms);
  BOOST_TEST(!isDead(200ms, 600ms));
  Clock.advance(720ms);
  BOOST_TEST((decisions(600ms) == std::vector{VerdictKind::Dead}));
}

// On a lossy network two requests in a row are lost now and then.
BOOST_AUTO_TEST_CASE(MoreRequestsAreNeededUnderLoss) {
  const routing::AnswerQuality lossy{50ms, true};
  report(1, 100, 300ms);
  report(2, 200, 300ms);
  Aggregator.takeDecisions(lossy, ZoneHosts, Clock.now());
  Clock.advance(300ms);
  for (const auto &it : Aggregator.takeDecisions(lossy, ZoneHosts, Clock.now()))
    BOOST_TEST((it.Verdict.Kind != VerdictKind::Dead));
  report(3, 300, 300ms);
  const auto decisions =
      Aggregator.takeDecisions(lossy, ZoneHosts, Clock.now());
  BOOST_REQUIRE(!decisions.empty());
  BOOST_TEST((decisions.front().Verdict.Kind == VerdictKind::Dead));
}

// Unanswered packets seconds apart are unrelated losses.
BOOST_AUTO_TEST_CASE(OldReportsDoNotCount) {
  report(1, 100, 300ms);
  decisions();
  Clock.advance(1100ms);
  report(2, 200, 300ms);
  BOOST_TEST(decisions().empty());
}

// A restarted server must not inherit the evidence against its earlier run.
BOOST_AUTO_TEST_CASE(ARestartDiscardsTheEvidence) {
  report(1, 100, 300ms);
  report(2, 200, 300ms, false, Run + 5000);
  BOOST_TEST(!isDead(200ms));
}

// A host that started after the verdict, or missed its datagram, is told when
// it reports the server; no one else is.
BOOST_AUTO_TEST_CASE(LateReportersAreToldTheVerdict) {
  report(1, 100, 300ms);
  report(2, 200, 300ms);
  BOOST_TEST(isDead(200ms));
  report(3, 300, 200ms);
  const auto decisions =
      Aggregator.takeDecisions({50ms, false}, ZoneHosts, Clock.now());
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions.front().Verdict.Kind == VerdictKind::Dead));
  BOOST_TEST(decisions.front().OnlyTo.value_or(0) == 3U);
}

// A host that missed an answer, as a datagram may be lost, is told when it
// reports the server; it would go on to reset flows.
BOOST_AUTO_TEST_CASE(LateReportersAreToldOfAnAnswer) {
  report(1, 100, 300ms);
  report(2, 200, 300ms);
  BOOST_TEST(isDead(200ms));
  Aggregator.onAnswer(Server, Clock.now());
  decisions();
  report(3, 300, 200ms);
  const auto decisions =
      Aggregator.takeDecisions({50ms, false}, ZoneHosts, Clock.now());
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions.front().Verdict.Kind == VerdictKind::Answering));
  BOOST_TEST(decisions.front().OnlyTo.value_or(0) == 3U);
}

// Verdicts end, so that a server that lives after all is used again.
BOOST_AUTO_TEST_CASE(VerdictsEnd) {
  report(1, 100, 300ms);
  report(2, 200, 300ms);
  BOOST_TEST(isDead(200ms));
  Clock.advance(5s);
  decisions();
  BOOST_TEST(Aggregator.size() == 0U);
}

// Peers choose identities and their own addresses, so memory is bounded.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  const fleet::VerdictLimits limits;
  routing::SilenceEvidence evidence;
  evidence.Since = Clock.now();
  evidence.RequestCount = 1;
  for (std::uint64_t n = 1; n <= 10000; ++n) {
    Aggregator.onReport(n, Run, static_cast<std::uint32_t>(n), evidence,
                        Clock.now());
    Aggregator.onReport(Server, Run, static_cast<std::uint32_t>(n), evidence,
                        Clock.now());
  }
  BOOST_TEST(Aggregator.size() <= limits.MaxServers);
}

BOOST_AUTO_TEST_SUITE_END()
