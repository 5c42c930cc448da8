#include "Protocol/PeerCodec.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace auburnroute;
using namespace messages;

using protocol::PeerCodec;
using protocol::PeerRefusalReason;

namespace {

const state::HostAddresses Addresses{{0x7F000001, 21001},
                                     {0x7F000001, 21101},
                                     {0x7F000001, 21201},
                                     {0xFFFFFFFF, 65535}};

PeerMessage heartbeat(std::uint64_t sequence, std::uint64_t incarnation = 1) {
  Heartbeat body{state::HostState::Live,
                 {7, ~0ULL},
                 3,
                 99,
                 0xFFFFFFFF,
                 true,
                 true,
                 Introduction{"zone", Addresses},
                 {}};
  body.Updates.push_back(
      {"other", 5, 6, state::HostState::Suspect, true, Addresses});
  return {"host", incarnation, sequence, body};
}

std::string encoded(const PeerCodec &codec, const PeerMessage &message) {
  return codec.encode(message).value();
}

bool isRefused(PeerCodec &codec, std::string_view frame,
               PeerRefusalReason reason) {
  const auto decoded = codec.decode(frame);
  const auto *it = std::get_if<PeerRefusalReason>(&decoded);
  return it != nullptr && *it == reason;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerCodecTest)

// Guards against fields that are lost or swapped by encoding or decoding.
BOOST_AUTO_TEST_CASE(MessagesRoundTrip) {
  PeerCodec codec("key");
  const common::WallTime time(std::chrono::milliseconds(1'750'000'000'123));
  const state::CauseEntry entry{
      {"origin", 2, 3, state::Cause::HostDead, "service", 4, "subject"},
      5,
      time,
      time + std::chrono::milliseconds(1)};
  const PeerMessage messages[] = {
      heartbeat(1),
      {"host", 1, 2, SettingsRequest{{8, 9}}},
      {"host", 1, 3, SettingsReply{{8, 9}, {7, 6}, "{\"a\":1}"}},
      {"host", 1, 4, CauseBatch{{entry, entry}}}};
  for (const auto &it : messages) {
    const auto decoded = codec.decode(encoded(codec, it));
    BOOST_REQUIRE(std::holds_alternative<PeerMessage>(decoded));
    BOOST_TEST((std::get<PeerMessage>(decoded) == it));
  }
}

// Guards against accepting forged, corrupted, replayed or reordered frames.
BOOST_AUTO_TEST_CASE(BadFramesAreRefused) {
  PeerCodec codec("key");
  const auto good = encoded(codec, heartbeat(5));
  for (std::size_t i = 0; i < good.size(); ++i) {
    auto frame = good;
    frame[i] = static_cast<char>(frame[i] ^ 1);
    BOOST_TEST(isRefused(codec, frame, PeerRefusalReason::WrongKey));
  }
  BOOST_TEST(isRefused(codec, encoded(PeerCodec("other"), heartbeat(5)),
                       PeerRefusalReason::WrongKey));
  BOOST_TEST(isRefused(codec, good.substr(0, PeerCodec::MacBytes),
                       PeerRefusalReason::Malformed));
  BOOST_TEST(isRefused(codec, std::string(PeerCodec::MaxFrameBytes + 1, 'x'),
                       PeerRefusalReason::Oversized));
  const PeerMessage unknownSender{"stranger", 1, 1, SettingsRequest{}};
  BOOST_TEST(isRefused(codec, encoded(codec, unknownSender),
                       PeerRefusalReason::UnknownSender));
  BOOST_TEST(!isRefused(codec, good, PeerRefusalReason::OldSequence));
  BOOST_TEST(isRefused(codec, good, PeerRefusalReason::OldSequence));
  BOOST_TEST(isRefused(codec, encoded(codec, heartbeat(4)),
                       PeerRefusalReason::OldSequence));
  codec.decode(encoded(codec, heartbeat(1, 2)));
  BOOST_TEST(isRefused(codec, encoded(codec, heartbeat(6)),
                       PeerRefusalReason::OldSequence));
  BOOST_TEST(codec.refusedFrames(PeerRefusalReason::OldSequence) == 3);
}

// Guards against values and sizes out of range in a frame with a valid MAC.
BOOST_AUTO_TEST_CASE(ValuesAreBounded) {
  PeerCodec codec("key");
  auto message = heartbeat(1);
  std::get<Heartbeat>(message.Body).State = static_cast<state::HostState>(5);
  BOOST_TEST(
      isRefused(codec, encoded(codec, message), PeerRefusalReason::Malformed));
  message = heartbeat(1, ~0ULL);
  BOOST_TEST(
      isRefused(codec, encoded(codec, message), PeerRefusalReason::Malformed));
  message = heartbeat(1);
  std::get<Heartbeat>(message.Body).Updates.front().Incarnation = ~0ULL;
  BOOST_TEST(
      isRefused(codec, encoded(codec, message), PeerRefusalReason::Malformed));
  message = heartbeat(1);
  message.Sender = std::string(PeerCodec::MaxNameBytes + 1, 'h');
  BOOST_TEST(
      isRefused(codec, encoded(codec, message), PeerRefusalReason::Malformed));
  message = heartbeat(1);
  std::get<Heartbeat>(message.Body).Updates.resize(PeerCodec::MaxUpdates + 1);
  BOOST_TEST(!codec.encode(message).ok());
  message.Body =
      SettingsReply{{}, {}, std::string(PeerCodec::MaxFrameBytes, ' ')};
  BOOST_TEST(!codec.encode(message).ok());
}

// Guards against unbounded memory use by frames with many sender names.
BOOST_AUTO_TEST_CASE(SendersAreBounded) {
  PeerCodec codec("key");
  auto message = heartbeat(1);
  for (std::size_t i = 0; i < PeerCodec::MaxSenders; ++i) {
    message.Sender = "host-" + std::to_string(i);
    codec.decode(encoded(codec, message));
  }
  message.Sender = "late";
  BOOST_TEST(isRefused(codec, encoded(codec, message),
                       PeerRefusalReason::UnknownSender));
  codec.forgetSender("host-0");
  BOOST_TEST(!isRefused(codec, encoded(codec, message),
                        PeerRefusalReason::UnknownSender));
}

BOOST_AUTO_TEST_SUITE_END()
