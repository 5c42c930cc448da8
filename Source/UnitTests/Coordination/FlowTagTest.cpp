#include "Coordination/FlowTag.h"

#include <boost/test/unit_test.hpp>

#include <array>

using auburnroute::coordination::FlowKey;
using auburnroute::coordination::FlowTag;

namespace {

// Around each place where a kept or dropped bit field wraps.
constexpr std::array<std::uint32_t, 8> Edges{0,          1U << 4,    1U << 23,
                                             1U << 24,   0x7F800000, 0x80000000,
                                             0xFF000000, 0xFF800000};

} // namespace

BOOST_AUTO_TEST_SUITE(FlowTagTest)

// Guards against a wrap that puts the restored echo a span away.
BOOST_AUTO_TEST_CASE(RestoresEchoAroundEveryWrap) {
  for (const auto edge : Edges)
    for (std::int64_t offset = -70; offset <= 70; ++offset)
      for (const std::int64_t lag :
           {-8'000'000, -1'000'000, -17, -1, 0, 1, 15, 1'000'000, 8'000'000}) {
        const auto value = static_cast<std::uint32_t>(edge + offset);
        const auto last = static_cast<std::uint32_t>(edge + offset + lag);
        const auto echo = FlowTag::tagValue(value, 0xABC);
        BOOST_TEST(FlowTag::tagOf(echo) == 0xABCU);
        BOOST_TEST(FlowTag::restoreEcho(echo, last) == (value & ~0xFU));
      }
}

// Guards against a tagged value that goes back: PAWS would drop the segment.
BOOST_AUTO_TEST_CASE(TaggedValuesNeverDecrease) {
  for (const auto edge : Edges)
    for (std::int64_t offset = -70; offset <= 70; ++offset)
      for (const std::uint32_t gap :
           {0U, 1U, 15U, 16U, 5000U, (1U << 23) - 16}) {
        const auto value = static_cast<std::uint32_t>(edge + offset);
        const auto earlier = FlowTag::tagValue(value, 0xFFF);
        const auto later = FlowTag::tagValue(value + gap, 0xFFF);
        BOOST_TEST(static_cast<std::int32_t>(later - earlier) >= 0);
      }
}

BOOST_AUTO_TEST_CASE(DecodesEveryNumber) {
  const FlowKey key{{0xCB007105, 40000}, {0xC6336401, 7001}};
  for (std::uint16_t number = 1; number <= 4095; ++number)
    BOOST_TEST(FlowTag::decode(key, FlowTag::encode(key, number, 9), 9) ==
               number);
}

BOOST_AUTO_TEST_SUITE_END()
