#include "Coordination/Forwarding/ForwardingEngine.h"
#include "Coordination/Forwarding/FlowTag.h"
#include "ForwardingSettings.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace auburnroute::forwarding;
using state::Cause;

namespace {

const common::Endpoint Counter{CounterAddress, 7001};

struct EngineFixture {
  state::Settings Settings = makeSettings(5);
  ForwardingEngine Engine;

  void apply() { Engine.setTable(makeTable(Settings)); }
};

PacketSummary callerPacket(std::uint16_t port, std::uint32_t echo) {
  PacketSummary packet;
  packet.Source = {CallerAddress, port};
  packet.Destination = Counter;
  packet.Ack = true;
  packet.HasTimestamps = true;
  packet.TimestampEcho = echo;
  return packet;
}

PacketSummary serverPacket(std::uint16_t number, std::uint16_t port) {
  PacketSummary packet;
  packet.Source = {ServerAddress + number, BackendPort};
  packet.Destination = {CallerAddress, port};
  packet.Ack = true;
  packet.HasTimestamps = true;
  packet.TimestampValue = 1'000'003;
  return packet;
}

PacketSummary syn(std::uint16_t port) {
  auto packet = callerPacket(port, 0);
  packet.Syn = true;
  packet.Ack = false;
  return packet;
}

Cause dropCause(const Outcome &outcome) {
  const auto *drop = std::get_if<Drop>(&outcome);
  return drop == nullptr ? Cause::None : drop->Why;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForwardingEngineTest, EngineFixture)

BOOST_AUTO_TEST_CASE(PacketFollowsItsTag) {
  apply();
  for (std::uint16_t n = 1; n <= 5; ++n) {
    const auto reply = std::get<ForwardToCaller>(
        Engine.onBackendServerPacket(serverPacket(n, 40000)));
    BOOST_TEST((reply.Source == Counter));
    const auto forward = std::get<ForwardToBackendServer>(
        Engine.onCallerPacket(callerPacket(40000, reply.TimestampValue)));
    BOOST_TEST(forward.Destination.Address == ServerAddress + n);
    BOOST_TEST(forward.TimestampEcho == 1'000'003U);
  }
}

// Guards against treating a tagged value of 0 as a missing tag, which would
// drop the flow's packets while the value is 0.
BOOST_AUTO_TEST_CASE(TaggedValueOfZeroIsATag) {
  apply();
  std::uint16_t port = 1;
  while (FlowTag::encode({{CallerAddress, port}, Counter}, 3, 7321) != 0)
    ++port;
  const auto outcome = Engine.onCallerPacket(callerPacket(port, 0));
  BOOST_REQUIRE(std::holds_alternative<ForwardToBackendServer>(outcome));
  BOOST_TEST(std::get<ForwardToBackendServer>(outcome).Destination.Address ==
             ServerAddress + 3);
  auto reset = callerPacket(port, 0);
  reset.Ack = false;
  reset.Rst = true;
  BOOST_TEST((dropCause(Engine.onCallerPacket(reset)) == Cause::MissingTag));
}

// Guards against a wrong echo after a start: the upper bits are unknown until a
// packet of the server is seen. TCP stacks ignore an echo of 0.
BOOST_AUTO_TEST_CASE(EchoIsZeroUntilAServerTimestampWasSeen) {
  apply();
  const FlowKey key{{CallerAddress, 40000}, Counter};
  const auto echo =
      FlowTag::tagValue(0x12345678, FlowTag::encode(key, 2, 7321));
  const auto forward = std::get<ForwardToBackendServer>(
      Engine.onCallerPacket(callerPacket(40000, echo)));
  BOOST_TEST(forward.TimestampEcho == 0U);
}

// Guards against applying a placement that was decided under an earlier
// revision, in which the service had another index.
BOOST_AUTO_TEST_CASE(SynIsNotForwardedToAnotherService) {
  apply();
  BOOST_TEST(std::holds_alternative<ForwardToBackendServer>(
      Engine.forwardSyn(0, 1, syn(40000))));
  BOOST_TEST((dropCause(Engine.forwardSyn(1, 1, syn(40000))) ==
              Cause::UnknownAddress));
}

// Guards against a crash of a host that has no settings yet.
BOOST_AUTO_TEST_CASE(NothingIsForwardedWithoutSettings) {
  BOOST_TEST(
      (dropCause(Engine.forwardSyn(0, 1, syn(40000))) == Cause::NoSettings));
  BOOST_TEST(
      (dropCause(Engine.onCallerPacket(syn(40000))) == Cause::NoSettings));
}

// Guards against a spoofed SYN that makes two services talk to each other.
BOOST_AUTO_TEST_CASE(SynFromAServiceAddressIsDropped) {
  apply();
  auto packet = syn(7001);
  packet.Source = {CatalogueAddress, 7001};
  BOOST_TEST((dropCause(Engine.onCallerPacket(packet)) == Cause::BadHeader));
}

// Guards against segments that only the other side may send.
BOOST_AUTO_TEST_CASE(HandshakeSegmentsFromTheWrongSideAreDropped) {
  apply();
  auto packet = callerPacket(40000, 77);
  packet.SynAck = true;
  BOOST_TEST((dropCause(Engine.onCallerPacket(packet)) == Cause::BadHeader));
  auto reply = serverPacket(1, 40000);
  reply.Syn = true;
  BOOST_TEST(
      (dropCause(Engine.onBackendServerPacket(reply)) == Cause::BadHeader));
}

// Guards against establishing a flow that cannot carry a tag: all packets that
// the caller then sends would be dropped.
BOOST_AUTO_TEST_CASE(SynAckWithoutTimestampsIsDropped) {
  apply();
  auto reply = serverPacket(1, 40000);
  reply.SynAck = true;
  reply.HasTimestamps = false;
  BOOST_TEST((dropCause(Engine.onBackendServerPacket(reply)) ==
              Cause::MissingTimestamps));
}

// Guards against using a backend server whose address is in two services: its
// replies would be sent from the address of the service that was read last.
BOOST_AUTO_TEST_CASE(AmbiguousBackendServerIsNotUsed) {
  Settings.Services[1].BackendServers[0].Address = ServerAddress + 2;
  apply();
  BOOST_TEST((dropCause(Engine.onBackendServerPacket(serverPacket(2, 40000))) ==
              Cause::UnknownSource));
  BOOST_TEST(std::holds_alternative<ForwardToCaller>(
      Engine.onBackendServerPacket(serverPacket(1, 40000))));
}

// Guards against forwarding to an address that is configured in two services.
BOOST_AUTO_TEST_CASE(AmbiguousListenerIsNotUsed) {
  Settings.Services[1].Listeners[0].Address = Counter;
  apply();
  BOOST_TEST(
      (dropCause(Engine.onCallerPacket(syn(40000))) == Cause::UnknownAddress));
}

// Guards against forwarding a reset without a tag to an arbitrary server. TCP
// stacks send such resets for unknown flows.
BOOST_AUTO_TEST_CASE(ResetWithoutTimestampsFollowsTheMode) {
  apply();
  auto reset = callerPacket(40000, 0);
  reset.HasTimestamps = reset.Ack = false;
  reset.Rst = true;
  BOOST_TEST((dropCause(Engine.onCallerPacket(reset)) == Cause::MissingTag));
  Settings.Services[0].PolicyByZone[0].Timestamps = state::TimestampMode::Hash;
  apply();
  const auto forward =
      std::get<ForwardToBackendServer>(Engine.onCallerPacket(reset));
  BOOST_TEST(forward.EndsFlow);
  auto data = reset;
  data.Rst = false;
  data.Ack = true;
  BOOST_TEST(forward.BackendServer ==
             std::get<ForwardToBackendServer>(Engine.onCallerPacket(data))
                 .BackendServer);
}

BOOST_AUTO_TEST_SUITE_END()
