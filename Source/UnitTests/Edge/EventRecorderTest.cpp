#include "Edge/EventRecorder.h"
#include "Common/ManualClock.h"
#include "Edge/ViewListener.h"
#include "State/BurnReportCodec.h"
#include "State/CauseCodec.h"
#include "State/CauseReport.h"
#include "UnitTests/Edge/CapturedOutput.h"
#include "UnitTests/Fleet/FleetFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <utility>

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
  BOOST_TEST(metrics.value(EdgeCounter::ResetsAddressTaken) == 1U);
  BOOST_TEST(metrics.value(EdgeCounter::ResetsLapsedAndSilent) == 1U);
  BOOST_TEST(metrics.value(EdgeCounter::ResetsVerdict) == 1U);
}

// Guards against a verdict whose evidence is not logged, which makes a wrong
// reset unexplainable.
BOOST_AUTO_TEST_CASE(VerdictOfThisHostIsLoggedWithItsEvidence) {
  const auto id = add();
  // Failed checks are printed to standard output, too, so it is not captured
  // for longer than needed.
  std::optional<unittests::CapturedOutput> output(std::in_place);
  fleet::VerdictBasis basis;
  basis.Evidence.RequestCount = 3;
  basis.Evidence.SynCount = 1;
  basis.Evidence.HasSeveralCallers = true;
  basis.Quality = {.Slowest = 120ms, .HasManyRetransmissions = false};
  basis.ReporterCount = 2;
  Recorder.onVerdict({.Server = id,
                      .Kind = fleet::VerdictKind::Dead,
                      .Age = 480ms,
                      .DecidedBy = 0x0a010007,
                      .Basis = basis});
  Recorder.onVerdict({.Server = id,
                      .Kind = fleet::VerdictKind::Dead,
                      .Age = 490ms,
                      .DecidedBy = 0x0a010008});
  Log.flush();
  const auto text = output->read();
  output.reset();
  BOOST_TEST(text.find(R"("server":"s-1","verdict":"dead","age_ms":480,)"
                       R"("decided_by":"10.1.0.7","requests":3,"syns":1,)"
                       R"("reporters":2,"several_callers":true,)"
                       R"("slowest_answer_ms":120,)"
                       R"("many_retransmissions":false})") != std::string::npos,
             text);
  BOOST_TEST(text.find(R"("age_ms":490,"decided_by":"10.1.0.8"})") !=
                 std::string::npos,
             text);
}

// Guards against verdicts that end unnoticed, and against a refuted death that
// cannot be told from one that held.
BOOST_AUTO_TEST_CASE(EndsOfVerdictsAreLoggedAndCounted) {
  using edge::EdgeCounter;
  using fleet::VerdictEndReason;
  using fleet::VerdictKind;
  const auto id = add();
  std::optional<unittests::CapturedOutput> output(std::in_place);
  Recorder.onVerdictEnd({.Server = id,
                         .Kind = VerdictKind::Dead,
                         .Why = VerdictEndReason::PeerAnswer,
                         .Duration = 700ms,
                         .Age = 20ms,
                         .DecidedBy = 0x0a010007,
                         .ToldBy = 0x0a010008,
                         .AnswerSeenBy = 0x0a010009});
  Recorder.onVerdictEnd({.Server = id,
                         .Kind = VerdictKind::Suspected,
                         .Why = VerdictEndReason::Answer});
  Recorder.onVerdictEnd({.Server = id,
                         .Kind = VerdictKind::Dead,
                         .Why = VerdictEndReason::Time,
                         .Duration = 4000ms});
  Recorder.onVerdictEnd({.Server = id,
                         .Kind = VerdictKind::Dead,
                         .Why = VerdictEndReason::ServerChanged});
  Log.flush();
  const auto text = output->read();
  output.reset();
  BOOST_TEST(
      text.find(R"("event":"verdict_ended","server":"s-1","verdict":"dead",)"
                R"("ended_by":"peer_answer","stood_ms":700,"age_ms":20,)"
                R"("decided_by":"10.1.0.7","told_by":"10.1.0.8",)"
                R"("answer_seen_by":"10.1.0.9"})") != std::string::npos,
      text);
  const auto &metrics = Recorder.metrics();
  BOOST_TEST(metrics.value(EdgeCounter::VerdictsEndedByAnswer) == 1U);
  BOOST_TEST(metrics.value(EdgeCounter::VerdictsEndedByPeerAnswer) == 1U);
  BOOST_TEST(metrics.value(EdgeCounter::VerdictsEndedByTime) == 1U);
  BOOST_TEST(metrics.value(EdgeCounter::DeadVerdictsRefuted) == 1U);
}

// The verdict that the other owner of a server decides as well must not count
// twice.
BOOST_AUTO_TEST_CASE(RepeatedVerdictsAreNotCounted) {
  using edge::EdgeCounter;
  const auto id = add();
  for (const bool isNew : {true, false})
    Recorder.onVerdict(
        {.Server = id, .Kind = fleet::VerdictKind::Dead, .IsNew = isNew});
  BOOST_TEST(Recorder.metrics().value(EdgeCounter::DeadVerdicts) == 1U);
}

// Guards against entries of other writers that come and go and displace the
// causes of failures.
BOOST_AUTO_TEST_CASE(ServersWithoutARouteAreNoCauses) {
  routing::RouteTable routes;
  edge::ViewListener listener(Recorder, Directory, Health);
  fleet::FleetView view(routes, Directory, listener);
  Recorder.setView(&view);
  fleet::RegistryPage page;
  page.Revision = 1;
  page.Configuration = unittests::sampleConfiguration(1);
  page.Servers.push_back(server(routing::ServerState::Ready, 1));
  auto foreign = server(routing::ServerState::Ready, 1);
  foreign.Name = "press-1";
  foreign.Identity = 2;
  foreign.Service = "press";
  page.Servers.push_back(foreign);
  view.applyChanges(page, Clock.now(), Clock.now());
  fleet::RegistryPage removal;
  removal.Revision = 3;
  removal.Removed = {{"s-1", 2}, {"press-1", 3}};
  view.applyChanges(removal, Clock.now(), Clock.now());
  const auto triggers =
      state::findTriggers(state::decodeCauses(History.causes(1h)).value());
  const auto count = std::ranges::count(triggers, Cause::BackendServerLapsed,
                                        &state::Trigger::Cause);
  BOOST_TEST(count == 1);
  Recorder.setView(nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
