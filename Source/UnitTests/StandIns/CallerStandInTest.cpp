#include "StandIns/CallerStandIn.h"

#include "Common/ManualClock.h"
#include "StandIns/BackendServerStandIn.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <set>

using namespace auburnroute;
using namespace std::chrono_literals;
using standins::BackendServerBehaviour;

namespace {

constexpr std::uint32_t ServerAddress = 0xC000020B;
constexpr common::Endpoint FeedAddress{0xC6336401, 7001};
constexpr common::Endpoint RequestAddress{0xC6336401, 7002};

state::Service serviceNamed(const std::string &name) {
  state::Service service;
  service.Name = name;
  service.Listeners = {{FeedAddress, state::ListenerKind::Feed, 9001},
                       {RequestAddress, state::ListenerKind::Request, 9002}};
  state::BackendServer server;
  server.Name = name + "-1";
  server.Number = 1;
  server.Address = ServerAddress;
  server.Slots = 2;
  service.BackendServers = {server};
  return service;
}

standins::CallerOptions fewCallers() {
  standins::CallerOptions options;
  options.CallerCount = 2;
  options.PortsPerCaller = 20;
  options.RequestsPerSecond = 50;
  options.FeedCount = 3;
  return options;
}

/// Connects callers to one backend server and rewrites the addresses of the
/// packets between them as a host does.
class CallersAndServer {
public:
  explicit CallersAndServer(
      const std::string &servedService = "counter",
      const standins::CallerOptions &options = fewCallers())
      : Callers(settings(), options),
        Server(serviceNamed(servedService),
               serviceNamed(servedService).BackendServers[0], 9) {
    Callers.start(Clock.now());
  }

  void run(std::chrono::milliseconds length) {
    for (const auto end = Clock.now() + length; Clock.now() < end;
         Clock.advance(1ms)) {
      Callers.onTimer(Clock.now());
      Server.onTimer(Clock.now());
      for (int i = 0; i < 6; ++i)
        exchangePackets();
    }
  }

  /// Stops sending, waits for the outcomes and ends the run.
  void finishRun() {
    Callers.stopSending();
    run(12s);
    Callers.finish(Clock.now());
    run(100ms);
  }

  /// Checks that every request has exactly one outcome.
  void checkOneOutcomePerRequest() const {
    const auto &log = Callers.log();
    BOOST_TEST(log.RequestsSent == log.Answered.size() +
                                       log.KnownNotRun.size() +
                                       log.UnknownOutcomes.size());
  }

  common::ManualClock Clock;
  standins::CallerStandIn Callers;
  standins::BackendServerStandIn Server;
  /// Packets to the callers for which this returns false are lost.
  std::function<bool(const protocol::PacketView &)> ShouldDeliver =
      [](const auto &) { return true; };

private:
  static state::Settings settings() {
    state::Settings made;
    made.Services = {serviceNamed("counter")};
    return made;
  }

  void exchangePackets() {
    protocol::PacketView view;
    for (auto &packet : Callers.takePackets()) {
      BOOST_REQUIRE(view.parse(packet) == state::Cause::None);
      const bool feed = view.destination() == FeedAddress;
      view.setDestination(
          {ServerAddress, static_cast<std::uint16_t>(feed ? 9001 : 9002)});
      Server.onDatagram(Clock.now(), packet);
    }
    for (auto &packet : Server.takePackets()) {
      BOOST_REQUIRE(view.parse(packet) == state::Cause::None);
      view.setSource(view.source().Port == 9001 ? FeedAddress : RequestAddress);
      if (ShouldDeliver(view))
        Callers.onDatagram(Clock.now(), packet);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CallerStandInTest)

// Guards against false errors in a run without faults: while ports are reused,
// every request runs once and is answered, and no feed breaks.
BOOST_AUTO_TEST_CASE(AllRequestsAreAnsweredWithoutFaults) {
  CallersAndServer net;
  net.run(5s);
  net.finishRun();
  net.checkOneOutcomePerRequest();
  const auto &log = net.Callers.log();
  BOOST_TEST(log.RequestsSent > 200);
  BOOST_TEST(log.Answered.size() == log.RequestsSent);
  BOOST_TEST(log.WrongAnswers == 0);
  BOOST_TEST(log.FeedsOpened == 3);
  BOOST_TEST(log.FeedMessages > 100);
  BOOST_TEST(log.BrokenFeeds.empty());
  BOOST_TEST(net.Server.results().ExecutionsById.size() == log.RequestsSent);
  for (const auto &[id, n] : net.Server.results().ExecutionsById)
    BOOST_TEST(n == 1);
}

// Guards against reporting a request as not run although it ran.
BOOST_AUTO_TEST_CASE(RefusedRequestsAreNotRun) {
  CallersAndServer net;
  net.run(1s);
  net.Server.setBehaviour(net.Clock.now(), BackendServerBehaviour::Shedding);
  net.run(2s);
  net.finishRun();
  net.checkOneOutcomePerRequest();
  const auto &log = net.Callers.log();
  BOOST_TEST(log.KnownNotRun.size() > 50);
  BOOST_TEST(log.BrokenFeeds.empty());
  for (const auto &id : log.KnownNotRun)
    BOOST_TEST(!net.Server.results().ExecutionsById.contains(id));
}

// Guards against a wrong outcome when a backend server dies: requests on
// established connections are unknown, those that never connected did not run.
BOOST_AUTO_TEST_CASE(DeadServerLeavesUnknownOutcomes) {
  auto options = fewCallers();
  options.AnswerTimeout = 60s; // Longer than the TCP timeout.
  CallersAndServer net("counter", options);
  net.run(2s);
  // Loses the answers but not the handshakes.
  net.ShouldDeliver = [](const auto &packet) {
    return packet.isSynAck() || packet.source() == FeedAddress;
  };
  net.run(300ms);
  net.Server.setBehaviour(net.Clock.now(), BackendServerBehaviour::Dead);
  net.run(300ms);
  net.Callers.stopSending();
  net.run(25s);
  net.finishRun();
  net.checkOneOutcomePerRequest();
  const auto &log = net.Callers.log();
  BOOST_TEST(!log.UnknownOutcomes.empty());
  BOOST_TEST(!log.KnownNotRun.empty());
  for (const auto &id : log.KnownNotRun)
    BOOST_TEST(!net.Server.results().ExecutionsById.contains(id));
}

// Guards against feeds that break without being recorded and reopened.
BOOST_AUTO_TEST_CASE(BrokenFeedIsRecordedAndReopened) {
  auto options = fewCallers();
  options.RequestsPerSecond = 0;
  CallersAndServer net("counter", options);
  const auto start = net.Clock.now();
  net.run(1s);
  net.Server.setBehaviour(net.Clock.now(), BackendServerBehaviour::Dead);
  net.run(25s);
  net.Server.setBehaviour(net.Clock.now(), BackendServerBehaviour::Active);
  net.run(5s);
  const auto &log = net.Callers.log();
  BOOST_TEST(log.BrokenFeeds.size() == 3);
  BOOST_TEST(log.FeedsOpened == 6);
  for (const auto &it : log.BrokenFeeds) {
    // TCP times out long after the outage began.
    BOOST_TEST((it.EndedAt - it.LastReceivedAt > 10s));
    BOOST_TEST((it.LastReceivedAt - start <= 1s));
  }
}

// Guards against misrouted flows that are not detected: the payload names the
// service that the caller intended.
BOOST_AUTO_TEST_CASE(WrongServiceIsCountedOnBothSides) {
  CallersAndServer net("catalogue");
  net.run(1s);
  net.finishRun();
  BOOST_TEST(net.Server.results().WrongServicePackets > 0);
  BOOST_TEST(net.Server.results().ExecutionsById.empty());
  BOOST_TEST(net.Callers.log().WrongAnswers > 0);
  BOOST_TEST(net.Callers.log().Answered.empty());
}

// Guards against new connections to a draining server that are not counted.
BOOST_AUTO_TEST_CASE(NewWorkAfterDrainLimitIsCounted) {
  CallersAndServer net;
  net.run(1s);
  net.Server.setBehaviour(net.Clock.now(), BackendServerBehaviour::Draining);
  net.run(2900ms);
  BOOST_TEST(net.Server.results().ConnectionsWhileDraining > 0);
  BOOST_TEST(net.Server.results().ConnectionsAfterDrainGrace == 0);
  net.run(2s);
  BOOST_TEST(net.Server.results().ConnectionsAfterDrainGrace > 0);
  BOOST_TEST(net.Callers.log().BrokenFeeds.empty());
}

BOOST_AUTO_TEST_SUITE_END()
