#include "Transport/PeerLink.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace auburnroute;
using namespace std::chrono_literals;
using transport::PeerLink;

namespace {

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr std::uint16_t FirstPort = 29310;
constexpr std::uint16_t AbsentPort = 1;

// Binds a link to the first free port at or after \p port.
std::pair<PeerLink, common::Endpoint> bindFrom(std::uint16_t port) {
  for (int tries = 0; tries < 100; ++tries, ++port) {
    const common::Endpoint endpoint{Loopback, port};
    auto link = PeerLink::bind(endpoint);
    if (link.ok())
      return {*std::move(link), endpoint};
  }
  throw std::runtime_error("no free port");
}

// Polls until \p n frames have arrived, for at most 10 seconds.
std::vector<std::string> receive(PeerLink &link, std::size_t n) {
  std::vector<std::string> out;
  for (int tries = 0; tries < 200 && out.size() < n; ++tries)
    link.poll(50ms, [&](std::string_view frame) { out.emplace_back(frame); });
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerLinkTest)

// Guards against frames that are lost, damaged or reordered between two
// reachable hosts.
BOOST_AUTO_TEST_CASE(FramesArriveIntactAndInOrder) {
  auto [a, atA] = bindFrom(FirstPort);
  auto [b, atB] = bindFrom(static_cast<std::uint16_t>(atA.Port + 1));
  const std::string large(1'000'000, 'x');
  a.send(atB, "one");
  a.send(atB, std::string_view("\0\1", 2));
  a.send(atB, large);
  const auto frames = receive(b, 3);
  BOOST_REQUIRE(frames.size() == 3);
  BOOST_TEST(frames[0] == "one");
  BOOST_TEST(frames[1].size() == 2);
  BOOST_TEST((frames[2] == large));
  b.send(atA, "back");
  BOOST_TEST(receive(a, 1).size() == 1);
  BOOST_TEST(a.counters().FramesSent == 3);
  BOOST_TEST(a.counters().BytesSent == 5 + 4 + large.size() + 9);
  BOOST_TEST(b.counters().BytesReceived == a.counters().BytesSent);
}

// Guards against send() blocking on an unreachable host, and against queues and
// sockets that grow without limit.
BOOST_AUTO_TEST_CASE(QueueOfUnreachablePeerIsBounded) {
  auto [link, at] = bindFrom(FirstPort);
  const common::Endpoint absent{Loopback, AbsentPort};
  for (int i = 0; i < 2 * PeerLink::MaxQueuedFrames; ++i)
    link.send(absent, "frame");
  BOOST_TEST(link.counters().FramesSent == PeerLink::MaxQueuedFrames);
  BOOST_TEST(link.counters().FramesDropped == PeerLink::MaxQueuedFrames);
  for (std::uint16_t i = 1; i <= 2 * PeerLink::MaxPeerSockets; ++i)
    link.send({Loopback, static_cast<std::uint16_t>(AbsentPort + i)}, "frame");
  BOOST_TEST(link.counters().FramesDropped == PeerLink::MaxQueuedFrames);
}

// Guards against two daemons that bind the same endpoint without an error.
BOOST_AUTO_TEST_CASE(BindingAnEndpointInUseFails) {
  const auto [link, at] = bindFrom(FirstPort);
  const auto second = PeerLink::bind(at);
  BOOST_REQUIRE(!second.ok());
  BOOST_TEST(
      std::string(second.status().message()).find(common::toString(at)) !=
      std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
