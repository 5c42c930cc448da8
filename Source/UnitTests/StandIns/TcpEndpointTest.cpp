#include "StandIns/TcpEndpoint.h"

#include "Common/ManualClock.h"
#include "Protocol/PacketBuilder.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <deque>
#include <sstream>

using namespace auburnroute;
using namespace std::chrono_literals;
using protocol::PacketView;
using standins::TcpEndpoint;

namespace {

constexpr common::Endpoint Client{0xCB007101, 20000};
constexpr common::Endpoint Server{0xC000020B, 9002};

/// Connects two endpoints over a network that loses, duplicates and reorders
/// packets, each with the fault probability. Uses a virtual clock.
class Network {
public:
  explicit Network(std::uint64_t seed, double faultProbability = 0)
      : A(seed), B(seed + 1), Random(seed), FaultProbability(faultProbability) {
    B.listen(Server);
  }

  /// Delivers packets and advances the clock by \p length.
  void run(std::chrono::milliseconds length) {
    const auto end = Clock.now() + length;
    while (Clock.now() < end) {
      exchangePackets();
      Clock.advance(1ms);
      A.onTimer(Clock.now());
      B.onTimer(Clock.now());
    }
  }

  void exchangePackets() {
    for (int i = 0; i < 50; ++i) {
      transfer(A, B, ToB);
      transfer(B, A, ToA);
    }
    collect(A, EventsOfA, ReceivedByA);
    collect(B, EventsOfB, ReceivedByB);
  }

  template <typename Event> std::vector<Event> eventsOf(bool client) const {
    std::vector<Event> found;
    for (const auto &it : client ? EventsOfA : EventsOfB)
      if (const auto *event = std::get_if<Event>(&it))
        found.push_back(*event);
    return found;
  }

  common::TimePoint now() const { return Clock.now(); }

  common::ManualClock Clock;
  TcpEndpoint A;
  TcpEndpoint B;
  std::string ReceivedByA;
  std::string ReceivedByB;
  bool IsLinkToBCut = false;
  bool IsLinkToACut = false;

private:
  using Packet = std::vector<std::byte>;

  void transfer(TcpEndpoint &from, TcpEndpoint &to, std::deque<Packet> &line) {
    const bool cut = &to == &B ? IsLinkToBCut : IsLinkToACut;
    for (auto &packet : from.takePackets())
      if (!cut)
        enqueueWithFaults(std::move(packet), line);
    const auto n = line.size();
    for (std::size_t i = 0; i < n && !line.empty(); ++i) {
      auto packet = std::move(line.front());
      line.pop_front();
      to.onDatagram(Clock.now(), packet);
    }
  }

  void enqueueWithFaults(Packet packet, std::deque<Packet> &line) {
    const double drawn = std::uniform_real_distribution<>(0, 1)(Random);
    if (drawn < FaultProbability)
      return;
    if (drawn < 2 * FaultProbability)
      line.push_back(packet);
    if (drawn >= 2 * FaultProbability && drawn < 3 * FaultProbability)
      line.push_front(std::move(packet));
    else
      line.push_back(std::move(packet));
  }

  static void collect(TcpEndpoint &from, std::vector<standins::TcpEvent> &to,
                      std::string &received) {
    for (auto &event : from.takeEvents()) {
      if (const auto *it = std::get_if<standins::Received>(&event))
        received += it->Bytes;
      to.push_back(std::move(event));
    }
  }

  std::mt19937_64 Random;
  double FaultProbability;
  std::deque<Packet> ToA;
  std::deque<Packet> ToB;
  std::vector<standins::TcpEvent> EventsOfA;
  std::vector<standins::TcpEvent> EventsOfB;
};

std::string randomBytes(std::size_t n, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string bytes(n, 0);
  for (auto &it : bytes)
    it = static_cast<char>(random());
  return bytes;
}

/// Takes the packets of \p endpoint, which must be exactly one.
std::vector<std::byte> onlyPacket(TcpEndpoint &endpoint) {
  auto packets = endpoint.takePackets();
  BOOST_REQUIRE(packets.size() == 1);
  return packets.front();
}

PacketView viewOf(std::vector<std::byte> &packet) {
  PacketView view;
  BOOST_REQUIRE(view.parse(packet) == state::Cause::None);
  return view;
}

void deliver(TcpEndpoint &to, common::TimePoint now,
             const protocol::Segment &segment) {
  auto packet = protocol::buildPacket(segment);
  to.onDatagram(now, packet);
}

protocol::Segment reset(std::uint32_t sequence, std::uint32_t ack) {
  protocol::Segment segment;
  segment.Source = Server;
  segment.Destination = Client;
  segment.Flags = PacketView::RstFlag | PacketView::AckFlag;
  segment.Sequence = sequence;
  segment.Acknowledgement = ack;
  return segment;
}

/// A client with a connection to a server that the test plays itself; the
/// server's next sequence number is 5001.
struct Established {
  Established() {
    Id = Tcp.connect(Clock.now(), Client, Server);
    auto syn = onlyPacket(Tcp);
    Sequence = viewOf(syn).sequence() + 1;
    protocol::Segment synAck = segment(5000, "");
    synAck.Flags |= PacketView::SynFlag;
    deliver(Tcp, Clock.now(), synAck);
    Tcp.takePackets();
    Tcp.takeEvents();
  }

  protocol::Segment segment(std::uint32_t sequence,
                            std::string_view payload) const {
    protocol::Segment made;
    made.Source = Server;
    made.Destination = Client;
    made.Flags = PacketView::AckFlag;
    made.Sequence = sequence;
    made.Acknowledgement = Sequence;
    made.Times =
        protocol::Timestamps{70000, standins::timestampOf(Clock.now())};
    made.Payload = std::as_bytes(std::span(payload));
    return made;
  }

  common::ManualClock Clock;
  TcpEndpoint Tcp{1};
  standins::ConnectionId Id = 0;
  std::uint32_t Sequence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TcpEndpointTest)

// Guards against lost, repeated or reordered payload when the network loses,
// duplicates and reorders packets in both directions.
BOOST_AUTO_TEST_CASE(PayloadSurvivesNetworkFaults) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Network net(seed, 0.1);
      const auto up = randomBytes(20000, seed);
      const auto down = randomBytes(30000, seed + 1);
      const auto id = net.A.connect(net.now(), Client, Server);
      net.run(10s);
      const auto accepted = net.eventsOf<standins::Accepted>(false);
      BOOST_REQUIRE(accepted.size() == 1);
      net.A.send(net.now(), id, up);
      net.B.send(net.now(), accepted[0].Id, down);
      net.B.close(net.now(), accepted[0].Id);
      net.run(20s);
      net.A.close(net.now(), id);
      net.run(20s);
      BOOST_TEST((net.ReceivedByB == up));
      BOOST_TEST((net.ReceivedByA == down));
      BOOST_TEST(net.eventsOf<standins::Closed>(true).size() == 1);
      BOOST_TEST(net.eventsOf<standins::Closed>(false).size() == 1);
      BOOST_TEST(net.A.connectionCount() == 0);
      BOOST_TEST(net.B.connectionCount() == 0);
    }
  }
}

// Guards against reporting a timeout before all SYN retransmissions expired.
BOOST_AUTO_TEST_CASE(UnansweredSynTimesOutAfterBackoff) {
  Network net(1);
  net.IsLinkToBCut = true;
  net.A.connect(net.now(), Client, Server);
  net.run(30s);
  BOOST_TEST(net.eventsOf<standins::TimedOut>(true).empty());
  net.run(2s); // 1 + 2 + 4 + 8 + 16 s.
  const auto timedOut = net.eventsOf<standins::TimedOut>(true);
  BOOST_REQUIRE(timedOut.size() == 1);
  BOOST_TEST(!timedOut[0].WasEstablished);
  BOOST_TEST(net.A.counters().Retransmissions == 4);
}

// Guards against reporting payload as never sent when the path fails after the
// handshake.
BOOST_AUTO_TEST_CASE(TimeoutAfterHandshakeIsReportedAsEstablished) {
  Network net(1);
  const auto id = net.A.connect(net.now(), Client, Server);
  net.run(10ms);
  net.IsLinkToBCut = true;
  net.A.send(net.now(), id, "REQ");
  net.run(30s);
  const auto timedOut = net.eventsOf<standins::TimedOut>(true);
  BOOST_REQUIRE(timedOut.size() == 1);
  BOOST_TEST(timedOut[0].WasEstablished);
}

// Guards against treating a forged or late reset as a refusal.
BOOST_AUTO_TEST_CASE(ResetInSynSentMustAcknowledgeTheSyn) {
  common::ManualClock clock;
  TcpEndpoint tcp(1);
  tcp.connect(clock.now(), Client, Server);
  auto packet = onlyPacket(tcp);
  const auto syn = viewOf(packet).sequence();
  deliver(tcp, clock.now(), reset(0, syn));
  deliver(tcp, clock.now(), reset(0, syn + 2));
  BOOST_TEST(tcp.takeEvents().empty());
  BOOST_TEST(tcp.counters().LateSegments == 2);
  deliver(tcp, clock.now(), reset(0, syn + 1));
  const auto events = tcp.takeEvents();
  BOOST_REQUIRE(events.size() == 1);
  BOOST_TEST(std::holds_alternative<standins::Refused>(events[0]));
  BOOST_TEST(tcp.connectionCount() == 0);
}

// Guards against blind resets (RFC 5961): only the exact sequence number ends
// the connection.
BOOST_AUTO_TEST_CASE(ResetOfConnectionMustMatchSequence) {
  Established client;
  deliver(client.Tcp, client.Clock.now(), reset(5002, client.Sequence));
  BOOST_TEST(client.Tcp.counters().ChallengeAcks == 1);
  BOOST_TEST(client.Tcp.takePackets().size() == 1);
  deliver(client.Tcp, client.Clock.now(), reset(900000, client.Sequence));
  BOOST_TEST(client.Tcp.takePackets().empty());
  BOOST_TEST(client.Tcp.takeEvents().empty());
  deliver(client.Tcp, client.Clock.now(), reset(5001, client.Sequence));
  const auto events = client.Tcp.takeEvents();
  BOOST_REQUIRE(events.size() == 1);
  BOOST_TEST(std::holds_alternative<standins::Reset>(events[0]));
}

// Guards against delivering a segment of an earlier flow to a later one: PAWS
// drops an old timestamp even if the sequence number is in the window.
BOOST_AUTO_TEST_CASE(OldTimestampIsDropped) {
  Established client;
  auto late = client.segment(5001, "late");
  late.Times->Value = 69999;
  deliver(client.Tcp, client.Clock.now(), late);
  BOOST_TEST(client.Tcp.takeEvents().empty());
  deliver(client.Tcp, client.Clock.now(), client.segment(5001, "good"));
  const auto events = client.Tcp.takeEvents();
  BOOST_REQUIRE(events.size() == 1);
  BOOST_TEST(std::get<standins::Received>(events[0]).Bytes == "good");
}

// Guards against buffering payload from outside the receive window.
BOOST_AUTO_TEST_CASE(SequenceOutsideOfWindowIsDropped) {
  Established client;
  for (const auto sequence : {5001U + 65535, 1000U})
    deliver(client.Tcp, client.Clock.now(), client.segment(sequence, "late"));
  BOOST_TEST(client.Tcp.takeEvents().empty());
  BOOST_TEST(client.Tcp.counters().LateSegments == 2);
}

// Guards against delivering payload that a faulty rewrite corrupted.
BOOST_AUTO_TEST_CASE(WrongChecksumIsDropped) {
  Established client;
  auto packet = protocol::buildPacket(client.segment(5001, "data"));
  packet.back() ^= std::byte{1};
  client.Tcp.onDatagram(client.Clock.now(), packet);
  BOOST_TEST(client.Tcp.takeEvents().empty());
  BOOST_TEST(client.Tcp.counters().ChecksumErrors == 1);
}

// Guards against delivering answers to the wrong flow: segments of an earlier
// flow that arrive after its port was reused are dropped and counted.
BOOST_AUTO_TEST_CASE(LateSegmentOnReusedPortIsDropped) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Network net(seed);
      const auto first = net.A.connect(net.now(), Client, Server);
      net.run(10ms);
      const auto accepted = net.eventsOf<standins::Accepted>(false);
      BOOST_REQUIRE(accepted.size() == 1);
      net.B.send(net.now(), accepted[0].Id, "answer of the first flow");
      auto late = net.B.takePackets();
      BOOST_REQUIRE(late.size() == 1);
      net.A.abort(net.now(), first);
      net.run(10ms);
      BOOST_TEST(net.eventsOf<standins::Reset>(false).size() == 1);
      net.A.connect(net.now(), Client, Server);
      net.A.onDatagram(net.now(), late[0]);
      net.run(10ms);
      net.A.onDatagram(net.now(), late[0]);
      net.run(10ms);
      BOOST_TEST(net.ReceivedByA.empty());
      BOOST_TEST(net.A.counters().LateSegments >= 1);
      BOOST_TEST(net.eventsOf<standins::Accepted>(false).size() == 2);
    }
  }
}

// Guards against rejecting a new flow because an earlier one is in TIME-WAIT
// (RFC 6191), and against an old SYN opening a connection.
BOOST_AUTO_TEST_CASE(NewerSynReplacesTimeWait) {
  Network net(1);
  const auto id = net.A.connect(net.now(), Client, Server);
  net.run(10ms);
  net.B.close(net.now(), net.eventsOf<standins::Accepted>(false).at(0).Id);
  net.run(10ms);
  net.A.close(net.now(), id);
  net.run(10ms);
  BOOST_TEST(net.B.connectionCount() == 1);
  protocol::Segment old;
  old.Source = Client;
  old.Destination = Server;
  old.Flags = PacketView::SynFlag;
  old.Sequence = 7;
  old.Times = protocol::Timestamps{1, 0};
  deliver(net.B, net.now(), old);
  net.exchangePackets();
  BOOST_TEST(net.eventsOf<standins::HandshakeStarted>(false).size() == 1);
  BOOST_TEST(net.B.connectionCount() == 1);
  net.A.connect(net.now(), Client, Server);
  net.run(10ms);
  BOOST_TEST(net.eventsOf<standins::Accepted>(false).size() == 2);
}

// Guards against accepting connections while shedding, which would run requests
// that the client counts as not run.
BOOST_AUTO_TEST_CASE(SheddingRefusesSyn) {
  Network net(1);
  net.B.setShedding(true);
  net.A.connect(net.now(), Client, Server);
  net.run(10ms);
  BOOST_TEST(net.eventsOf<standins::Refused>(true).size() == 1);
  BOOST_TEST(net.eventsOf<standins::HandshakeStarted>(false).empty());
}

BOOST_AUTO_TEST_SUITE_END()
