#include "Routing/FlowTable.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using routing::FlowEvent;
using routing::FlowId;
using routing::FlowPacket;
using routing::FlowTable;
using routing::ServerHealthTracker;

namespace {

struct Fixture {
  common::ManualClock Clock;
  ServerHealthTracker Health;
  FlowTable Flows{Health};
  FlowId Id{{1, 2}, {3, 4}};

  const routing::LoadMeter &load() { return Health.activity(0).Load; }
  FlowEvent packet(std::uint32_t sequence, std::uint32_t ack,
                   std::uint16_t size, bool fin = false) {
    FlowPacket it;
    it.Ack = true;
    it.Fin = fin;
    it.Sequence = sequence;
    it.Acknowledgement = ack;
    it.PayloadSize = size;
    return Flows.onPacket(Id, 0, it, Clock.now());
  }
  void open() {
    FlowPacket syn;
    syn.Syn = true;
    syn.Sequence = 99;
    Flows.onSyn(Id, 0, syn, Clock.now());
    packet(100, 50, 0);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(FlowTableTest)

// Each request must be counted exactly once and uncounted exactly once;
// otherwise the load of a server drifts.
BOOST_AUTO_TEST_CASE(RequestsAreCountedUntilTheirAnswer) {
  Fixture it;
  it.open();
  BOOST_TEST(it.Health.activity(0).OpenFlows == 1U);
  BOOST_TEST(it.Health.activity(0).PendingSyns == 0U);
  it.packet(100, 50, 200);
  BOOST_TEST(it.Health.activity(0).PendingRequests == 1U);
  it.Clock.advance(20ms);
  BOOST_TEST((it.packet(300, 1250, 0) == FlowEvent::Answered));
  BOOST_TEST(it.Health.activity(0).PendingRequests == 0U);
  it.packet(300, 1250, 0, true);
  BOOST_TEST(it.Health.activity(0).OpenFlows == 0U);
}

// Reordering must not look like a retransmission: the second packet of a
// request arrived 0 ms before the first and raised a suspicion.
BOOST_AUTO_TEST_CASE(ReorderedPacketsAreNotRetransmissions) {
  Fixture it;
  it.open();
  it.packet(1300, 50, 600);
  BOOST_TEST((it.packet(100, 50, 1200) == FlowEvent::None));
  it.Clock.advance(200ms);
  BOOST_TEST((it.packet(100, 50, 1200) == FlowEvent::Retransmitted));
  it.Clock.advance(400ms);
  BOOST_TEST((it.packet(100, 50, 1200) == FlowEvent::RetransmittedAgain));
}

// Sequence and acknowledgement numbers may wrap around within a flow.
BOOST_AUTO_TEST_CASE(SequenceNumbersWrap) {
  Fixture it;
  FlowPacket syn;
  syn.Syn = true;
  syn.Sequence = 0xfffffff0;
  it.Flows.onSyn(it.Id, 0, syn, it.Clock.now());
  it.packet(0xfffffff1, 0xfffffff0, 0);
  it.packet(0xfffffff1, 0xfffffff0, 100);
  BOOST_TEST(it.Health.activity(0).PendingRequests == 1U);
  it.Clock.advance(10ms);
  BOOST_TEST((it.packet(0x55, 0x10, 0) == FlowEvent::Answered));
  BOOST_TEST((it.packet(0x55, 0x10, 50) == FlowEvent::None));
  BOOST_TEST(it.Health.activity(0).PendingRequests == 1U);
}

// A server must not look busy forever when the answer to a request passes
// through another host.
BOOST_AUTO_TEST_CASE(UnseenAnswersAreAssumed) {
  Fixture it;
  it.open();
  it.packet(100, 50, 200);
  it.Clock.advance(FlowTable::AnswerAssumedAfter + 1ms);
  it.Flows.expire(it.Clock.now(), 15s);
  BOOST_TEST(it.Health.activity(0).PendingRequests == 0U);
  BOOST_TEST(it.Flows.size() == 1U);
  it.Clock.advance(16s);
  it.Flows.expire(it.Clock.now(), 15s);
  BOOST_TEST(it.Flows.size() == 0U);
  BOOST_TEST(it.Health.activity(0).OpenFlows == 0U);
}

// Servers acknowledge requests at once and answer later without a
// retransmission: slow requests vanished from the load after 300 ms.
BOOST_AUTO_TEST_CASE(SlowRequestsCountUntilTheirAnswerOrTimeout) {
  Fixture it;
  it.open();
  it.packet(100, 50, 200);
  it.Clock.advance(900ms);
  it.Flows.expire(it.Clock.now(), 15s);
  BOOST_TEST(it.Health.activity(0).PendingRequests == 0U);
  BOOST_TEST(it.load().outstanding() == 1U);
  // A late copy of an answered or assumed request is no evidence.
  BOOST_TEST((it.packet(100, 50, 200) == FlowEvent::None));
  BOOST_TEST((it.packet(300, 1250, 0) == FlowEvent::Answered));
  BOOST_TEST(it.load().outstanding() == 0U);
  it.packet(300, 1250, 200);
  it.Clock.advance(FlowTable::MaxOutstandingTime + 1ms);
  it.Flows.expire(it.Clock.now(), 15s);
  BOOST_TEST(it.load().outstanding() == 0U);
  it.packet(500, 1250, 200);
  it.packet(700, 1250, 0, true);
  BOOST_TEST(it.load().outstanding() == 0U);
  BOOST_TEST(it.load().flows() == 0U);
}

// When hosts join or leave, the routers move nearly all flows: those that went
// elsewhere were counted here and there until their idle timeout.
BOOST_AUTO_TEST_CASE(MovedFlowsStopCounting) {
  Fixture it;
  it.open();
  it.packet(100, 50, 200);
  BOOST_TEST(it.load().flows() == 1U);
  it.Flows.onRoutersChanged(it.Clock.now());
  it.Clock.advance(FlowTable::MovedRequestTime + 1ms);
  it.Flows.expire(it.Clock.now(), 15s);
  BOOST_TEST(it.load().outstanding() == 0U);
  BOOST_TEST(it.load().flows() == 1U);
  it.Flows.onRoutersChanged(it.Clock.now());
  it.Clock.advance(2500ms);
  it.Flows.expire(it.Clock.now(), 15s);
  BOOST_TEST(it.load().flows() == 0U);
  BOOST_TEST(it.Health.activity(0).OpenFlows == 1U);
  it.packet(300, 50, 200);
  BOOST_TEST(it.load().flows() == 1U);
  BOOST_TEST(it.load().outstanding() == 1U);
}

// Requests of a route that states no timeout must count until their answer.
BOOST_AUTO_TEST_CASE(RequestsWithoutATimeoutAreCounted) {
  Fixture it;
  it.open();
  FlowPacket request;
  request.Ack = true;
  request.Sequence = 100;
  request.Acknowledgement = 50;
  request.PayloadSize = 200;
  it.Flows.onPacket(it.Id, 0, request, it.Clock.now(), 0ms);
  it.Clock.advance(900ms);
  it.Flows.expire(it.Clock.now(), 15s);
  BOOST_TEST(it.load().outstanding() == 1U);
}

// The mean must follow the count over time and not over events: a host sees
// few packets of a server.
BOOST_AUTO_TEST_CASE(MeanIsWeightedByTime) {
  routing::LoadMeter meter;
  common::ManualClock clock;
  meter.onRequest(clock.now());
  clock.advance(routing::LoadMeter::TimeConstant);
  BOOST_TEST(meter.meanOutstanding(clock.now()) == 0.632,
             boost::test_tools::tolerance(0.01));
  meter.onRequestEnd(clock.now());
  clock.advance(10 * routing::LoadMeter::TimeConstant);
  BOOST_TEST(meter.meanOutstanding(clock.now()) < 0.01);
  for (int i = 0; i < 300; ++i) {
    clock.advance(100ms);
    meter.onRequest(clock.now());
    meter.onRequestEnd(clock.now());
  }
  BOOST_TEST(meter.rate(clock.now()) == 10.,
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()
