#include "Edge/EdgeMetrics.h"
#include "Edge/EventLog.h"
#include "Routing/RoutingOutcome.h"
#include "State/EdgeSettings.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <string>

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
