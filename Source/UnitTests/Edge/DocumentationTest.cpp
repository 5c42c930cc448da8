#include "Common/ManualClock.h"
#include "Edge/EdgeMetrics.h"
#include "Edge/EventLog.h"
#include "Edge/EventRecorder.h"
#include "Routing/RoutingOutcome.h"
#include "State/EdgeSettings.h"
#include "UnitTests/Edge/CapturedOutput.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include <nlohmann/json.hpp>

using namespace auburnroute;

namespace {

std::string readPage(const std::string &path) {
  std::ifstream in(std::string(AUBURN_SOURCE_DIR "/") + path);
  BOOST_REQUIRE_MESSAGE(in.good(), path);
  return {std::istreambuf_iterator<char>(in), {}};
}

/// Whether \p text contains \p word in backquotes.
bool hasCodeSpan(const std::string &text, std::string_view word) {
  return text.find("`" + std::string(word) + "`") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentationTest)

// Guards against a log event or refusal cause that operators cannot look up in
// the documentation.
BOOST_AUTO_TEST_CASE(EachLogEventAndCauseIsDocumented) {
  const auto page = readPage("docs/OPERATIONS.md");
  for (int i = 0; i < static_cast<int>(edge::LogEvent::Count); ++i)
    BOOST_TEST(hasCodeSpan(page, toString(static_cast<edge::LogEvent>(i))),
               toString(static_cast<edge::LogEvent>(i)));
  for (int i = 0; i < static_cast<int>(routing::RefusalReason::Malformed); ++i)
    BOOST_TEST(
        hasCodeSpan(page, toString(static_cast<routing::RefusalReason>(i))),
        toString(static_cast<routing::RefusalReason>(i)));
}

// Guards against a reason in a log line that operators cannot look up.
BOOST_AUTO_TEST_CASE(EachReasonIsDocumented) {
  const auto page = readPage("docs/OPERATIONS.md");
  const auto check = [&](std::string_view name) {
    BOOST_TEST(hasCodeSpan(page, name), name);
  };
  using routing::EndReason;
  for (const auto it : {EndReason::AddressTaken, EndReason::LapsedAndSilent,
                        EndReason::Verdict})
    check(toString(it));
  using fleet::VerdictEndReason;
  for (const auto it :
       {VerdictEndReason::Answer, VerdictEndReason::PeerAnswer,
        VerdictEndReason::Time, VerdictEndReason::ServerChanged})
    check(toString(it));
  using fleet::EntryRejection;
  for (const auto it :
       {EntryRejection::Key, EntryRejection::Encoding, EntryRejection::TooLong,
        EntryRejection::Syntax, EntryRejection::Field, EntryRejection::NoRoom})
    check(toString(it));
  using fleet::VerdictKind;
  for (const auto it :
       {VerdictKind::Suspected, VerdictKind::Dead, VerdictKind::Answering})
    check(toString(it));
  using fleet::EvidenceRejection;
  for (const auto it :
       {EvidenceRejection::UnknownServer, EvidenceRejection::OtherRun,
        EvidenceRejection::NotOwner, EvidenceRejection::OtherZone,
        EvidenceRejection::Refuted, EvidenceRejection::TooMany})
    check(toString(it));
  using routing::OutlierKind;
  for (const auto it : {OutlierKind::Unanswered, OutlierKind::FailedSyns,
                        OutlierKind::EndedFlows, OutlierKind::Slow})
    check(toString(it));
}

// Guards against a field of a decision that operators cannot look up.
BOOST_AUTO_TEST_CASE(EachFieldOfADecisionIsDocumented) {
  common::ManualClock clock;
  edge::EventLog log(clock);
  routing::ServerDirectory directory{std::chrono::seconds(60)};
  routing::ServerHealthTracker health;
  fleet::CauseHistory history("a-1", "192.0.2.1", clock);
  edge::EventRecorder recorder(log, clock, directory, health, history);
  routing::ServerRegistration server;
  server.Name = "s-1";
  server.Identity = 1;
  server.State = routing::ServerState::Ready;
  directory.apply(server, clock.now());
  const auto id = directory.idOf(*directory.findByName("s-1"));
  const routing::FlowId flow{{0xc0000201, 1024}, {0xc6120001, 443}};

  std::string text;
  {
    // Failed checks are printed to standard output, too.
    unittests::CapturedOutput output;
    recorder.recordServer(server, routing::DirectoryChange::Added);
    recorder.onPlaced(flow, id, 0);
    recorder.onRefused({.Flow = flow,
                        .Why = routing::RefusalReason::ServerGone,
                        .Server = id,
                        .Tag = 7,
                        .End = {.Reason = routing::EndReason::Verdict}});
    recorder.onSuspected(flow, id, routing::SuspicionReason::DataUnanswered,
                         std::chrono::milliseconds(200));
    recorder.onSuspicionCleared(id);
    recorder.onVerdict({.Server = id,
                        .DecidedBy = 1,
                        .Basis = fleet::VerdictBasis(),
                        .AnswerSeenBy = 1});
    recorder.onVerdictEnd(
        {.Server = id, .DecidedBy = 1, .ToldBy = 1, .AnswerSeenBy = 1});
    recorder.onDegraded(
        {.Server = id, .DecidedBy = 1, .Evidence = routing::OutlierEvidence()});
    recorder.onDegradedEnd(id, std::chrono::milliseconds(1));
    recorder.onRejected(fleet::EvidenceRejection::Refuted, 1, 1);
    recorder.onAnswered(flow, id, std::chrono::milliseconds(200),
                        std::chrono::milliseconds(100));
    recorder.onCold(id, 1);
    recorder.onWarm(id);
    recorder.onLimited(id);
    recorder.onLimited(std::nullopt);
    recorder.recordConfiguration(1);
    recorder.recordEvacuation({});
    recorder.recordEra({});
    recorder.recordReconciliation({});
    recorder.recordRejectedEntry({});
    log.flush();
    text = output.read();
  }

  const auto page = readPage("docs/OPERATIONS.md");
  std::istringstream lines(text);
  int count = 0;
  for (std::string line; std::getline(lines, line); ++count) {
    const auto fields = nlohmann::json::parse(line);
    for (const auto &[name, value] : fields.items())
      BOOST_TEST(hasCodeSpan(page, name), name);
  }
  BOOST_TEST(count == 20);
}

BOOST_AUTO_TEST_CASE(EachMetricIsDocumented) {
  const auto page = readPage("docs/settings-edge.md");
  const auto text = edge::EdgeMetrics().text({});
  const std::string type = "# TYPE auburnedge_";
  for (std::size_t at = text.find(type); at != std::string::npos;
       at = text.find(type, at + 1)) {
    const auto first = at + type.size();
    const auto name = text.substr(first, text.find(' ', first) - first);
    BOOST_TEST(hasCodeSpan(page, name), name);
  }
}

BOOST_AUTO_TEST_CASE(EachSettingIsDocumented) {
  const auto page = readPage("docs/settings-edge.md");
  for (const auto &it : state::edgeSettingKeys())
    BOOST_TEST(hasCodeSpan(page, it), it);
}

BOOST_AUTO_TEST_SUITE_END()
