#include "Routing/ServerTag.h"
#include "Tool/CommandTable.h"
#include "Tool/FlowExplanation.h"

#include "absl/strings/str_cat.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <sstream>
#include <string>

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

/// Logs of two hosts, behind a collector: a-1 resets the flow by a verdict that
/// a-2 decided, and that it learned of 920 ms later.
std::string verdictLog() {
  return R"(1 a-1 {"time_ms":1000,"event":"start","host":"a-1","zone":"a","packets":"10.1.0.1:8272"}
1 a-2 {"time_ms":1000,"event":"start","host":"a-2","zone":"a","packets":"10.1.0.2:8272"}
1 a-2 {"time_ms":5000,"event":"verdict","server":"i-7","verdict":"dead","age_ms":600,"decided_by":"10.1.0.2","requests":9,"syns":9,"reporters":9,"several_callers":true,"slowest_answer_ms":9,"many_retransmissions":true}
1 a-2 {"time_ms":8979,"event":"verdict","server":"i-7","verdict":"dead","age_ms":479,"decided_by":"10.1.0.2","requests":3,"syns":1,"reporters":2,"several_callers":true,"slowest_answer_ms":120,"many_retransmissions":false}
1 a-1 {"time_ms":9900,"event":"verdict","server":"i-7","verdict":"dead","age_ms":1400,"decided_by":"10.1.0.2"}
1 a-1 {"time_ms":10000,"event":"refused","flow":")" +
         Flow +
         R"(","cause":"server_gone","reset":true,"server":"i-7","tag":"00000001","reason":"verdict","requests":1,"syns":0,"silent_ms":300,"server_state":"ready","revision":7,"view_age_ms":300}
)";
}

/// The lines of \p host behind a collector.
std::string linesOf(const std::string &log, const std::string &host) {
  std::istringstream in(log);
  std::string lines;
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("1 " + host + " "))
      lines += line + "\n";
  return lines;
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

// Guards against a reset by a verdict that names neither the host that decided
// it nor the packets that it decided from, although the logs of both are given.
BOOST_AUTO_TEST_CASE(VerdictIsTracedToTheEvidenceOfTheDecidingHost) {
  LogArchive archive;
  archive.addText(verdictLog(), "all.log");
  const auto text = FlowExplanation::of(Flow, archive).text();
  BOOST_TEST(
      contains(
          text,
          "a-1 reset the flow because of the verdict that i-7 was "
          "dead, which a-2 (10.1.0.2) had decided. It had stood on a-1 for 100 "
          "ms and had come 1400 ms after the first unanswered packet"),
      text);
  BOOST_TEST(contains(text, "a-2 (10.1.0.2) decided 1021 ms before from 3 "
                            "requests and 1 SYN of several callers without an "
                            "answer, reported by 2 hosts; the slowest of its "
                            "recent answers had taken 120 ms, and few of its "
                            "answered requests"),
             text);
  BOOST_TEST(contains(text, "a-1 itself knew of 1 request and 0 SYNs without "
                            "an answer, the first of them sent 300 ms before"),
             text);
  BOOST_TEST(!contains(text, "reset was wrong"), text);
  BOOST_TEST(
      contains(text, "whether i-7 was alive: no line tells of an answer"),
      text);
}

// Guards against a guess about evidence that only a log which is not given has.
BOOST_AUTO_TEST_CASE(EvidenceOfAMissingLogIsUnknown) {
  LogArchive archive;
  archive.addText(linesOf(verdictLog(), "a-1"), "a-1.log");
  const auto json = FlowExplanation::of(Flow, archive).json();
  BOOST_TEST(contains(json["causes"].dump(), "which host 10.1.0.2 had decided"),
             json["causes"]);
  BOOST_TEST(!contains(json["causes"].dump(), "reported by"), json["causes"]);
  BOOST_TEST(contains(json["unknown"].dump(),
                      "what host 10.1.0.2 decided the verdict from"),
             json["unknown"]);
}

// Guards against a reset that is explained as the end of a server, although a
// host saw the server answer afterwards.
BOOST_AUTO_TEST_CASE(AnswerAfterTheResetShowsThatItWasWrong) {
  const auto explain = [](std::string_view lines) {
    LogArchive archive;
    archive.addText(verdictLog(), "all.log");
    archive.addText(lines, "more.log");
    return FlowExplanation::of(Flow, archive).text();
  };
  const auto own = explain(
      R"(1 a-1 {"time_ms":10900,"event":"verdict_ended","server":"i-7","verdict":"dead","ended_by":"answer","stood_ms":950,"age_ms":50,"decided_by":"10.1.0.2"}
)");
  BOOST_TEST(contains(own, "the reset was wrong: the server was alive. a-1 saw "
                           "an answer of i-7 850 ms after the reset"),
             own);
  BOOST_TEST(contains(own, "the verdict that i-7 is dead ended after 950 ms: "
                           "this host saw an answer"),
             own);
  const auto peers = explain(
      R"(1 a-1 {"time_ms":10500,"event":"verdict_ended","server":"i-7","verdict":"dead","ended_by":"peer_answer","stood_ms":600,"age_ms":20,"decided_by":"10.1.0.2","told_by":"10.1.0.2"}
1 a-2 {"time_ms":10501,"event":"verdict","server":"i-7","verdict":"answering","age_ms":21,"decided_by":"10.1.0.2","answer_seen_by":"10.1.0.9"}
)");
  BOOST_TEST(contains(peers, "host 10.1.0.9 saw an answer of i-7 480 ms after"),
             peers);
  // Seen elsewhere before the reset, within the silence.
  const auto during = explain(
      R"(1 a-3 {"time_ms":9950,"event":"cleared","server":"i-7"}
)");
  BOOST_TEST(contains(during,
                      "a-3 saw an answer of i-7 50 ms before the reset, "
                      "after the first packet that counted"),
             during);
  BOOST_TEST(!contains(during, "reset was wrong"), during);
}

// Guards against answers of a server's next run that make a right reset look
// wrong, and against answers so close to the reset that clocks cannot order
// them.
BOOST_AUTO_TEST_CASE(AnswerOfTheNextRunDoesNotShowThatTheResetWasWrong) {
  for (
      const auto *lines :
      {R"(1 a-1 {"time_ms":10400,"event":"server","server":"i-7","service":"orders","state":"ready","change":"restarted"}
1 a-3 {"time_ms":10900,"event":"cleared","server":"i-7"}
)",
       R"(1 a-3 {"time_ms":10050,"event":"cleared","server":"i-7"}
)"}) {
    LogArchive archive;
    archive.addText(verdictLog(), "all.log");
    archive.addText(lines, "more.log");
    const auto text = FlowExplanation::of(Flow, archive).text();
    BOOST_TEST(!contains(text, "reset was wrong"), text);
  }
}

// Guards against resets after a lapsed entry whose evidence is not told.
BOOST_AUTO_TEST_CASE(ResetsAfterALapseTellTheirRule) {
  const auto refused = [](const char *reason) {
    return R"(1 a-1 {"time_ms":9000,"event":"server","server":"i-7","service":"orders","address":"10.0.0.7:8000","state":"lapsed","change":"lapsed"}
1 a-1 {"time_ms":9500,"event":"server","server":"i-8","service":"carts","address":"10.0.0.7:8000","state":"ready","change":"added"}
1 a-1 {"time_ms":10000,"event":"refused","flow":")" +
           Flow +
           R"(","cause":"server_gone","reset":true,"server":"i-7","tag":"00000001","reason":")" +
           reason +
           R"(","requests":2,"syns":1,"silent_ms":700,"server_state":"lapsed","revision":7,"view_age_ms":300}
)";
  };
  LogArchive silent;
  silent.addText(refused("lapsed_and_silent"), "all.log");
  const auto text = FlowExplanation::of(Flow, silent).text();
  BOOST_TEST(contains(text, "a-1 reset the flow because the registry entry of "
                            "i-7 had lapsed 1000 ms before and it was silent: "
                            "a-1 knew of 2 requests and 1 SYN without an "
                            "answer, the first of them sent 700 ms before"),
             text);
  LogArchive taken;
  taken.addText(refused("address_taken"), "all.log");
  const auto other = FlowExplanation::of(Flow, taken).text();
  BOOST_TEST(contains(other, "another server had registered with its address "
                             "10.0.0.7:8000: i-8 of service carts, 500 ms "
                             "before"),
             other);
}

// Guards against dropped packets of a flow whose server is known to other
// hosts, or to this one a little later, without a word of it.
BOOST_AUTO_TEST_CASE(UnknownTagNamesItsServerAndTheHostsThatKnewIt) {
  const auto tag = auburnroute::routing::ServerTag::of(0x7a).front();
  const auto refused = [&](std::int64_t timeMs) {
    return absl::StrCat(
        R"(1 a-1 {"time_ms":)", timeMs, R"(,"event":"refused","flow":")", Flow,
        R"(","cause":"unknown_server","reset":false,"tag":")",
        absl::Hex(tag, absl::kZeroPad8), R"(","revision":7,"view_age_ms":40}
)");
  };
  LogArchive archive;
  archive.addText(
      R"(1 b-1 {"time_ms":9000,"event":"server","server":"i-7a","service":"orders","state":"lapsed","change":"lapsed"}
1 b-2 {"time_ms":9600,"event":"placed","flow":"1.2.3.4:5>6.7.8.9:10","server":"i-7a","copy":0}
1 b-3 {"time_ms":9000,"event":"late","flow":"1.2.3.4:5>6.7.8.9:10","server":"i-7a","answer_ms":5}
1 b-3 {"time_ms":9700,"event":"start","host":"b-3"}
1 b-4 {"time_ms":9700,"event":"late","flow":"1.2.3.4:5>6.7.8.9:10","server":"i-7b","answer_ms":5}
)" + refused(10000) +
          refused(10400) +
          R"(1 a-1 {"time_ms":10700,"event":"server","server":"i-7a","service":"orders","state":"ready","change":"added"}
1 b-2 {"time_ms":11000,"event":"late","flow":"1.2.3.4:5>6.7.8.9:10","server":"i-7a","answer_ms":5}
)",
      "all.log");
  const auto text = FlowExplanation::of(Flow, archive).text();
  BOOST_TEST(
      contains(text, absl::StrCat("a-1 dropped 2 packets because it knew no "
                                  "server with the tag ",
                                  absl::Hex(tag, absl::kZeroPad8))),
      text);
  BOOST_TEST(contains(text, "the tag names i-7a, which was known to b-1 (as "
                            "lapsed, line server 1000 ms before), b-2 (line "
                            "placed 400 ms before)\n"),
             text);
  BOOST_TEST(contains(text, "a-1 knew i-7a 700 ms later"), text);
  BOOST_TEST(contains(text, "the server was alive: b-2 saw an answer of i-7a "
                            "1000 ms after the packet was dropped"),
             text);
  BOOST_TEST(!contains(text, "i-7b"), text);
}

// Guards against a host that lacks a route of other hosts being explained as
// one that lacks the server only.
BOOST_AUTO_TEST_CASE(UnknownRouteNamesTheServerOfTheTag) {
  LogArchive archive;
  archive.addText(
      absl::StrCat(
          R"(1 a-2 {"time_ms":9000,"event":"configuration","version":8}
1 a-2 {"time_ms":9600,"event":"cleared","server":"i-7a"}
1 a-1 {"time_ms":10000,"event":"refused","flow":")",
          Flow, R"(","cause":"unknown_route","reset":false,"tag":")",
          absl::Hex(auburnroute::routing::ServerTag::of(0x7a).front(),
                    absl::kZeroPad8),
          R"(","revision":7,"view_age_ms":40}
)"),
      "all.log");
  const auto text = FlowExplanation::of(Flow, archive).text();
  BOOST_TEST(contains(text, "a-1 dropped 1 packet because it had no route of "
                            "the address yet, and no living server with the "
                            "tag"),
             text);
  BOOST_TEST(contains(text, "the tag names i-7a, which was known to a-2"),
             text);
}

// Guards against a server that is made up for a tag which no line explains.
BOOST_AUTO_TEST_CASE(TagWithoutAServerInTheLogsIsUnknown) {
  LogArchive archive;
  archive.addText(
      R"(1 a-1 {"time_ms":10000,"event":"refused","flow":")" + Flow +
          R"(","cause":"unknown_server","reset":true,"tag":"00000005","revision":7,"view_age_ms":40}
1 a-2 {"time_ms":9000,"event":"cleared","server":"i-7a"}
)",
      "all.log");
  const auto text = FlowExplanation::of(Flow, archive).text();
  BOOST_TEST(contains(text, "a-1 reset the flow because it knew no server with "
                            "the tag 00000005"),
             text);
  BOOST_TEST(contains(text, "which server the tag names"), text);
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

// Guards against a log line with fields of other types, or bytes that are no
// text, that ends the command without an explanation.
BOOST_AUTO_TEST_CASE(OddLinesDoNotHideOthers) {
  LogArchive archive;
  archive.addText("\xff\xfe "
                  R"({"time_ms":1000000,"event":"refused","flow":")" +
                      Flow +
                      R"(","cause":"no_route","reset":"yes","server":[]}
{"time_ms":1e300,"event":"refused","flow":7}
{"time_ms":1000001,"event":"registry","reachable":5,"reason":{}}
{"time_ms":1000002,"event":"verdict","server":"s-1","age_ms":1e300}
)" + std::string(2000, '[') +
                      "\n" + lateLog(),
                  "x");
  const auto explanation = FlowExplanation::of(Flow, archive);
  BOOST_TEST(explanation.isFound());
  BOOST_TEST(explanation.text().find("responded after 190 ms") !=
             std::string::npos);
  BOOST_TEST(
      !explanation.json()
           .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
           .empty());
}

BOOST_AUTO_TEST_SUITE_END()
