#include "Coordination/Forwarding/FlowTag.h"

#include <boost/test/unit_test.hpp>

#include <array>

using auburnroute::forwarding::FlowKey;
using auburnroute::forwarding::FlowTag;

namespace {

constexpr std::uint64_t Seed = 9;
const FlowKey Key{{0xCB007105, 40000}, {0xC6336401, 7001}};

// Values around which a kept or dropped bit field wraps.
constexpr std::array<std::uint32_t, 9> WrapPoints{
    0,          1U << 4,    1U << 5,    1U << 23,  1U << 24,
    0x7F800000, 0x80000000, 0xFF000000, 0xFF800000};

// The first and last number of each layout, with its time unit in ms.
constexpr std::array<std::pair<std::uint16_t, std::uint32_t>, 4> Numbers{
    {{1, 1}, {127, 1}, {128, 32}, {4095, 32}}};

} // namespace

BOOST_AUTO_TEST_SUITE(FlowTagTest)

// Guards against an echo that is restored one span (2^24 ms) off near a wrap,
// and against an inexact echo, with which strict stacks do not complete the
// handshake.
BOOST_AUTO_TEST_CASE(RestoresEchoAroundEveryWrap) {
  for (const auto &[number, step] : Numbers)
    for (const auto wrapPoint : WrapPoints)
      for (std::int64_t offset = -70; offset <= 70; ++offset)
        for (const std::int64_t lag : {-8'000'000, -1'000'000, -17, -1, 0, 1,
                                       15, 1'000'000, 8'000'000}) {
          const auto tag = FlowTag::encode(Key, number, Seed);
          const auto value = static_cast<std::uint32_t>(wrapPoint + offset);
          const auto last =
              static_cast<std::uint32_t>(wrapPoint + offset + lag);
          const auto echo = FlowTag::tagValue(value, tag);
          BOOST_TEST(FlowTag::tagOf(echo) == tag);
          BOOST_TEST(FlowTag::restoreEcho(echo, last) == (value & ~(step - 1)));
        }
}

// Guards against tagged values that decrease: PAWS would drop the segment.
BOOST_AUTO_TEST_CASE(TaggedValuesNeverDecrease) {
  for (const auto &[number, step] : Numbers)
    for (const auto wrapPoint : WrapPoints)
      for (std::int64_t offset = -70; offset <= 70; ++offset)
        for (const std::uint32_t gap :
             {0U, 1U, 15U, 16U, 5000U, (1U << 23) - step}) {
          const auto tag = FlowTag::encode(Key, number, Seed);
          const auto value = static_cast<std::uint32_t>(wrapPoint + offset);
          const auto earlier = FlowTag::tagValue(value, tag);
          const auto later = FlowTag::tagValue(value + gap, tag);
          BOOST_TEST(static_cast<std::int32_t>(later - earlier) >= 0);
        }
}

BOOST_AUTO_TEST_CASE(DecodesEveryNumber) {
  for (std::uint16_t number = 1; number <= 4095; ++number)
    BOOST_TEST(FlowTag::decode(Key, FlowTag::encode(Key, number, Seed), Seed) ==
               number);
}

// Guards against accepting forged tags: a low number in the wide layout.
BOOST_AUTO_TEST_CASE(NumberInTheWrongLayoutIsRejected) {
  const auto wide = FlowTag::encode(Key, 128, Seed);
  const auto low = wide ^ ((128U ^ 5U) << 1);
  BOOST_TEST(FlowTag::decode(Key, low, Seed) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
