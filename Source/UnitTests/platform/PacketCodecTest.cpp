#include "platform/PacketCodec.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <random>
#include <vector>

using namespace auburnroute;
using platform::PacketCodec;

namespace {

std::vector<std::byte> bytesOf(std::initializer_list<int> values) {
  std::vector<std::byte> bytes;
  for (const auto it : values)
    bytes.push_back(static_cast<std::byte>(it));
  return bytes;
}

/// The example SYN of the platform's documentation.
std::vector<std::byte> exampleSyn() {
  return bytesOf({0xa1, 0xb2, 0xc3, 0xd5, 0x08, 0x11, 0x22, 0x33,
                  0x44, 0x00, 0x00, 0x00, 0x00, 0x9c, 0x41, 0x64,
                  0x40, 0x00, 0x07, 0x01, 0xbb, 0xc6, 0x12, 0x00,
                  0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00});
}

} // namespace

BOOST_AUTO_TEST_SUITE(PacketCodecTest)

// Guards against a header layout that differs from the platform's.
BOOST_AUTO_TEST_CASE(ExampleSynIsDecoded) {
  const auto packet = PacketCodec::decode(exampleSyn());
  BOOST_REQUIRE(packet.has_value());
  BOOST_TEST(packet->Syn);
  BOOST_TEST(!packet->Ack);
  BOOST_TEST(packet->Sequence == 0x11223344U);
  BOOST_TEST(common::toString(packet->Source) == "100.64.0.7:40001");
  BOOST_TEST(common::toString(packet->Destination) == "198.18.0.1:443");
}

BOOST_AUTO_TEST_CASE(ResetOfExampleSynMatchesBytes) {
  const auto reset = PacketCodec::makeReset(*PacketCodec::decode(exampleSyn()));
  const auto expected =
      bytesOf({0x00, 0x00, 0x00, 0x00, 0x04, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
               0x00, 0x00, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x64,
               0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00});
  BOOST_TEST((std::vector(reset.begin(), reset.end()) == expected));
}

// Guards against a reset outside of the client's receive window, which the
// client ignores.
BOOST_AUTO_TEST_CASE(ResetOfOpenFlowHasExpectedSequenceNumber) {
  auto packet = *PacketCodec::decode(exampleSyn());
  packet.Syn = false;
  packet.Acknowledgement = 0x01020304;
  const auto reset = PacketCodec::makeReset(packet);
  BOOST_TEST(PacketCodec::decode(reset)->Sequence == 0x01020304U);
}

BOOST_AUTO_TEST_CASE(WriteEchoChangesOnlyTheEchoField) {
  const auto before = exampleSyn();
  auto after = before;
  PacketCodec::writeEcho(after, 0xdeadbeef);
  BOOST_TEST(PacketCodec::decode(after)->Echo == 0xdeadbeefU);
  for (std::size_t i = 0; i < before.size(); ++i)
    BOOST_TEST(((i >= 25 && i < 29) || before[i] == after[i]));
}

BOOST_AUTO_TEST_CASE(IdentityPrefixIsBigEndian) {
  const auto prefix = PacketCodec::identityPrefix(0x7f3a91c2);
  const auto expected = bytesOf({0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2});
  BOOST_TEST((std::vector(prefix.begin(), prefix.end()) == expected));
}

// Guards against datagrams that are truncated, too long or have a wrong length
// field.
BOOST_AUTO_TEST_CASE(MalformedDatagramsAreRejected) {
  auto syn = exampleSyn();
  for (std::size_t n = 0; n < syn.size(); ++n)
    BOOST_TEST(!PacketCodec::decode(std::span(syn).first(n)).has_value());
  syn[30] = std::byte{1};
  BOOST_TEST(!PacketCodec::decode(syn).has_value());
  syn.resize(PacketCodec::HeaderSize + 1201);
  syn[29] = std::byte{0x04};
  syn[30] = std::byte{0xb1};
  BOOST_TEST(!PacketCodec::decode(syn).has_value());
  for (const auto seed : unittests::seeds({1, 2})) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 20000; ++i) {
      std::vector<std::byte> bytes(random() % 80);
      for (auto &it : bytes)
        it = static_cast<std::byte>(random());
      if (const auto packet = PacketCodec::decode(bytes))
        BOOST_TEST(packet->PayloadSize + PacketCodec::HeaderSize ==
                   bytes.size());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
