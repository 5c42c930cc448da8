#include "Emulator/EmulatedServer.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace auburnroute;
using namespace std::chrono_literals;
using emulator::Milliseconds;
using emulator::ReplyKind;

namespace {

struct ServerFixture {
  emulator::ServiceSpec Spec{"orders", 1, 1, 1, 0ms, 1};
  emulator::EventQueue Queue;
  std::vector<std::pair<emulator::FlowNumber, ReplyKind>> Replies;
  emulator::EmulatedServer Server{Spec, Queue,
                                  [this](auto flow, const auto &reply) {
                                    Replies.emplace_back(flow, reply.Kind);
                                  },
                                  false};

  void open(emulator::FlowNumber flow) {
    routing::FlowPacket syn;
    syn.Syn = true;
    Server.onPacket(flow, syn, Milliseconds(0));
  }
  void sendRequest(emulator::FlowNumber flow, std::uint32_t sequence) {
    routing::FlowPacket packet;
    packet.Sequence = sequence;
    packet.PayloadSize = 100;
    Server.onPacket(flow, packet, Milliseconds(10));
  }
  void advance(std::chrono::milliseconds time) {
    Queue.runUntil(Queue.now() + time);
  }
  std::size_t count(ReplyKind kind) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Replies, [&](const auto &it) { return it.second == kind; }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EmulatedServerTest, ServerFixture)

// Guards against a server that runs more requests than it has slots or that
// queues requests without limit.
BOOST_AUTO_TEST_CASE(ShedsRequestsBeyondSlotsAndQueue) {
  for (emulator::FlowNumber flow = 1; flow <= 3; ++flow) {
    open(flow);
    sendRequest(flow, 7);
  }
  BOOST_TEST(count(ReplyKind::Shed) == 1U);
  advance(12ms);
  BOOST_TEST(count(ReplyKind::Answer) == 1U);
  advance(10ms);
  BOOST_TEST(count(ReplyKind::Answer) == 2U);
}

// Guards against a retransmitted request that runs twice or stays unanswered,
// and against answers on flows that the server does not have.
BOOST_AUTO_TEST_CASE(AnswersRetransmissionsWithoutRunningThemAgain) {
  open(1);
  sendRequest(1, 7);
  sendRequest(1, 7);
  advance(30ms);
  BOOST_TEST(count(ReplyKind::Answer) == 1U);
  sendRequest(1, 7);
  BOOST_TEST(count(ReplyKind::Answer) == 2U);
  sendRequest(2, 7);
  BOOST_TEST(count(ReplyKind::UnknownFlow) == 1U);
}

// Guards against SYN-ACKs and answers from a stopped server.
BOOST_AUTO_TEST_CASE(StoppedServerSendsNothing) {
  open(1);
  sendRequest(1, 7);
  Server.stop();
  open(2);
  advance(30ms);
  BOOST_TEST(Replies.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
