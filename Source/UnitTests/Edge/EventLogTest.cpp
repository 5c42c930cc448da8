#include "Edge/EventLog.h"
#include "Common/ManualClock.h"
#include "Edge/EdgeMetrics.h"
#include "UnitTests/Edge/CapturedOutput.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

using namespace auburnroute;
using namespace std::chrono_literals;
using edge::EdgeCounter;
using edge::EventLog;
using edge::LogEvent;
using unittests::CapturedOutput;

BOOST_AUTO_TEST_SUITE(EventLogTest)

BOOST_AUTO_TEST_CASE(EachLineIsOneJsonObject) {
  common::ManualClock clock;
  CapturedOutput output;
  EventLog log(clock);
  log.write(LogEvent::Placed, "\"flow\":\"a>b\"");
  log.flush();
  const auto text = output.read();
  BOOST_TEST(text.ends_with(",\"event\":\"placed\",\"flow\":\"a>b\"}\n"));
  BOOST_TEST(text.starts_with("{\"time_ms\":"));
}

// Guards against a log volume that grows with the load.
BOOST_AUTO_TEST_CASE(RateLimitAppliesPerEventKind) {
  common::ManualClock clock;
  CapturedOutput output;
  EventLog log(clock);
  std::uint32_t admitted = 0;
  for (int i = 0; i < 1000; ++i)
    admitted += log.tryAdmit(LogEvent::Placed);
  BOOST_TEST(admitted == EventLog::MaxLinesPerSecond);
  BOOST_TEST(log.tryAdmit(LogEvent::Refused));
  log.flush();
  BOOST_TEST(output.read().find("\"kind\":\"placed\",\"lines\":900") !=
             std::string::npos);
  BOOST_TEST(log.dropped() == 900U);
  clock.advance(1s);
  BOOST_TEST(log.tryAdmit(LogEvent::Placed));
}

// Guards against a daemon that blocks when the reader of its standard output
// stops reading.
BOOST_AUTO_TEST_CASE(FlushDoesNotBlockOnStoppedReader) {
  common::ManualClock clock;
  CapturedOutput output;
  EventLog log(clock);
  const std::string fields = "\"x\":\"" + std::string(500, 'x') + "\"";
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 2000; ++i) {
    log.write(LogEvent::Placed, fields);
    log.flush();
  }
  BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
  const auto first = output.read();
  BOOST_TEST(first.size() <= 65536U);
  log.flush();
  log.flush();
  // Dropped lines are reported when the reader resumes.
  BOOST_TEST((first + output.read()).find("\"kind\":\"unread\"") !=
             std::string::npos);
}

// Guards against output that Prometheus rejects: each metric needs its TYPE
// line, and buckets are cumulative.
BOOST_AUTO_TEST_CASE(MetricsHaveThePrometheusTextFormat) {
  edge::EdgeMetrics metrics;
  metrics.add(EdgeCounter::FlowsPlaced, 3);
  metrics.addAnswerTime(7ms);
  metrics.addAnswerTime(15ms);
  metrics.addAnswerTime(60s);
  const auto text = metrics.text({});
  for (const std::string part :
       {"# TYPE auburnedge_flows_placed_total counter\n",
        "\nauburnedge_flows_placed_total 3\n",
        "auburnedge_answer_time_ms_bucket{le=\"5\"} 0\n",
        "auburnedge_answer_time_ms_bucket{le=\"10\"} 1\n",
        "auburnedge_answer_time_ms_bucket{le=\"20\"} 2\n",
        "auburnedge_answer_time_ms_bucket{le=\"10000\"} 2\n",
        "auburnedge_answer_time_ms_bucket{le=\"+Inf\"} 3\n",
        "auburnedge_answer_time_ms_count 3\n"})
    BOOST_TEST(text.find(part) != std::string::npos, part);
}

// Guards against a log line that a key of another writer makes unreadable or
// very long.
BOOST_AUTO_TEST_CASE(TextOfOthersIsQuotedAndLimited) {
  BOOST_TEST(edge::EventLog::quoted("servers/i-01") == "\"servers/i-01\"");
  BOOST_TEST(edge::EventLog::quoted("a\"b\\c") == "\"a\\\"b\\\\c\"");
  BOOST_TEST(edge::EventLog::quoted("\n\x1b\xc3\xa4\x7f") == "\"?????\"");
  BOOST_TEST(edge::EventLog::quoted(std::string(1000, 'x'), 64).size() == 66U);
}

BOOST_AUTO_TEST_SUITE_END()
