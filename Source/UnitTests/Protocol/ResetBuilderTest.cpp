#include "Protocol/ResetBuilder.h"
#include "Protocol/PacketBuilder.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using protocol::PacketView;

BOOST_AUTO_TEST_SUITE(ResetBuilderTest)

// Guards against a reset that the caller's TCP ignores (wrong acknowledgement
// number), or that could end an established flow (sequence number not 0).
BOOST_AUTO_TEST_CASE(ResetAcknowledgesTheSyn) {
  auto syn = protocol::buildPacket({{0xCB007105, 40000},
                                    {0xC6336401, 7001},
                                    PacketView::SynFlag,
                                    0xFFFFFFFF,
                                    0,
                                    protocol::Timestamps{11, 0},
                                    {}});
  PacketView view;
  BOOST_REQUIRE((view.parse(syn) == state::Cause::None));
  auto reset = protocol::ResetBuilder::build(view);
  PacketView answer;
  BOOST_REQUIRE((answer.parse(reset) == state::Cause::None));
  BOOST_TEST(answer.hasValidChecksums());
  BOOST_TEST((answer.source() == view.destination()));
  BOOST_TEST((answer.destination() == view.source()));
  BOOST_TEST(answer.isRst());
  BOOST_TEST(answer.hasFlag(PacketView::AckFlag));
  BOOST_TEST(answer.sequence() == 0U);
  BOOST_TEST(answer.acknowledgement() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
