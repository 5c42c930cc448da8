#include "Coordination/Forwarding/SynRing.h"

#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstring>

using namespace auburnroute;
using namespace std::chrono_literals;
using forwarding::FlowKey;
using forwarding::SynRing;

namespace {

constexpr common::Endpoint Lost{0x7F000001, 21101};
constexpr common::Endpoint Other{0x7F000001, 21102};
constexpr common::Endpoint Service{0xC6336401, 7002};

struct RingFixture {
  common::ManualClock Clock;
  SynRing Ring;

  static FlowKey keyOf(std::uint32_t n) {
    return {{0xCB007100 + n / 50000, static_cast<std::uint16_t>(n % 50000 + 1)},
            Service};
  }
  void add(std::uint32_t n, common::Endpoint owner = Lost) {
    std::array<std::byte, 60> syn{};
    std::memcpy(syn.data(), &n, sizeof(n));
    Ring.add(Clock.now(), owner, keyOf(n), syn);
  }
  std::vector<std::uint32_t> take(common::Endpoint owner = Lost) {
    std::vector<std::uint32_t> taken;
    Ring.take(Clock.now(), owner, Service, [&](std::span<const std::byte> syn) {
      BOOST_TEST(syn.size() == 60U);
      std::memcpy(&taken.emplace_back(), syn.data(), sizeof(std::uint32_t));
    });
    return taken;
  }
};

using Numbers = std::vector<std::uint32_t>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(SynRingTest, RingFixture)

// Guards against handing over SYNs again out of order, more than once, or
// although they went to another owner.
BOOST_AUTO_TEST_CASE(TakesSynsOfTheLostOwnerOnce) {
  add(1);
  add(2, Other);
  add(3);
  add(4);
  BOOST_TEST(take() == (Numbers{1, 3, 4}));
  BOOST_TEST(take().empty());
  BOOST_TEST(take(Other) == (Numbers{2}));
  // A SYN that the caller's TCP has repeated is kept only once.
  add(5);
  add(6);
  add(5);
  BOOST_TEST(take() == (Numbers{6, 5}));
}

// Guards against handing over SYNs again that the caller's TCP has repeated.
BOOST_AUTO_TEST_CASE(LeavesOutOldSyns) {
  add(1);
  Clock.advance(600ms);
  add(2);
  Clock.advance(400ms);
  BOOST_TEST(take() == (Numbers{2}));
}

// Guards against placing flows twice, which occupies a second slot.
BOOST_AUTO_TEST_CASE(LeavesOutPlacedSyns) {
  for (std::uint32_t n = 1; n <= 6; ++n)
    add(n);
  Ring.onPlaced(keyOf(3));
  Ring.onPlaced(keyOf(99));
  add(7, Other);
  Ring.onPlaced(keyOf(7));
  BOOST_TEST(take() == (Numbers{4, 5, 6}));
}

// Guards against unbounded memory and against index entries that refer to
// overwritten SYNs.
BOOST_AUTO_TEST_CASE(OverwritesTheOldest) {
  constexpr std::uint32_t Added = 3 * SynRing::Capacity + 7;
  for (std::uint32_t n = 0; n < Added; ++n)
    add(n);
  Ring.onPlaced(keyOf(5));
  const auto taken = take();
  BOOST_TEST(taken.size() == SynRing::Capacity);
  BOOST_TEST(taken.front() == Added - SynRing::Capacity);
  BOOST_TEST(std::is_sorted(taken.begin(), taken.end()));
  const std::array<std::byte, SynRing::MaxSynBytes + 1> tooLong{};
  Ring.add(Clock.now(), Lost, keyOf(1), tooLong);
  add(2);
  Ring.clear();
  BOOST_TEST(take().empty());
}

BOOST_AUTO_TEST_SUITE_END()
