#include "Protocol/LoadReportCodec.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;

BOOST_AUTO_TEST_SUITE(LoadReportCodecTest)

// Guards against new flows for a backend server whose report says that it is
// shedding or draining.
BOOST_AUTO_TEST_CASE(DecodesEachState) {
  const auto decode = [](const std::string &state) {
    return protocol::decodeLoadReport(
        R"({"service":"counter","state":")" + state +
        R"(","slots":2,"busy":1,"queued":3,"connections":4})");
  };
  const auto active = decode("active");
  BOOST_REQUIRE(active.ok());
  BOOST_TEST(!active->IsShedding);
  BOOST_TEST(active->Queued == 3);
  BOOST_TEST((active->Mode == state::BackendServerMode::Active));
  BOOST_TEST(decode("shedding")->IsShedding);
  BOOST_TEST((decode("draining")->Mode == state::BackendServerMode::Draining));
  BOOST_TEST(!decode("sleeping").ok());
}

// Guards against accepting a report with missing members, wrong types or counts
// out of range.
BOOST_AUTO_TEST_CASE(MalformedReportsAreErrors) {
  for (const auto *text :
       {"", "[]", "{}", R"({"service":1,"state":"active"})",
        R"({"service":"a","state":"active","slots":-1,"busy":0,"queued":0,
            "connections":0})",
        R"({"service":"a","state":"active","slots":1,"busy":4294967296,
            "queued":0,"connections":0})"})
    BOOST_TEST(!protocol::decodeLoadReport(text).ok());
}

BOOST_AUTO_TEST_SUITE_END()
