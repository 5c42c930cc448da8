#include "Common/ManualClock.h"
#include "Coordination/Forwarding/ForwardingEngine.h"
#include "Coordination/Placement/AdmissionController.h"
#include "Protocol/PacketRewriter.h"
#include "StandIns/TcpEndpoint.h"
#include "UnitTests/Coordination/Forwarding/ForwardingSettings.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <iterator>
#include <sstream>

using namespace auburnroute;
using namespace auburnroute::forwarding;
using namespace auburnroute::health;
using namespace auburnroute::placement;
using namespace std::chrono_literals;
using protocol::PacketRewriter;
using protocol::PacketView;
using standins::ConnectionId;
using standins::TcpEndpoint;

namespace {

constexpr common::Endpoint Caller{CallerAddress, 40000};
constexpr common::Endpoint Service{CounterAddress, 7001};
const FlowKey Key{Caller, Service};

/// A flow that the lost admission owner placed on server 0. A host then sends
/// its SYN again to the new owner, which places it on server 1.
class SecondPlacement {
public:
  explicit SecondPlacement(std::uint64_t seed)
      : Client(seed), Servers{TcpEndpoint(seed + 1), TcpEndpoint(seed + 2)} {
    auto settings = makeSettings(2);
    settings.Services[0].Listeners[0].Kind = state::ListenerKind::Request;
    const auto table = makeTable(settings);
    Engine.setTable(table);
    const auto shared = std::make_shared<const state::Settings>(settings);
    LostOwner.onSettings(Clock.now(), shared, table);
    NewOwner.onSettings(Clock.now(), shared, table);
    for (std::uint32_t i = 0; i < 2; ++i)
      Servers[i].listen({ServerAddress + i + 1, BackendPort});
    Flow = Client.connect(Clock.now(), Caller, Service);
    Syn = Client.takePackets().at(0);
    placeSyn(LostOwner, Syn);
    run(10ms);
  }

  void resendSyn() {
    // The new owner places its first flow on server 0, so that the next one
    // goes to server 1.
    NewOwner.onSyn(Clock.now(), {{CallerAddress, 50000}, Service});
    placeSyn(NewOwner, Syn);
  }

  void run(std::chrono::milliseconds length) {
    for (const auto end = Clock.now() + length; Clock.now() < end;) {
      exchangePackets();
      Clock.advance(1ms);
      Client.onTimer(Clock.now());
      for (auto &it : Servers)
        it.onTimer(Clock.now());
    }
  }

  /// Sends bytes both ways and checks that they arrive.
  void exchange() {
    Client.send(Clock.now(), Flow, "ask");
    Servers[0].send(Clock.now(), Accepted.at(0), "answer");
    const auto before = std::pair(ReceivedByClient, ReceivedByServer);
    run(50ms);
    BOOST_TEST(ReceivedByClient == before.first + "answer");
    BOOST_TEST(ReceivedByServer == before.second + "ask");
  }

  /// Closes the flow from the server, then from the client.
  void close() {
    Servers[0].close(Clock.now(), Accepted.at(0));
    run(5ms);
    Client.close(Clock.now(), Flow);
    run(50ms);
  }

  void reportIdle(std::uint32_t server) {
    LoadReport report;
    report.Service = "counter";
    NewOwner.onLoadReport(Clock.now(), server, report);
  }

  std::uint32_t outstanding(std::uint32_t server) const {
    return NewOwner.outstanding(server, state::ListenerKind::Request);
  }

  common::ManualClock Clock;
  TcpEndpoint Client;
  std::array<TcpEndpoint, 2> Servers;
  std::array<int, 2> PacketsTo{};
  std::vector<ConnectionId> Accepted; ///< On server 0.
  int AcceptedByServer1 = 0;
  int BrokenFlows = 0; ///< Resets and timeouts seen by the client.
  int ClosedFlows = 0;

private:
  void placeSyn(AdmissionController &owner, std::vector<std::byte> syn) {
    PacketView view;
    BOOST_REQUIRE((view.parse(syn) == state::Cause::None));
    const auto place = std::get<Place>(owner.onSyn(Clock.now(), Key));
    deliverToServer(Engine.forwardSyn(place.Service, place.Number,
                                      PacketRewriter::summarise(view)),
                    view);
  }

  void deliverToServer(const Outcome &outcome, PacketView &view) {
    const auto *to = std::get_if<ForwardToBackendServer>(&outcome);
    if (to == nullptr)
      return;
    BOOST_REQUIRE((PacketRewriter::apply(*to, view) == state::Cause::None));
    ++PacketsTo.at(to->BackendServer);
    if (to->EndsFlow)
      NewOwner.onFinish(Clock.now(), Key, FinishKind::CallerReset,
                        static_cast<std::uint16_t>(to->BackendServer + 1));
    Servers.at(to->BackendServer).onDatagram(Clock.now(), view.bytes());
  }

  void deliverToClient(std::vector<std::byte> packet) {
    PacketView view;
    BOOST_REQUIRE((view.parse(packet) == state::Cause::None));
    const auto to = std::get<ForwardToCaller>(
        Engine.onBackendServerPacket(PacketRewriter::summarise(view)));
    BOOST_REQUIRE((PacketRewriter::apply(to, view) == state::Cause::None));
    if (to.EndsFlow)
      NewOwner.onFinish(Clock.now(), Key,
                        view.isRst() ? FinishKind::Reset : FinishKind::Ended,
                        to.Number);
    Client.onDatagram(Clock.now(), view.bytes());
  }

  void exchangePackets() {
    for (int i = 0; i < 10; ++i) {
      for (auto &packet : Client.takePackets()) {
        PacketView view;
        BOOST_REQUIRE((view.parse(packet) == state::Cause::None));
        deliverToServer(Engine.onCallerPacket(PacketRewriter::summarise(view)),
                        view);
      }
      for (auto &server : Servers)
        for (auto &packet : server.takePackets())
          deliverToClient(std::move(packet));
    }
    collectEvents();
  }

  void collectEvents() {
    for (const auto &it : Client.takeEvents()) {
      if (const auto *bytes = std::get_if<standins::Received>(&it))
        ReceivedByClient += bytes->Bytes;
      BrokenFlows += std::holds_alternative<standins::Reset>(it) ||
                     std::holds_alternative<standins::TimedOut>(it) ||
                     std::holds_alternative<standins::Refused>(it);
      ClosedFlows += std::holds_alternative<standins::Closed>(it);
    }
    for (const auto &it : Servers[0].takeEvents()) {
      if (const auto *bytes = std::get_if<standins::Received>(&it))
        ReceivedByServer += bytes->Bytes;
      if (const auto *accepted = std::get_if<standins::Accepted>(&it))
        Accepted.push_back(accepted->Id);
    }
    for (const auto &it : Servers[1].takeEvents())
      AcceptedByServer1 += std::holds_alternative<standins::Accepted>(it);
  }

  ForwardingEngine Engine;
  AdmissionController LostOwner{"sando"};
  AdmissionController NewOwner{"sando"};
  ConnectionId Flow = 0;
  std::vector<std::byte> Syn;
  std::string ReceivedByClient;
  std::string ReceivedByServer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SecondPlacementTest)

// Guards against a second placement that breaks the established flow: the
// retransmitted SYN-ACKs of the second server must not reach the client's
// application or redirect the flow's packets to the second server.
BOOST_AUTO_TEST_CASE(EstablishedFlowSurvivesSecondPlacement) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5})) {
    SecondPlacement it(seed);
    BOOST_REQUIRE(it.Accepted.size() == 1U);
    it.exchange();
    it.resendSyn();
    for (int i = 0; i < 200; ++i)
      it.exchange();
    it.run(60s);
    it.exchange();
    BOOST_TEST(it.BrokenFlows == 0);
    BOOST_TEST(it.AcceptedByServer1 == 0);
    // Only the resent SYN: the challenge ACKs that the client sends in reply to
    // the SYN-ACKs carry the tag of the first server.
    BOOST_TEST(it.PacketsTo[1] == 1);
    it.close();
    BOOST_TEST(it.ClosedFlows == 1);
    BOOST_TEST(it.BrokenFlows == 0);
  }
}

// Guards against a slot that stays occupied by a half-open second placement:
// the end of the flow on the first server must free it.
BOOST_AUTO_TEST_CASE(EndOfTheFlowFreesTheSlot) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5})) {
    SecondPlacement it(seed);
    it.resendSyn();
    it.run(100ms);
    BOOST_TEST(it.outstanding(1) == 1U);
    it.close();
    BOOST_TEST(it.outstanding(1) == 0U);
  }
}

// Guards against leaking that slot if the flow ended before its SYN was resent:
// the load reports must free it.
BOOST_AUTO_TEST_CASE(LoadReportsFreeTheSlotOfAnEndedFlow) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5})) {
    SecondPlacement it(seed);
    it.close();
    it.resendSyn();
    for (int second = 0; second < 5; ++second) {
      it.run(1s);
      it.reportIdle(1);
    }
    BOOST_TEST(it.outstanding(1) == 0U);
    BOOST_TEST(it.AcceptedByServer1 == 0);
    BOOST_TEST(it.ClosedFlows == 1);
    BOOST_TEST(it.BrokenFlows == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
