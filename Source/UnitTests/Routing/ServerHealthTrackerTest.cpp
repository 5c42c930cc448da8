#include "Routing/ServerHealthTracker.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using routing::SuspicionReason;

namespace {

constexpr std::uint32_t Caller = 0x64400001; // 100.64.0.1
constexpr routing::NameTable::Id Zone = 0;
constexpr routing::NameTable::Id OtherZone = 1;

struct TrackerFixture {
  common::ManualClock Clock;
  routing::ServerHealthTracker Health;

  TrackerFixture() { answerRequests(50, 0); }

  /// Answers \p all requests, \p retransmitted of them after a retransmission.
  void answerRequests(int all, int retransmitted) {
    for (int n = 0; n < all; ++n)
      Health.onAnswerTime(20ms, n < retransmitted, Clock.now());
  }
  /// A request to server 1 without an answer, retransmitted after 200 ms.
  void retransmit() {
    const auto sentAt = Clock.now();
    Clock.advance(200ms);
    Health.onRetransmission(1, SuspicionReason::DataUnanswered, Caller, sentAt,
                            Clock.now());
  }
  bool hasEvidence() const {
    return Health.evidence(1, Zone, Clock.now()).has_value();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerHealthTrackerTest, TrackerFixture)

// A host that is slow, cut off or was paused sees retransmissions to all
// servers. Only an answer of another server to a later packet shows that the
// silence is the server's.
BOOST_AUTO_TEST_CASE(EvidenceNeedsALaterPacketAnsweredByAnother) {
  const auto before = Clock.now();
  Clock.advance(1ms);
  retransmit();
  BOOST_TEST(!hasEvidence());
  Health.onAnswer(2, Zone, before, Clock.now());
  BOOST_TEST(!hasEvidence());
  Health.onAnswer(2, Zone, Clock.now() - 50ms, Clock.now());
  BOOST_TEST(hasEvidence());
  const auto evidence = Health.evidence(1, Zone, Clock.now());
  BOOST_TEST(evidence->RequestCount == 1U);
  BOOST_TEST(evidence->SynCount == 0U);
  BOOST_TEST((evidence->Since == Clock.now() - 200ms));
}

// After a cut between zones, servers of the own zone answer, but not those of
// the other one.
BOOST_AUTO_TEST_CASE(AnswersOfAnotherZoneAreNoEvidence) {
  retransmit();
  Health.onAnswer(2, OtherZone, Clock.now() - 50ms, Clock.now());
  BOOST_TEST(!hasEvidence());
}

// An answer of the server itself must not count as one of another server.
BOOST_AUTO_TEST_CASE(EarlierAnswersOfTheServerAreNoEvidence) {
  const auto sentAt = Clock.now();
  Clock.advance(200ms);
  Health.onAnswer(1, Zone, Clock.now() - 50ms, Clock.now() - 20ms);
  Health.onRetransmission(1, SuspicionReason::DataUnanswered, Caller,
                          Clock.now() - 150ms, Clock.now());
  BOOST_TEST(!hasEvidence());
  Health.onRetransmission(1, SuspicionReason::DataUnanswered, Caller, sentAt,
                          Clock.now());
  BOOST_TEST(!hasEvidence());
}

// Where many packets are lost, a request counts only when its second
// retransmission is unanswered, too.
BOOST_AUTO_TEST_CASE(LossyHostsNeedTwoRetransmissions) {
  answerRequests(20, 5);
  BOOST_TEST(Health.hasManyRetransmissions());
  retransmit();
  Health.onAnswer(2, Zone, Clock.now() - 50ms, Clock.now());
  BOOST_TEST(!hasEvidence());
  Clock.advance(400ms);
  Health.onSecondRetransmission(1);
  BOOST_TEST(hasEvidence());
}

// A host that has just started does not know how many packets are lost.
BOOST_AUTO_TEST_CASE(FewAnswersAreTreatedAsLossy) {
  const routing::ServerHealthTracker fresh;
  BOOST_TEST(fresh.hasManyRetransmissions());
}

// A verdict stands until an answer of the server, seen here or by a peer.
BOOST_AUTO_TEST_CASE(AnswersEndAVerdict) {
  const auto since = Clock.now();
  Clock.advance(500ms);
  BOOST_TEST(Health.onDeadVerdict(1, since, Clock.now()));
  BOOST_TEST(Health.isDead(1, Clock.now()));
  BOOST_TEST(Health.isSuspect(1, Clock.now()));
  Health.onPeerAnswer(1, since - 100ms);
  BOOST_TEST(Health.isDead(1, Clock.now()));
  Health.onPeerAnswer(1, Clock.now());
  BOOST_TEST(!Health.isDead(1, Clock.now()));
  BOOST_TEST(!Health.isSuspect(1, Clock.now()));
  // The refuted verdict arrives again, delayed in the network.
  BOOST_TEST(!Health.onDeadVerdict(1, since, Clock.now()));
}

// After a cut has healed, hosts that missed the verdict are told it again. It
// must end when it would have ended for the others, not start anew.
BOOST_AUTO_TEST_CASE(VerdictToldAgainEndsAtTheSameTime) {
  const auto since = Clock.now();
  Clock.advance(500ms);
  BOOST_TEST(Health.onDeadVerdict(1, since, Clock.now()));
  Clock.advance(3s);
  BOOST_TEST(Health.onDeadVerdict(1, since, Clock.now()));
  Clock.advance(499ms);
  BOOST_TEST(Health.isDead(1, Clock.now()));
  Clock.advance(1ms);
  BOOST_TEST(!Health.isDead(1, Clock.now()));
  BOOST_TEST(!Health.onDeadVerdict(1, since, Clock.now()));
}

// A request that was let through under a verdict, and is slow, must not keep
// the verdict up when a peer has seen an answer.
BOOST_AUTO_TEST_CASE(PeerAnswerEndsAVerdictDespiteLaterRetransmissions) {
  const auto since = Clock.now();
  Clock.advance(500ms);
  BOOST_TEST(Health.onDeadVerdict(1, since, Clock.now()));
  const auto answeredAt = Clock.now() + 90ms;
  Clock.advance(100ms);
  retransmit();
  Health.onPeerAnswer(1, answeredAt);
  BOOST_TEST(!Health.isDead(1, Clock.now()));
  BOOST_TEST(Health.isSuspect(1, Clock.now()));
}

// The message that refutes a verdict may be among those that a stalled host
// discards.
BOOST_AUTO_TEST_CASE(StallEndsVerdicts) {
  const auto since = Clock.now();
  Clock.advance(500ms);
  BOOST_TEST(Health.onDeadVerdict(1, since, Clock.now()));
  Health.discardEvidence();
  BOOST_TEST(!Health.isDead(1, Clock.now()));
}

// A dead server whose entry stays must be found dead again after each verdict
// has ended, though its packets have gone unanswered all the while.
BOOST_AUTO_TEST_CASE(EvidenceStartsAnewAfterAVerdict) {
  int verdicts = 0;
  bool wasDead = false;
  for (int n = 0; n < 100; ++n) {
    retransmit();
    Health.onAnswer(2, Zone, Clock.now() - 50ms, Clock.now());
    if (const auto evidence = Health.evidence(1, Zone, Clock.now());
        evidence && Clock.now() - evidence->Since >= 400ms)
      Health.onDeadVerdict(1, evidence->Since, Clock.now());
    verdicts += Health.isDead(1, Clock.now()) && !wasDead;
    wasDead = Health.isDead(1, Clock.now());
  }
  // 20 s, with verdicts of 4 s.
  BOOST_TEST(verdicts >= 4);
}

BOOST_AUTO_TEST_SUITE_END()
