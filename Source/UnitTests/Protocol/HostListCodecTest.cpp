#include "Protocol/HostListCodec.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace auburnroute;

namespace {

const auto Sample = nlohmann::json::parse(R"({ "version": 4,
  "hosts": [ { "name": "sando-1", "zone": "sando", "state": "leaving",
               "packets": "127.0.0.1:21001", "admission": "127.0.0.1:21101",
               "peer": "127.0.0.1:21201", "operator": "127.0.0.1:21301" } ],
  "leavingBackendServers": [ { "service": "counter", "name": "counter-1" } ] })");

} // namespace

BOOST_AUTO_TEST_SUITE(HostListCodecTest)

// Guards against members that are swapped.
BOOST_AUTO_TEST_CASE(DecodesEachMember) {
  const auto list = protocol::decodeHostList(Sample.dump());
  BOOST_REQUIRE(list.ok());
  BOOST_TEST(list->Version == 4);
  BOOST_REQUIRE(list->Hosts.size() == 1);
  const auto &host = list->Hosts.front();
  BOOST_TEST(host.Name == "sando-1");
  BOOST_TEST(host.Zone == "sando");
  BOOST_TEST(host.IsLeaving);
  BOOST_TEST(host.Addresses.Packets.Port == 21001);
  BOOST_TEST(host.Addresses.Admission.Port == 21101);
  BOOST_TEST(host.Addresses.Peer.Port == 21201);
  BOOST_TEST(host.Addresses.Operator.Port == 21301);
  BOOST_REQUIRE(list->LeavingBackendServers.size() == 1);
  BOOST_TEST(list->LeavingBackendServers.front().Name == "counter-1");
}

// Guards against a malformed list that is accepted or stops the daemon, and
// against errors that do not name the malformed member.
BOOST_AUTO_TEST_CASE(MalformedListsAreRefused) {
  for (const auto *text : {"", "[]", "{}", "{\"version\": -1}", "{\"hosts\":"})
    BOOST_TEST(!protocol::decodeHostList(text).ok());
  const auto &host = Sample["hosts"][0];
  for (const auto &[key, value] : host.items())
    for (const auto &wrong :
         {nlohmann::json(nullptr), nlohmann::json(7), nlohmann::json("")}) {
      auto list = Sample;
      list["hosts"][0][key] = wrong;
      const auto result = protocol::decodeHostList(list.dump());
      BOOST_REQUIRE(!result.ok());
      BOOST_TEST(std::string(result.status().message()).find(key) !=
                 std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
