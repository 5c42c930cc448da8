#include "Fleet/GossipCodec.h"
#include "Fleet/RegistryReader.h"
#include "UnitTests/Fleet/FleetFixture.h"
#include "UnitTests/platform/AllocationPeak.h"
#include "platform/StoreCodec.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using std::chrono::milliseconds;

namespace {

/// A page of 500 items, the most that the registry gives.
std::string pageOf(std::uint64_t first, const std::string &value) {
  std::string body = R"({"at_rev":1000000,"has_more":true,"items":[)";
  for (std::uint64_t n = first; n < first + 500; ++n)
    absl::StrAppend(&body, n == first ? "" : ",", R"({"key":"servers/i-)",
                    absl::Hex(n, absl::kZeroPad8), R"(","revision":)", n,
                    R"(,"value":")", absl::Base64Escape(value), R"("})");
  return body + "]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ViewMemoryTest)

// Guards against a list with very many entries of another writer, readable or
// not, for which a host exceeds its memory of 80 MB.
BOOST_AUTO_TEST_CASE(ManyEntriesTakeLittleMemory) {
  constexpr std::size_t MaxPeakBytes = std::size_t{32} * 1024 * 1024;
  for (const std::string value :
       {R"({"service":"press","address":"10.128.0.9:8080","zone":"sando",)"
        R"("slots":2,"state":"ready","sequence":4,"born":1769245012022})",
        R"({"service":"press"})"}) {
    const unittests::AllocationPeak peak;
    common::ManualClock clock;
    unittests::ViewFixture host;
    fleet::RegistryReader reader(host.View);
    for (std::uint64_t page = 0; page < 400; ++page) {
      const auto call = reader.nextCall(clock.now());
      BOOST_REQUIRE(call.has_value());
      const auto answer =
          platform::StoreCodec::decode(*call, pageOf(page * 500 + 1, value));
      BOOST_REQUIRE(answer.ok());
      reader.onPage(*answer, clock.now());
    }
    BOOST_TEST(peak.bytes() <= MaxPeakBytes);
    BOOST_TEST(host.View.refused() + host.View.unreadable() >= 180000U);
    // A host that starts fetches the view of this one.
    const auto snapshot = fleet::GossipCodec::encode(
        fleet::AgedSnapshot{host.View.snapshotSince(0, 0), milliseconds(0)});
    const unittests::AllocationPeak peerPeak;
    unittests::ViewFixture peer;
    const auto decoded = fleet::GossipCodec::decodeSnapshot(snapshot);
    BOOST_REQUIRE(decoded.has_value());
    peer.View.applySnapshot(decoded->View, milliseconds(0), clock.now());
    BOOST_TEST(peer.Directory.size() == host.Directory.size());
    BOOST_TEST(peerPeak.bytes() <= MaxPeakBytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
