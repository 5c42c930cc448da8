#include "Protocol/PacketRewriter.h"
#include "Protocol/PacketBuilder.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using protocol::PacketRewriter;

BOOST_AUTO_TEST_SUITE(PacketRewriterTest)

// Guards against a packet that loops between hosts and the fabric without end.
BOOST_AUTO_TEST_CASE(RewriteFailsWhenTimeToLiveRunsOut) {
  auto buf = protocol::buildPacket({{0xCB007105, 40000},
                                    {0xC6336401, 7001},
                                    protocol::PacketView::AckFlag,
                                    1,
                                    2,
                                    protocol::Timestamps{11, 22},
                                    {}});
  protocol::PacketView view;
  BOOST_REQUIRE((view.parse(buf) == state::Cause::None));
  forwarding::ForwardToBackendServer forward;
  forward.Destination = {0xC000020B, 9001};
  forward.TimestampEcho = 33;
  int hops = 0;
  while (hops < 100 &&
         PacketRewriter::apply(forward, view) == state::Cause::None) {
    BOOST_TEST(view.hasValidChecksums());
    ++hops;
  }
  BOOST_TEST(hops == 63);
  BOOST_TEST(PacketRewriter::summarise(view).TimestampEcho == 33U);
}

BOOST_AUTO_TEST_SUITE_END()
