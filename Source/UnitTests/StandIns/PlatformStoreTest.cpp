#include "StandIns/PlatformStore.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using standins::PlatformMode;

BOOST_AUTO_TEST_SUITE(PlatformStoreTest)

// Guards against wrong HTTP statuses or documents in the down and stale modes.
BOOST_AUTO_TEST_CASE(ReadResultsFollowTheMode) {
  standins::PlatformStore store;
  BOOST_TEST(store.readSettings(0, 0ms).Status == 204);
  BOOST_TEST(store.setSettings(R"({"revision": 2} // comment)").ok());
  BOOST_TEST(store.readSettings(1, 0ms).Status == 200);
  BOOST_TEST(store.readSettings(2, 0ms).Status == 204);
  store.setMode(PlatformMode::Stale);
  BOOST_TEST(store.setSettings(R"({"revision": 3})").ok());
  BOOST_TEST(store.readSettings(2, 0ms).Status == 204);
  BOOST_TEST(store.readSettings(0, 0ms).Document.find('2') !=
             std::string::npos);
  store.setMode(PlatformMode::Down);
  BOOST_TEST(store.readSettings(0, 0ms).Status == 503);
  BOOST_TEST(store.readHosts(0, 0ms).Status == 503);
  store.setMode(PlatformMode::Up);
  BOOST_TEST(store.readSettings(2, 0ms).Document == R"({"revision": 3})");
  BOOST_TEST(store.counts().SettingsReads == 7);
  BOOST_TEST(store.counts().HostsReads == 1);
}

// Guards against accepting a document without a version, which readers could
// not order.
BOOST_AUTO_TEST_CASE(DocumentsNeedAVersion) {
  standins::PlatformStore store;
  BOOST_TEST(!store.setSettings("{}").ok());
  BOOST_TEST(!store.setSettings("not JSON").ok());
  BOOST_TEST(!store.setHosts(R"({"version": -1})").ok());
  BOOST_TEST(store.readHosts(0, 0ms).Status == 204);
}

BOOST_AUTO_TEST_SUITE_END()
