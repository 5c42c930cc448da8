#include "Tool/CommandTable.h"
#include "Tool/FlowExplanation.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace auburnroute::tool;

namespace {

const std::string Flow = "100.64.0.7:40001>198.18.0.1:443";

/// Log of a daemon: the first server does not respond, and the second responds
/// late.
std::string lateLog() {
  return R"({"time_ms":1000000,"event":"start","host":"front-a-1"}
{"time_ms":1001000,"event":"placed","flow":")" +
         Flow +
         R"(","server":"s-1","copy":0,"busy":0,"open":2,"revision":7,"view_age_ms":300}
{"time_ms":1001200,"event":"suspected","flow":")" +
         Flow +
         R"(","server":"s-1","cause":"syn_unanswered","silent_ms":200}
{"time_ms":1001200,"event":"placed","flow":")" +
         Flow +
         R"(","server":"s-2","copy":1,"busy":3,"open":2,"revision":7,"view_age_ms":500}
{"time_ms":1001400,"event":"late","flow":")" +
         Flow + R"(","server":"s-2","answer_ms":190,"objective_ms":100,"busy":3}
{"time_ms":1001500,"event":"verdict","server":"s-1","verdict":"dead","age_ms":480,"decided_by":"10.1.0.7"}
{"time_ms":1003000,"event":"server","server":"s-1","service":"orders","state":"lapsed","change":"lapsed"}
{"time_ms":1003100,"event":"server","server":"s-9","service":"orders","state":"lapsed","change":"lapsed"}
{"time_ms":1003200,"event":"log_dropped","kind":"placed","lines":4}
this is no log line
)";
}

bool contains(const std::string &text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ExplainTest)

// Guards against an explanation that omits why a request was late, or that
// names a server that the flow did not use.
BOOST_AUTO_TEST_CASE(LateRequestIsExplainedByItsServersOnly) {
  LogArchive archive;
  archive.addText(lateLog(), "a.log");
  const auto text = FlowExplanation::of(Flow, archive).text();
  BOOST_TEST(contains(text, "front-a-1: SYN 1 sent to s-1"));
  BOOST_TEST(contains(text, "server s-1 did not respond"));
  BOOST_TEST(contains(text, "server s-1 was lapsed"));
  BOOST_TEST(contains(text, "server s-2 took 190 ms"));
  BOOST_TEST(contains(text, "consider s-1 dead (decided by 10.1.0.7"));
  BOOST_TEST(!contains(text, "s-9"));
  BOOST_TEST(contains(text, "4 lines were left out"));
  BOOST_TEST(contains(text, "1 lines could not be read"));
}

// Guards against a refusal without its cause, and against taking the host from
// the file name although a log collector put it in front of the line.
BOOST_AUTO_TEST_CASE(RefusalNamesItsCauseAndHost) {
  LogArchive archive;
  archive.addText(
      R"(  1.25 front-b-2 {"time_ms":5,"event":"refused","flow":")" + Flow +
          R"(","cause":"no_server","reset":true})",
      "all.log");
  const auto json = FlowExplanation::of(Flow, archive).json();
  BOOST_TEST(json["hosts"][0] == "front-b-2");
  BOOST_TEST(json["causes"][0] ==
             "no server of the service was registered and ready");
}

// Guards against a request that an outdated route refused and whose explanation
// names neither the later configuration nor the restored registry.
BOOST_AUTO_TEST_CASE(OutdatedRouteIsNamed) {
  LogArchive archive;
  archive.addText(
      R"(1 a-1 {"time_ms":1000,"event":"configuration","version":11}
1 a-2 {"time_ms":1100,"event":"configuration","version":11}
1 a-2 {"time_ms":2000,"event":"registry_era","phase":"entered","from":1,"to":2,"revision_before":23,"revision":22}
1 a-1 {"time_ms":3000,"event":"configuration","version":14}
1 a-2 {"time_ms":6500,"event":"refused","flow":")" +
          Flow + R"(","cause":"no_route","reset":true}
)",
      "all.log");
  const auto text = FlowExplanation::of(Flow, archive).text();
  BOOST_TEST(contains(text, "a-2 decided by configuration 11 while a-1 had 14 "
                            "since 00:00:03.000"));
  BOOST_TEST(contains(text, "the registry was restored from a backup: era 1 "
                            "ended at revision 23, era 2 is at revision 22"));
}

// Guards against made-up explanations of a flow that no log line names.
BOOST_AUTO_TEST_CASE(FlowWithoutLogLinesIsNotFound) {
  LogArchive archive;
  archive.addText(lateLog(), "a.log");
  const auto explanation = FlowExplanation::of("1.2.3.4:5>6.7.8.9:10", archive);
  BOOST_TEST(!explanation.isFound());
  BOOST_TEST(contains(explanation.text(), "no line names the flow"));
}

// Guards against a missing --flow or an unreadable file being accepted.
BOOST_AUTO_TEST_CASE(MissingFlowAndUnreadableFileAreRejected) {
  std::ostringstream out;
  std::ostringstream err;
  Output output{out, err};
  BOOST_TEST(allCommands().run({"explain", "x.log"}, {}, output) == ExitUsage);
  Arguments arguments;
  arguments.Flow = Flow;
  BOOST_TEST(allCommands().run({"explain", "/nowhere/x.log"}, arguments,
                               output) == ExitFailure);
  BOOST_TEST(contains(err.str(), "/nowhere/x.log"));
}

// Guards against a deployment template that the platform cannot fill in, or
// whose result the daemon rejects.
BOOST_AUTO_TEST_CASE(DeployedTemplatePassesCheck) {
  std::ostringstream out;
  std::ostringstream err;
  Output output{out, err};
  Arguments arguments;
  arguments.IsEdgeFile = true;
  BOOST_TEST(allCommands().run({"check", AUBURN_SOURCE_DIR "/deploy/edge.json"},
                               arguments, output) == ExitSuccess,
             err.str());
  BOOST_TEST(contains(out.str(), "no errors, filled with sample values"));
}

BOOST_AUTO_TEST_SUITE_END()
