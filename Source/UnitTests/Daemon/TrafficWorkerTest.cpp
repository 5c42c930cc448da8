#include "Daemon/TrafficWorker.h"

#include "Common/SystemClock.h"
#include "Coordination/Forwarding/FlowTag.h"
#include "Protocol/PacketBuilder.h"
#include "UnitTests/Coordination/Forwarding/ForwardingSettings.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace auburnroute;
using namespace std::chrono_literals;
using protocol::HandOverKind;
using protocol::PacketView;
using state::Cause;
using state::Counter;
using transport::UdpSocket;

namespace {

constexpr common::Endpoint Caller{forwarding::CallerAddress, 40000};
constexpr common::Endpoint Service{forwarding::CounterAddress, 7001};
constexpr std::uint32_t ServerTime = 6'000'000;
const std::string Key = "key-of-this-test";
using Packet = std::vector<std::byte>;

/// A UDP socket on the first free port from 24600 on.
struct TestSocket {
  common::Endpoint Address{0x7F000001, 24600};
  UdpSocket Socket = bind();

  UdpSocket bind() {
    constexpr std::uint16_t LastPort = 24699;
    for (; Address.Port <= LastPort; ++Address.Port)
      if (auto socket = UdpSocket::bind(Address, false); socket.ok())
        return *std::move(socket);
    throw std::runtime_error("no free port");
  }

  /// The next datagram; empty if none arrives within 10 s.
  Packet next() {
    for (int tries = 0; tries < 200; ++tries) {
      const auto batch = Socket.receive(50ms);
      if (batch.size() > 1)
        throw std::runtime_error("more than one datagram");
      if (!batch.empty())
        return {batch[0].Bytes.begin(), batch[0].Bytes.end()};
    }
    return {};
  }
  bool hasNoDatagram() { return Socket.receive(0ms).empty(); }
};

/// A worker on its own thread, with sockets for all endpoints that it sends to.
struct Fixture {
  Fixture() {
    auto settings = forwarding::makeSettings(2);
    auto &servers = settings.Services[0].BackendServers;
    servers[0].Tunnel = OtherServer.Address;
    servers[1].Tunnel = Server.Address;
    auto snapshot = std::make_shared<daemon::ControlSnapshot>();
    snapshot->Table = forwarding::makeTable(settings);
    snapshot->Settings =
        std::make_shared<const state::Settings>(std::move(settings));
    snapshot->AdmissionOwners = {Owner.Address, Gateway.Address};
    snapshot->RelayEndpoint = Relay.Address;
    Snapshots.publish(snapshot);
    Local.Gateway = Gateway.Address;
    Local.SharedKey = Key;
    Worker = std::make_unique<daemon::TrafficWorker>(Local, Clock, Snapshots,
                                                     std::move(Packets.Socket),
                                                     [](common::Endpoint) {});
    Thread = std::thread([this] { Worker->run(Stop); });
  }
  ~Fixture() { stop(); }

  void stop() {
    Stop = true;
    if (Thread.joinable())
      Thread.join();
  }

  void send(const Packet &packet) {
    Gateway.Socket.queue(Packets.Address, {}, packet);
    Gateway.Socket.flush();
  }

  /// Sends a tagged packet and waits for it at the backend server. The worker
  /// has then handled all packets sent before.
  Packet sendTagged(std::uint32_t echo) {
    send(callerPacket(PacketView::AckFlag, echo));
    return Server.next();
  }

  static Packet callerPacket(std::uint8_t flags, std::uint32_t echo) {
    return protocol::buildPacket(
        {Caller, Service, flags, 1, 2, protocol::Timestamps{7, echo}, {}});
  }
  static std::uint32_t echoOf(std::uint16_t number) {
    constexpr std::uint64_t FlowSeed = 7321; // As in makeSettings().
    return forwarding::FlowTag::tagValue(
        ServerTime,
        forwarding::FlowTag::encode({Caller, Service}, number, FlowSeed));
  }

  TestSocket Gateway, Server, OtherServer, Owner, Relay, Packets;
  const common::SystemClock Clock;
  daemon::SnapshotPublisher Snapshots;
  state::DaemonSettings Local;
  std::unique_ptr<daemon::TrafficWorker> Worker;
  std::atomic<bool> Stop{false};
  std::thread Thread;
};

/// Whether \p datagram is an authenticated hand-over of the unchanged
/// \p packet.
bool handsOver(Packet datagram, HandOverKind kind, const Packet &packet) {
  protocol::HandOverView view;
  const protocol::HandOverCodec codec(Key);
  return codec.decode(datagram, view) == Cause::None && view.Kind == kind &&
         Packet(view.Packet.begin(), view.Packet.end()) == packet;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(TrafficWorkerTest, Fixture)

// Guards against forwarding a tagged packet to a backend server other than the
// one whose timestamp the caller echoes, and against a rewrite that corrupts
// the packet.
BOOST_AUTO_TEST_CASE(TaggedPacketReachesTaggedServer) {
  const common::Endpoint server{forwarding::ServerAddress + 2,
                                forwarding::BackendPort};
  const protocol::Timestamps times{ServerTime, 7};
  send(protocol::buildPacket(
      {server, Caller, PacketView::AckFlag, 1, 2, times, {}}));
  auto reply = Gateway.next();
  PacketView view;
  BOOST_REQUIRE((view.parse(reply) == Cause::None));
  BOOST_TEST((view.source() == Service));
  BOOST_TEST(view.timestampValue() == echoOf(2));

  auto packet = sendTagged(view.timestampValue());
  BOOST_REQUIRE((view.parse(packet) == Cause::None));
  BOOST_TEST((view.source() == Caller));
  BOOST_TEST((view.destination() == server));
  BOOST_TEST(view.timestampEcho() == ServerTime);
  BOOST_TEST(view.hasValidChecksums());
  BOOST_TEST(OtherServer.hasNoDatagram());
  stop();
  BOOST_TEST(Worker->counters().value(Counter::CallerPackets) == 1U);
  BOOST_TEST(Worker->counters().value(Counter::BackendServerPackets) == 1U);
}

// Guards against a traffic thread that places a flow itself, and against a SYN
// that the admission owner cannot authenticate or receives twice.
BOOST_AUTO_TEST_CASE(SynIsHandedOverToAdmissionOwnerOnce) {
  const auto syn = callerPacket(PacketView::SynFlag, 0);
  send(syn);
  BOOST_TEST(handsOver(Owner.next(), HandOverKind::Syn, syn));
  BOOST_TEST(!sendTagged(echoOf(2)).empty());
  BOOST_TEST((Owner.hasNoDatagram() && Gateway.hasNoDatagram() &&
              Server.hasNoDatagram()));
  stop();
  BOOST_TEST(Worker->counters().value(Counter::HandOverPacketsSent) == 1U);
}

// Guards against a flow that stalls on a host whose settings lack its new
// backend server, and against a packet that is delivered twice.
BOOST_AUTO_TEST_CASE(UnknownTagIsRelayedOnce) {
  const auto packet = callerPacket(PacketView::AckFlag, echoOf(3));
  send(packet);
  BOOST_TEST(handsOver(Relay.next(), HandOverKind::Relay, packet));
  BOOST_TEST(!sendTagged(echoOf(2)).empty());
  BOOST_TEST((Relay.hasNoDatagram() && Server.hasNoDatagram() &&
              OtherServer.hasNoDatagram()));
  stop();
  BOOST_TEST(Worker->counters().value(Cause::UnknownTag) == 1U);
  BOOST_TEST(Worker->counters().value(Counter::CallerPackets) == 1U);
}

// Guards against a malformed packet that is forwarded or stops the thread.
BOOST_AUTO_TEST_CASE(MalformedPacketsAreDroppedAndCounted) {
  send(Packet(3, std::byte{0xFF}));
  send(Packet(60, std::byte{0x60})); // IPv6.
  BOOST_TEST(!sendTagged(echoOf(2)).empty());
  for (auto *it : {&Gateway, &Server, &OtherServer, &Owner, &Relay})
    BOOST_TEST(it->hasNoDatagram());
  stop();
  BOOST_TEST(Worker->counters().value(Cause::Truncated) == 1U);
  BOOST_TEST(Worker->counters().value(Cause::NotIpv4) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
