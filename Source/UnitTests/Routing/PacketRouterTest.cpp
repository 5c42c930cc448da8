#include "UnitTests/Routing/RoutingFixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace auburnroute;
using namespace std::chrono_literals;
using routing::DropPacket;
using routing::ForwardPacket;
using routing::RefusalReason;
using routing::ResetFlow;
using routing::ServerState;
using unittests::forwardOf;
using unittests::RoutingFixture;

BOOST_AUTO_TEST_SUITE(PacketRouterTest)

// A flow must not depend on the host that opened it: another host with the same
// registrations forwards its packets to the same server.
BOOST_AUTO_TEST_CASE(AnyHostForwardsAnyFlow) {
  RoutingFixture first(1);
  RoutingFixture second(2);
  for (std::uint64_t n = 1; n <= 20; ++n)
    first.add(n);
  for (std::uint64_t n = 20; n >= 1; --n)
    second.add(n);
  for (std::uint16_t port = 1; port <= 200; ++port) {
    const auto sent = forwardOf(first.syn(port));
    const auto later = forwardOf(second.data(port, sent.Tag, 1000, 1, 10));
    BOOST_TEST(first.Directory.at(sent.Server).Registration.Name ==
               second.Directory.at(later.Server).Registration.Name);
  }
}

// New flows must not go to draining or lapsed servers.
BOOST_AUTO_TEST_CASE(DrainingServersGetNoNewFlows) {
  RoutingFixture it;
  const auto kept = it.add(1);
  it.add(2, "orders", "a", ServerState::Draining);
  it.add(3);
  it.lapse(3);
  for (std::uint16_t port = 1; port <= 50; ++port)
    BOOST_TEST(forwardOf(it.syn(port)).Server == kept);
}

// Without any available server a SYN is reset at once, so that the caller does
// not wait for a timeout.
BOOST_AUTO_TEST_CASE(SynIsResetWhenNoServerIsAvailable) {
  RoutingFixture it;
  it.add(2, "orders", "a", ServerState::Draining);
  const auto outcome = it.syn(1);
  BOOST_TEST(std::holds_alternative<ResetFlow>(outcome));
  BOOST_TEST((it.Observer.Refused.back() == RefusalReason::NoServer));
}

// Open flows must survive when the entry of a live server lapses, as in a
// registry outage.
BOOST_AUTO_TEST_CASE(OpenFlowsSurviveALapsedEntry) {
  RoutingFixture it;
  it.add(1);
  const auto sent = forwardOf(it.syn(1));
  it.request(1, sent);
  it.lapse(1);
  for (std::uint32_t n = 1; n <= 20; ++n) {
    it.Clock.advance(100ms);
    const auto ack = 5000 + n * 100;
    BOOST_TEST(
        forwardOf(it.data(1, sent.Tag, 1000 + n * 100, ack, 100)).Server ==
        sent.Server);
  }
}

// A retransmitted SYN must not go to a server that did not answer before.
BOOST_AUTO_TEST_CASE(RetransmittedSynGoesToAnotherServer) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  it.add(3);
  std::set<routing::ServerId> used;
  used.insert(forwardOf(it.syn(1, 0)).Server);
  it.Clock.advance(200ms);
  used.insert(forwardOf(it.syn(1, 1)).Server);
  it.Clock.advance(400ms);
  used.insert(forwardOf(it.syn(1, 2)).Server);
  BOOST_TEST(used.size() == 3U);
}

// After a crash of a server, new flows avoid it from the first retransmitted
// SYN on, and use it again after its first answer.
BOOST_AUTO_TEST_CASE(SilentServerIsAvoidedUntilItAnswers) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  const auto lost = forwardOf(it.syn(1));
  it.Clock.advance(200ms);
  it.syn(1, 1);
  for (std::uint16_t port = 10; port < 60; ++port)
    BOOST_TEST(forwardOf(it.syn(port)).Server != lost.Server);
  it.data(1, lost.Tag, 1000, 5000, 0);
  std::set<routing::ServerId> used;
  for (std::uint16_t port = 100; port < 120; ++port)
    used.insert(forwardOf(it.syn(port)).Server);
  BOOST_TEST(used.contains(lost.Server));
}

// Load pattern: a quarter of the servers crash while their machines stay up.
// Their resets go past the host and the callers retry on new flows, so no SYN
// is ever sent again. From 150 ms on new flows must avoid such a server.
BOOST_AUTO_TEST_CASE(ServerThatResetsSynsIsAvoided) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  const auto lost = forwardOf(it.syn(1));
  it.Clock.advance(149ms);
  it.Router.checkOpeningFlows(it.Clock.now());
  BOOST_TEST(it.Observer.Suspected.empty());
  it.Clock.advance(1ms);
  it.Router.checkOpeningFlows(it.Clock.now());
  it.Router.checkOpeningFlows(it.Clock.now());
  BOOST_TEST(it.Observer.Suspected.size() == 1U);
  for (std::uint16_t port = 10; port < 60; ++port)
    BOOST_TEST(forwardOf(it.syn(port)).Server != lost.Server);
}

// A SYN that was answered, or whose copy went elsewhere, must raise no (second)
// suspicion.
BOOST_AUTO_TEST_CASE(AnsweredSynsRaiseNoSuspicion) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  const auto sent = forwardOf(it.syn(1));
  it.Clock.advance(5ms);
  it.request(1, sent);
  it.Clock.advance(300ms);
  it.Router.checkOpeningFlows(it.Clock.now());
  BOOST_TEST(it.Observer.Suspected.empty());
  const auto first = forwardOf(it.syn(2));
  it.Clock.advance(160ms);
  it.Router.checkOpeningFlows(it.Clock.now());
  it.Clock.advance(40ms);
  it.syn(2, 1);
  BOOST_TEST(it.Observer.Suspected == std::vector{first.Server},
             boost::test_tools::per_element());
  BOOST_TEST(it.Health.activity(first.Server).RetransmissionCount == 1U);
}

// When a server with long flows dies without a reset, its flows are reset so
// that callers need not wait for their timeout. What this host alone has seen
// is not enough; the zone's verdict is.
BOOST_AUTO_TEST_CASE(FlowsOfADeadServerAreReset) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  const auto dead = it.Directory.at(0);
  const auto live = it.Directory.at(1);
  const auto since = it.Clock.now();
  for (std::uint16_t port = 1; port <= 4; ++port)
    it.data(port, dead.Tag, 1000, 5000, 100);
  it.data(20, live.Tag, 1000, 5000, 100);
  it.Clock.advance(50ms);
  it.data(20, live.Tag, 1100, 6000, 0);
  it.Clock.advance(200ms);
  for (std::uint16_t port = 1; port <= 2; ++port)
    it.data(port, dead.Tag, 1000, 5000, 100);
  it.Clock.advance(250ms);
  it.data(21, live.Tag, 1100, 6000, 0);
  it.data(21, live.Tag, 1100, 7000, 0);
  BOOST_TEST(std::holds_alternative<ForwardPacket>(
      it.data(1, dead.Tag, 1000, 5000, 100)));
  BOOST_TEST(std::holds_alternative<ForwardPacket>(
      it.data(3, dead.Tag, 1000, 5000, 100)));
  BOOST_TEST(it.Health.onDeadVerdict(0, since, it.Clock.now()));
  BOOST_TEST(
      std::holds_alternative<ResetFlow>(it.data(3, dead.Tag, 1000, 5000, 100)));
  // A new request on another open flow is reset as well.
  BOOST_TEST(
      std::holds_alternative<ResetFlow>(it.data(9, dead.Tag, 1000, 5000, 100)));
  // The server stays dead without further retransmissions, long enough for its
  // entry to lapse.
  it.Clock.advance(1500ms);
  BOOST_TEST(std::holds_alternative<ResetFlow>(
      it.data(11, dead.Tag, 1000, 5000, 100)));
  // An answer marks the server alive again.
  it.data(4, dead.Tag, 1100, 6000, 0);
  BOOST_TEST(std::holds_alternative<ForwardPacket>(
      it.data(10, dead.Tag, 1000, 5000, 100)));
}

// A wrong verdict must not keep away the packets that refute it: the requests
// of a quarter of the flows, and non-idempotent ones, are forwarded once. Their
// retransmissions are reset, so that callers of a dead server lose 200 ms only.
BOOST_AUTO_TEST_CASE(VerdictLetsSomeRequestsThrough) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  const auto tag = it.Directory.at(0).Tag;
  it.Clock.advance(500ms);
  BOOST_TEST(
      it.Health.onDeadVerdict(0, it.Clock.now() - 500ms, it.Clock.now()));
  std::uint16_t forwarded = 0;
  std::uint16_t probe = 0;
  for (std::uint16_t port = 100; port < 300; ++port)
    if (std::holds_alternative<ForwardPacket>(
            it.data(port, tag, 1000, 5000, 100))) {
      ++forwarded;
      probe = port;
    }
  BOOST_TEST(forwarded >= 40);
  BOOST_TEST(forwarded <= 60);
  it.Clock.advance(200ms);
  BOOST_TEST(
      std::holds_alternative<ResetFlow>(it.data(probe, tag, 1000, 5000, 100)));

  auto configuration = it.Routes.configuration();
  configuration.Version = 2;
  for (auto &route : configuration.Routes)
    route.Kind = routing::RequestKind::NonIdempotent;
  it.Routes.apply(configuration);
  for (std::uint16_t port = 300; port < 310; ++port)
    BOOST_TEST(std::holds_alternative<ForwardPacket>(
        it.data(port, tag, 1000, 5000, 100)));
}

// At a verdict of the zone the callers of pending requests are reset without
// waiting for their next packet, up to 1.4 s later. A non-idempotent request is
// left: its server may be slow, and its caller may not retry it.
BOOST_AUTO_TEST_CASE(VerdictResetsPendingRequests) {
  RoutingFixture it;
  it.add(1);
  const auto dead = it.Directory.at(0).Tag;
  it.data(1, dead, 1000, 5000, 100);
  it.data(2, dead, 1000, 7000, 100);
  it.data(3, dead, 1000, 5000, 0);
  const auto since = it.Clock.now();
  it.Clock.advance(500ms);
  BOOST_TEST(it.Health.onDeadVerdict(0, since, it.Clock.now()));
  auto abandoned = it.Router.abandonFlowsOf(0, it.Clock.now());
  BOOST_REQUIRE(abandoned.size() == 2U);
  for (const auto &packet : abandoned)
    BOOST_TEST(packet.Acknowledgement ==
               (packet.Source.Port == 1 ? 5000U : 7000U));
  BOOST_TEST(it.Observer.Refused.size() == 2U);
  BOOST_TEST(it.Router.abandonFlowsOf(0, it.Clock.now()).empty());

  auto configuration = it.Routes.configuration();
  configuration.Version = 2;
  for (auto &route : configuration.Routes)
    route.Kind = routing::RequestKind::NonIdempotent;
  it.Routes.apply(configuration);
  it.data(4, dead, 1000, 5000, 100);
  BOOST_TEST(it.Router.abandonFlowsOf(0, it.Clock.now()).empty());
}

// An answer that arrives between a verdict and the reset of its flows refutes
// it.
BOOST_AUTO_TEST_CASE(RefutedVerdictResetsNoPendingRequests) {
  RoutingFixture it;
  it.add(1);
  const auto tag = it.Directory.at(0).Tag;
  it.data(1, tag, 1000, 5000, 100);
  it.data(2, tag, 1000, 7000, 100);
  const auto since = it.Clock.now();
  it.Clock.advance(500ms);
  BOOST_TEST(it.Health.onDeadVerdict(0, since, it.Clock.now()));
  it.data(2, tag, 1100, 8000, 0);
  BOOST_TEST(it.Router.abandonFlowsOf(0, it.Clock.now()).empty());
}

// Once another server has registered at its address, a lapsed server has ended
// for certain, and its packets would reach the other one.
BOOST_AUTO_TEST_CASE(ReusedAddressEndsTheFlowsOfItsFormerServer) {
  for (const bool lapsesFirst : {true, false}) {
    RoutingFixture it;
    it.add(1);
    const auto tag = it.Directory.at(0).Tag;
    const auto registerSuccessor = [&] {
      auto successor = it.Directory.at(0).Registration;
      successor.Name = "s2";
      successor.Identity = 2;
      successor.Service = "sheets";
      successor.State = ServerState::Ready;
      successor.Revision = ++it.Revision;
      it.Directory.apply(successor, it.Clock.now());
    };
    if (!lapsesFirst)
      registerSuccessor();
    it.lapse(1);
    // A lapsed entry alone ends no flow.
    if (lapsesFirst) {
      BOOST_TEST(std::holds_alternative<ForwardPacket>(
          it.data(1, tag, 1000, 5000, 100)));
      registerSuccessor();
    }
    BOOST_TEST(
        std::holds_alternative<ResetFlow>(it.data(2, tag, 1000, 5000, 100)));
  }
}

// A server that moves away leaves its address to others, and its own flows go
// on.
BOOST_AUTO_TEST_CASE(ServerThatMovedIsNotReplacedAtItsOldAddress) {
  RoutingFixture it;
  it.add(1);
  const auto tag = it.Directory.at(0).Tag;
  auto moved = it.Directory.at(0).Registration;
  const auto address = moved.Address;
  moved.Address.Port = 9000;
  moved.Revision = ++it.Revision;
  it.Directory.apply(moved, it.Clock.now());
  auto successor = moved;
  successor.Name = "s2";
  successor.Identity = 2;
  successor.Address = address;
  successor.Revision = ++it.Revision;
  it.Directory.apply(successor, it.Clock.now());
  it.lapse(1);
  BOOST_TEST(
      std::holds_alternative<ForwardPacket>(it.data(1, tag, 1000, 5000, 100)));
}

// Single retransmissions seconds apart, on flows whose other packets pass
// through other hosts, do not show that a server is dead. A day drawn at random
// showed such a reset.
BOOST_AUTO_TEST_CASE(RetransmissionsSecondsApartCauseNoReset) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  const auto quiet = it.Directory.at(0).Tag;
  const auto live = it.Directory.at(1).Tag;
  std::uint32_t ack = 5000;
  for (std::uint16_t port = 1; port <= 5; ++port) {
    it.data(port, quiet, 1000, 5000, 100);
    it.Clock.advance(200ms);
    it.data(20, live, 1000, ack += 100, 0);
    BOOST_TEST(std::holds_alternative<ForwardPacket>(
        it.data(port, quiet, 1000, 5000, 100)));
    it.Clock.advance(2500ms);
    it.data(20, live, 1000, ack += 100, 0);
  }
}

// SYNs queued during a pause of the host are handled together. A retransmission
// handled right after the original does not show that the server failed to
// answer.
BOOST_AUTO_TEST_CASE(QueuedRetransmissionsRaiseNoSuspicion) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  it.syn(1, 0);
  it.syn(1, 1);
  BOOST_TEST(it.Observer.Suspected.empty());
}

// After a stall of the process, retransmissions and answers wait in its socket
// together: what it then reads must not count against a server.
BOOST_AUTO_TEST_CASE(PacketsAfterAStallAreNoEvidence) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  const auto tag = it.Directory.at(0).Tag;
  it.syn(50);
  for (std::uint16_t port = 1; port <= 4; ++port)
    it.data(port, tag, 1000, 5000, 100);
  it.Clock.advance(250ms);
  it.data(1, tag, 1000, 5000, 100);
  it.Clock.advance(400ms);
  it.Router.discardEvidence(it.Clock.now());
  for (std::uint16_t port = 1; port <= 4; ++port)
    it.data(port, tag, 1000, 5000, 100);
  it.Router.checkOpeningFlows(it.Clock.now());
  BOOST_TEST(it.Observer.Suspected.size() == 1U);
  BOOST_TEST(it.Health.activity(0).RetransmissionCount == 0U);
  BOOST_TEST(it.Router.abandonFlowsOf(0, it.Clock.now()).empty());
}

// A server that starts again under its name does not know the requests that the
// run before left unanswered: their retransmissions must not count against it.
BOOST_AUTO_TEST_CASE(RequestsToAnEarlierRunAreNoEvidence) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  const auto tag = it.Directory.at(0).Tag;
  it.data(1, tag, 1000, 5000, 100);
  it.Clock.advance(100ms);
  auto restarted = it.Directory.at(0).Registration;
  restarted.StartTimeMs += 1000;
  restarted.Revision = ++it.Revision;
  it.Directory.apply(restarted, it.Clock.now());
  it.Health.reset(0);
  it.Clock.advance(100ms);
  it.data(1, tag, 1000, 5000, 100);
  BOOST_TEST(it.Observer.Suspected.empty());
  it.data(2, tag, 1000, 5000, 100);
  it.Clock.advance(200ms);
  it.data(2, tag, 1000, 5000, 100);
  BOOST_TEST(it.Observer.Suspected.size() == 1U);
}

// A host that is isolated from all servers must not reset flows.
BOOST_AUTO_TEST_CASE(IsolatedHostResetsNoFlows) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  const auto tag = it.Directory.at(0).Tag;
  for (std::uint16_t port = 1; port <= 8; ++port)
    it.data(port, tag, 1000, 5000, 100);
  for (int round = 0; round < 5; ++round) {
    it.Clock.advance(300ms);
    for (std::uint16_t port = 1; port <= 8; ++port)
      BOOST_TEST(std::holds_alternative<ForwardPacket>(
          it.data(port, tag, 1000, 5000, 100)));
  }
}

// Flows of a server that this host does not know must not be reset, however
// long it does not learn of it: the server's entry may have expired. Each copy
// of a packet makes the host ask its peers again, and once one has told it the
// server, the flow goes on.
BOOST_AUTO_TEST_CASE(UnknownTagsAreAskedForAndNeverReset) {
  RoutingFixture it;
  it.add(1);
  RoutingFixture other;
  other.add(2);
  const auto tag = other.Directory.at(0).Tag;
  for (const auto pause : {0ms, 200ms, 400ms, 5000ms}) {
    it.Clock.advance(pause);
    it.Router.onTick(it.Clock.now());
    BOOST_TEST(
        std::holds_alternative<DropPacket>(it.data(1, tag, 1000, 5000, 100)));
    BOOST_TEST(
        std::holds_alternative<DropPacket>(it.data(2, tag, 1000, 5000, 100)));
    BOOST_TEST(it.Router.hasUnknownTags());
    BOOST_TEST(it.Router.takeUnknownTags(32, it.Clock.now()) ==
                   std::vector{tag},
               boost::test_tools::per_element());
    BOOST_TEST(!it.Router.hasUnknownTags());
  }
  it.Directory.rememberLapsed(other.Directory.at(0).Registration,
                              it.Clock.now());
  BOOST_TEST(
      std::holds_alternative<ForwardPacket>(it.data(1, tag, 1000, 5000, 100)));
}

// Questions to peers are paced, so a tag may wait for the next one. It must not
// be dropped from the list unasked.
BOOST_AUTO_TEST_CASE(UnknownTagsWaitForTheNextQuestion) {
  RoutingFixture it;
  it.add(1);
  for (std::uint32_t tag = 1000; tag < 1040; ++tag)
    it.data(1, tag, 1000, 5000, 100);
  BOOST_TEST(it.Router.takeUnknownTags(32, it.Clock.now()).size() == 32U);
  it.Clock.advance(200ms);
  BOOST_TEST(it.Router.takeUnknownTags(32, it.Clock.now()).size() == 8U);
  BOOST_TEST(!it.Router.hasUnknownTags());
}

// Callers control addresses, tags and retransmission counts, so the tables that
// these fill must be bounded.
BOOST_AUTO_TEST_CASE(MemoryIsBoundedUnderHostileCallers) {
  RoutingFixture it;
  it.add(1);
  it.add(2);
  for (std::uint32_t n = 0; n < 100000; ++n) {
    auto syn = it.packet(7);
    syn.Syn = true;
    syn.Source = {n, 7};
    syn.Acknowledgement = n;
    BOOST_TEST(std::holds_alternative<ForwardPacket>(
        it.Router.onPacket(syn, it.Clock.now())));
    it.syn(9, 1);
    it.data(8, 0x10000 + n, 1000, 5000, 100);
  }
  BOOST_TEST(it.Router.flowCount() <= routing::FlowTable::MaxFlows);
  BOOST_TEST(it.Router.transientEntryCount() <= 20480U);
  it.Clock.advance(30s);
  it.Router.onTick(it.Clock.now());
  BOOST_TEST(it.Router.transientEntryCount() == 0U);
}

// Removing a route resets its open flows and refuses new ones; an older
// configuration does not restore it.
BOOST_AUTO_TEST_CASE(RemovedRouteResetsItsFlows) {
  RoutingFixture it;
  it.add(1, "sheets");
  const auto sent = forwardOf(it.syn(1, 0, RoutingFixture::Sheets));
  it.configure(2, false);
  BOOST_TEST(std::holds_alternative<ResetFlow>(
      it.data(1, sent.Tag, 1000, 1, 10, RoutingFixture::Sheets)));
  BOOST_TEST(
      std::holds_alternative<ResetFlow>(it.syn(2, 0, RoutingFixture::Sheets)));
  it.configure(1, true);
  BOOST_TEST(it.Routes.version() == 2U);
  BOOST_TEST(
      std::holds_alternative<ResetFlow>(it.syn(3, 0, RoutingFixture::Sheets)));
}

// A flow of a route that this host has not learned of yet goes on by its tag.
// If the server has ended, its address may be another service's.
BOOST_AUTO_TEST_CASE(FlowsOfUnknownRoutesAreForwardedByTheirTag) {
  RoutingFixture it;
  const auto id = it.add(1, "sheets");
  const auto tag = it.Directory.at(id).Tag;
  constexpr common::Endpoint Unknown{0xc6120009, 443};
  BOOST_TEST(forwardOf(it.data(1, tag, 1000, 5000, 100, Unknown)).Server == id);
  BOOST_TEST(std::holds_alternative<DropPacket>(
      it.data(1, tag + 1, 1000, 5000, 100, Unknown)));
  auto successor = it.Directory.at(id).Registration;
  successor.Name = "s2";
  successor.Identity = 2;
  successor.Revision = ++it.Revision;
  it.Directory.apply(successor, it.Clock.now());
  it.lapse(1);
  BOOST_TEST(std::holds_alternative<DropPacket>(
      it.data(1, tag, 1000, 5000, 100, Unknown)));
  BOOST_TEST(std::holds_alternative<ResetFlow>(it.syn(2, 0, Unknown)));
}

// A route that was removed and added again must not reset its flows.
BOOST_AUTO_TEST_CASE(RouteAddedAgainIsNotARemovedOne) {
  RoutingFixture it;
  it.configure(2, false);
  BOOST_TEST(it.Routes.wasRemoved(RoutingFixture::Sheets));
  it.configure(3, true);
  BOOST_TEST(!it.Routes.wasRemoved(RoutingFixture::Sheets));
  BOOST_TEST(!it.Routes.wasRemoved(RoutingFixture::Orders));
}

// After two servers of another zone stop answering, new flows avoid the whole
// zone.
BOOST_AUTO_TEST_CASE(UnreachableZoneIsAvoided) {
  RoutingFixture it;
  for (std::uint64_t n = 1; n <= 6; ++n)
    it.add(n, "orders", "b");
  std::set<routing::ServerId> tried;
  for (std::uint16_t port = 1; port <= 2; ++port)
    tried.insert(forwardOf(it.syn(port)).Server);
  it.Clock.advance(200ms);
  for (std::uint16_t port = 1; port <= 2; ++port)
    it.syn(port, 1);
  BOOST_TEST(tried.size() == 2U);
  const auto near = it.add(10, "orders", "c");
  it.Clock.advance(100ms);
  for (std::uint16_t port = 50; port < 60; ++port)
    BOOST_TEST(forwardOf(it.syn(port)).Server == near);
}

// When all entries lapse in a registry outage, the servers are still used, but
// only if that is enabled and no server is registered.
BOOST_AUTO_TEST_CASE(LapsedServersAreUsedInARegistryOutage) {
  RoutingFixture it;
  const auto id = it.add(1);
  it.lapse(1);
  BOOST_TEST(std::holds_alternative<ResetFlow>(it.syn(1)));
  it.Router.setUsesLapsed(true);
  BOOST_TEST(forwardOf(it.syn(2)).Server == id);
  const auto back = it.add(2);
  for (std::uint16_t port = 10; port < 30; ++port)
    BOOST_TEST(forwardOf(it.syn(port)).Server == back);
}

// When all slots of the own zone are busy, new flows go to idle servers of
// another zone, and return once slots are free.
BOOST_AUTO_TEST_CASE(LoadSpillsOverToAnotherZone) {
  RoutingFixture it;
  const auto near = it.add(1, "orders", "a");
  const auto far = it.add(2, "orders", "b");
  std::uint16_t port = 1;
  for (; port <= 2; ++port) {
    const auto to = forwardOf(it.syn(port));
    BOOST_TEST(to.Server == near);
    it.request(port, to);
  }
  const auto spilled = forwardOf(it.syn(port));
  BOOST_TEST(spilled.Server == far);
  it.Clock.advance(20ms);
  it.data(1, it.Directory.at(near).Tag, 1100, 6000, 0);
  it.data(2, it.Directory.at(near).Tag, 1100, 6000, 0);
  BOOST_TEST(forwardOf(it.syn(++port)).Server == near);
}

BOOST_AUTO_TEST_SUITE_END()
