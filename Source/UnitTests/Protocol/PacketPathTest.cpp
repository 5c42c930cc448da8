#include "Bench/PacketPathCounters.h"
#include "Coordination/Forwarding/ForwardingEngine.h"
#include "Protocol/PacketBuilder.h"
#include "Protocol/PacketRewriter.h"
#include "UnitTests/Coordination/Forwarding/ForwardingSettings.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace auburnroute;
using namespace auburnroute::forwarding;
using protocol::PacketRewriter;
using protocol::PacketView;

namespace {

std::vector<std::byte> packetOf(common::Endpoint source,
                                common::Endpoint destination,
                                protocol::Timestamps times) {
  return protocol::buildPacket(
      {source, destination, PacketView::AckFlag, 1, 2, times, {}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(PacketPathTest)

// Guards against counters that stay at zero, with which the next test would
// always pass.
BOOST_AUTO_TEST_CASE(CountersSeeLocksAndAllocations) {
  const auto before = bench::Counters;
  std::mutex mutex;
  const std::lock_guard guard(mutex);
  const std::vector<int> memory(1000);
  BOOST_TEST(bench::Counters.Locks > before.Locks);
  BOOST_TEST(bench::Counters.Allocations > before.Allocations);
  BOOST_TEST(bench::Counters.AllocatedBytes >=
             before.AllocatedBytes + memory.size() * sizeof(int));
}

// Guards against a lock or an allocation when forwarding a packet, in both
// directions and with or without a tag.
BOOST_AUTO_TEST_CASE(PacketPathTakesNoLockAndAllocatesNothing) {
  auto settings = makeSettings(9);
  settings.Services[1].PolicyByZone[0].Timestamps = state::TimestampMode::Hash;
  ForwardingEngine engine;
  engine.setTable(makeTable(settings));
  const common::Endpoint caller{CallerAddress, 40000};
  const common::Endpoint service{CounterAddress, 7001};
  auto reply = packetOf({ServerAddress + 3, BackendPort}, caller, {500, 7});
  PacketView view;
  BOOST_REQUIRE((view.parse(reply) == state::Cause::None));
  const auto before = bench::Counters;
  const auto toCaller = std::get<ForwardToCaller>(
      engine.onBackendServerPacket(PacketRewriter::summarise(view)));
  PacketRewriter::apply(toCaller, view);
  const auto afterReply = bench::Counters;
  auto packet = packetOf(caller, service, {7, view.timestampValue()});
  auto untagged = protocol::buildPacket(
      {caller, {CatalogueAddress, 7001}, PacketView::AckFlag, 1, 2, {}, {}});
  const auto beforePacket = bench::Counters;
  int forwarded = 0;
  for (auto *buf : {&packet, &untagged}) {
    PacketView it;
    BOOST_REQUIRE((it.parse(*buf) == state::Cause::None));
    const auto outcome = engine.onCallerPacket(PacketRewriter::summarise(it));
    if (const auto *to = std::get_if<ForwardToBackendServer>(&outcome))
      forwarded += PacketRewriter::apply(*to, it) == state::Cause::None;
  }
  const auto after = bench::Counters;
  BOOST_TEST(forwarded == 2);
  BOOST_TEST(afterReply.Allocations == before.Allocations);
  BOOST_TEST(afterReply.Locks == before.Locks);
  BOOST_TEST(after.Allocations == beforePacket.Allocations);
  BOOST_TEST(after.Locks == beforePacket.Locks);
}

BOOST_AUTO_TEST_SUITE_END()
