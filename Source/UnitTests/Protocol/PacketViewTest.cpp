#include "Protocol/PacketView.h"
#include "Protocol/PacketBuilder.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace auburnroute;

namespace {

std::vector<std::byte> samplePacket() {
  static constexpr std::array<std::byte, 3> Payload{
      std::byte{'a'}, std::byte{'b'}, std::byte{'c'}};
  return protocol::buildPacket({{0xCB007105, 40000},
                                {0xC6336401, 7001},
                                protocol::PacketView::AckFlag,
                                100,
                                200,
                                protocol::Timestamps{11, 22},
                                Payload});
}

} // namespace

BOOST_AUTO_TEST_SUITE(PacketViewTest)

// Guards against a wrong incremental checksum, which endpoints would drop.
BOOST_AUTO_TEST_CASE(RewriteKeepsChecksumsValid) {
  auto buf = samplePacket();
  protocol::PacketView view;
  BOOST_REQUIRE(view.parse(buf) == state::Cause::None);
  BOOST_TEST(view.checksumsValid());
  view.setDestination({0xC000020B, 9001});
  view.setSource({0x01020304, 1});
  view.setTimestampEcho(0xFFFFFFFF);
  view.setTimestampValue(0);
  BOOST_TEST(view.checksumsValid());
  BOOST_TEST(view.timestampEcho() == 0xFFFFFFFF);
  BOOST_TEST(view.destination().Port == 9001);
  BOOST_TEST(view.payloadSize() == 3);
}

// Guards against reads past the end of a packet that was cut short.
BOOST_AUTO_TEST_CASE(TruncatedPacketsAreRefused) {
  const auto whole = samplePacket();
  for (std::size_t n = 0; n < whole.size(); ++n) {
    std::vector<std::byte> buf(whole.begin(),
                               whole.begin() + static_cast<std::ptrdiff_t>(n));
    protocol::PacketView view;
    BOOST_TEST((view.parse(buf) != state::Cause::None));
  }
}

BOOST_AUTO_TEST_SUITE_END()
