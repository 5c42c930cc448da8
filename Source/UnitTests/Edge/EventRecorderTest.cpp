#include "Edge/EventRecorder.h"
#include "Common/ManualClock.h"
#include "State/BurnReportCodec.h"
#include "State/CauseCodec.h"
#include "State/CauseReport.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using state::Cause;

namespace {

struct RecorderFixture {
  common::ManualClock Clock;
  edge::EventLog Log{Clock};
  routing::ServerDirectory Directory{60s};
  routing::ServerHealthTracker Health;
  fleet::CauseHistory History{"a-1", "192.0.2.1", Clock};
  edge::EventRecorder Recorder{Log, Clock, Directory, Health, History};
  routing::FlowId Flow{{0xc0000201, 1024}, {0xc6120001, 443}};

  routing::ServerRegistration server(routing::ServerState state,
                                     std::uint64_t revision) {
    routing::ServerRegistration server;
    server.Name = "s-1";
    server.Identity = 1;
    server.Service = "orders";
    server.Zone = "a";
    server.Slots = 2;
    server.StartTimeMs = 1;
    server.State = state;
    server.Revision = revision;
    return server;
  }
  routing::ServerId add() {
    Directory.apply(server(routing::ServerState::Ready, 1), Clock.now());
    return Directory.idOf(*Directory.findByName("s-1"));
  }
  std::vector<state::Finding> findings() const {
    return state::findCauses(state::decodeCauses(History.causes(1h)).value(),
                             "orders");
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventRecorderTest, RecorderFixture)

// Guards against a report on a broken flow that lacks the backend server or the
// suspicion that preceded the failure.
BOOST_AUTO_TEST_CASE(BrokenFlowIsAttributedToItsServer) {
  const auto id = add();
  Recorder.onSuspected(Flow, id, routing::SuspicionReason::DataUnanswered,
                       200ms);
  Clock.advance(300ms);
  Recorder.onRefused({.Flow = Flow,
                      .Why = routing::RefusalReason::ServerGone,
                      .Service = Directory.serviceNames().idOf("orders"),
                      .Server = id});
  const auto found = findings();
  BOOST_REQUIRE(found.size() == 1U);
  BOOST_TEST((found.front().Cause == Cause::BackendServerDown));
  BOOST_TEST(found.front().Subject == "s-1");
  const auto text = state::describe(found.front());
  BOOST_TEST(text.find("s-1 did not answer in time") != std::string::npos,
             text);
}

// Guards against flow outcome counts that omit requests or count them twice.
BOOST_AUTO_TEST_CASE(EachRequestIsCountedOnce) {
  const auto id = add();
  const auto orders = Directory.serviceNames().idOf("orders");
  Recorder.onAnswered(Flow, id, 20ms, 100ms);
  Recorder.onAnswered(Flow, id, 120ms, 100ms);
  Recorder.onAnswered(Flow, id, 120ms, 0ms);
  Recorder.onRefused({.Flow = Flow,
                      .Why = routing::RefusalReason::NoServer,
                      .IsSyn = true,
                      .Service = orders});
  Recorder.onRefused({.Flow = Flow,
                      .Why = routing::RefusalReason::UnknownServer,
                      .IsDropped = true,
                      .Service = orders});
  Recorder.onRefused({.Flow = Flow,
                      .Why = routing::RefusalReason::UnknownServer,
                      .Service = orders});
  const auto burn = state::decodeBurnReport(History.burn()).value();
  const state::FlowOutcomeCounts expected{
      .Good = 3, .Refused = 1, .Broken = 1, .Slow = 1, .Placed = 3};
  BOOST_TEST((burn.Services.at("orders").Windows.at(60min) == expected));
}

// Guards against a drained backend server whose removal is reported as a
// failure.
BOOST_AUTO_TEST_CASE(RemovalAfterDrainingIsNotAFailure) {
  using routing::DirectoryChange;
  add();
  Directory.apply(server(routing::ServerState::Draining, 2), Clock.now());
  Recorder.recordServer(server(routing::ServerState::Draining, 2),
                        DirectoryChange::Draining);
  Directory.apply(server(routing::ServerState::Lapsed, 3), Clock.now());
  Recorder.recordServer(server(routing::ServerState::Lapsed, 3),
                        DirectoryChange::Lapsed);
  const auto triggers =
      state::findTriggers(state::decodeCauses(History.causes(1h)).value());
  BOOST_REQUIRE(triggers.size() == 1U);
  BOOST_TEST((triggers.front().Cause == Cause::BackendServerDraining));
}

// Guards against resets of open flows whose rule cannot be told afterwards.
BOOST_AUTO_TEST_CASE(ResetsOfOpenFlowsAreCountedByReason) {
  using edge::EdgeCounter;
  using routing::RefusalReason;
  const auto id = add();
  Recorder.onRefused({.Flow = Flow, .Why = RefusalReason::RouteRemoved});
  Recorder.onRefused(
      {.Flow = Flow, .Why = RefusalReason::NoRoute, .IsSyn = true});
  Recorder.onRefused({.Flow = Flow,
                      .Why = RefusalReason::UnknownServer,
                      .IsDropped = true,
                      .Tag = 7});
  for (const auto reason :
       {routing::EndReason::AddressTaken, routing::EndReason::LapsedAndSilent,
        routing::EndReason::Verdict})
    Recorder.onRefused({.Flow = Flow,
                        .Why = RefusalReason::ServerGone,
                        .Server = id,
                        .Tag = 7,
                        .End = {.Reason = reason}});
  const auto &metrics = Recorder.metrics();
  BOOST_TEST(metrics.value(EdgeCounter::FlowsReset) == 5U);
  BOOST_TEST(metrics.value(EdgeCounter::ResetsRouteRemoved) == 1U);
  BOOST_TEST(metrics.value(EdgeCounter::ResetsUnknownServer) == 0U);
  BOOST_TEST(metrics.value(EdgeCounter::ResetsAddressTaken) == 1U);
  BOOST_TEST(metrics.value(EdgeCounter::ResetsLapsedAndSilent) == 1U);
  BOOST_TEST(metrics.value(EdgeCounter::ResetsVerdict) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
