#include "Protocol/PacketView.h"
#include "Protocol/PacketBuilder.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <random>
#include <sstream>

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

state::Cause parseSegment(std::uint8_t flags, std::size_t payload) {
  const std::vector<std::byte> data(payload);
  auto buf = protocol::buildPacket({{0xCB007105, 40000},
                                    {0xC6336401, 7001},
                                    flags,
                                    100,
                                    200,
                                    protocol::Timestamps{11, 22},
                                    data});
  protocol::PacketView view;
  return view.parse(buf);
}

/// Parses the sample packet with its 12 bytes of options replaced.
state::Cause parseOptions(const std::array<unsigned char, 12> &options) {
  auto buf = samplePacket();
  for (std::size_t i = 0; i < options.size(); ++i)
    buf[40 + i] = static_cast<std::byte>(options[i]);
  protocol::PacketView view;
  return view.parse(buf);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PacketViewTest)

// Guards against a wrong incremental checksum update, after which the endpoint
// discards the packet.
BOOST_AUTO_TEST_CASE(RewriteKeepsChecksumsValid) {
  auto buf = samplePacket();
  protocol::PacketView view;
  BOOST_REQUIRE(view.parse(buf) == state::Cause::None);
  BOOST_TEST(view.hasValidChecksums());
  view.setDestination({0xC000020B, 9001});
  view.setSource({0x01020304, 1});
  view.setTimestampEcho(0xFFFFFFFF);
  view.setTimestampValue(0);
  BOOST_TEST(view.hasValidChecksums());
  BOOST_TEST(view.timestampEcho() == 0xFFFFFFFF);
  BOOST_TEST(view.destination().Port == 9001);
  BOOST_TEST(view.payloadSize() == 3);
}

// Guards against reads past the end of a truncated packet.
BOOST_AUTO_TEST_CASE(TruncatedPacketsAreRefused) {
  const auto whole = samplePacket();
  for (std::size_t n = 0; n < whole.size(); ++n) {
    std::vector<std::byte> buf(whole.begin(),
                               whole.begin() + static_cast<std::ptrdiff_t>(n));
    protocol::PacketView view;
    BOOST_TEST((view.parse(buf) != state::Cause::None));
  }
}

// Guards against flag combinations that endpoints and hosts interpret
// differently: a SYN with FIN or RST, or a segment without SYN, ACK and RST.
BOOST_AUTO_TEST_CASE(ContradictoryFlagsAreMalformed) {
  using V = protocol::PacketView;
  BOOST_TEST((parseSegment(V::SynFlag, 0) == state::Cause::None));
  BOOST_TEST((parseSegment(V::RstFlag, 0) == state::Cause::None));
  for (const int flags : {V::SynFlag | V::FinFlag, V::SynFlag | V::RstFlag,
                          V::SynFlag | V::AckFlag | V::RstFlag, 0 | V::FinFlag,
                          0 | V::PshFlag, 0})
    BOOST_TEST((parseSegment(static_cast<std::uint8_t>(flags), 0) ==
                state::Cause::BadHeader),
               "flags " << flags);
}

// Guards against a request that is executed twice: two copies of a SYN may be
// placed on different backend servers, and payload on the SYN (TCP Fast Open)
// would be executed on both before the handshake selects one.
BOOST_AUTO_TEST_CASE(SynWithPayloadIsMalformed) {
  BOOST_TEST((parseSegment(protocol::PacketView::SynFlag, 5) ==
              state::Cause::BadHeader));
}

// Guards against option lists that the backend server interprets differently.
BOOST_AUTO_TEST_CASE(BadOptionListsAreMalformed) {
  const auto bad = state::Cause::BadHeader;
  BOOST_TEST((parseOptions({1, 1, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0}) == bad));
  BOOST_TEST((parseOptions({1, 1, 3, 1, 0, 0, 0, 0, 0, 0, 0, 0}) == bad));
  BOOST_TEST((parseOptions({1, 1, 8, 11, 0, 0, 0, 0, 0, 0, 0, 0}) == bad));
  BOOST_TEST((parseOptions({1, 1, 8, 9, 0, 0, 0, 0, 0, 0, 0, 0}) == bad));
  BOOST_TEST((parseOptions({1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 8}) == bad));
  BOOST_TEST((parseOptions({0, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9}) ==
              state::Cause::None));
}

// Guards against a second timestamps option, which would escape the rewrite:
// TCP stacks use the last one.
BOOST_AUTO_TEST_CASE(SecondTimestampsOptionIsMalformed) {
  auto buf = samplePacket();
  std::vector<std::byte> option(buf.begin() + 40, buf.begin() + 52);
  buf.insert(buf.begin() + 52, option.begin(), option.end());
  buf[3] = static_cast<std::byte>(buf.size());
  buf[32] = std::byte{0xB0}; // 44 bytes of TCP header.
  protocol::PacketView view;
  BOOST_TEST((view.parse(buf) == state::Cause::BadHeader));
}

// Guards against a rewrite that makes the checksum of a corrupted packet valid.
BOOST_AUTO_TEST_CASE(WrongChecksumStaysWrong) {
  auto buf = samplePacket();
  buf.back() ^= std::byte{1};
  protocol::PacketView view;
  BOOST_REQUIRE((view.parse(buf) == state::Cause::None));
  view.setDestination({0xC000020B, 9001});
  view.setTimestampEcho(0x12345678);
  BOOST_TEST(!view.hasValidChecksums());
}

// Guards against reads past the buffer for any header fields. The buffers have
// the exact size, so that a sanitizer detects such a read.
BOOST_AUTO_TEST_CASE(RandomBytesAreParsedWithinTheBuffer) {
  const char *given = std::getenv("AUBURN_TEST_SEEDS");
  std::istringstream seeds(given != nullptr ? given : "1 2 3");
  for (std::uint32_t seed = 0; seeds >> seed;) {
    std::mt19937 random(seed);
    for (int i = 0; i < 20000; ++i) {
      auto buf = samplePacket();
      for (int n = 0; n < 3; ++n)
        buf[random() % buf.size()] = static_cast<std::byte>(random());
      buf.resize(random() % (buf.size() + 1));
      buf.shrink_to_fit();
      protocol::PacketView view;
      if (view.parse(buf) != state::Cause::None)
        continue;
      BOOST_REQUIRE(view.bytes().size() <= buf.size());
      BOOST_REQUIRE(view.payload().size() <= buf.size());
      const bool valid = view.hasValidChecksums();
      view.setSource({1, 2});
      if (view.hasTimestamps())
        view.setTimestampEcho(view.timestampValue());
      BOOST_REQUIRE(view.hasValidChecksums() == valid);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
