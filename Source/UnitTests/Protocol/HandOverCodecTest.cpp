#include "Protocol/HandOverCodec.h"
#include "Protocol/PacketBuilder.h"
#include "Protocol/PacketView.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace auburnroute;

namespace {

const protocol::HandOverCodec Codec("0123456789abcdef");

std::vector<std::byte> sampleDatagram() {
  const std::vector<std::byte> payload(400, std::byte{'x'});
  const auto packet = protocol::buildPacket(
      {{0xCB007105, 40000},
       {0xC6336401, 7001},
       protocol::PacketView::AckFlag | protocol::PacketView::FinFlag,
       100,
       200,
       protocol::Timestamps{11, 22},
       payload});
  const auto header = Codec.encode(protocol::HandOverKind::Finish, packet);
  std::vector<std::byte> buf(header.size() + packet.size());
  std::copy(header.begin(), header.end(), buf.begin());
  std::copy(packet.begin(), packet.end(),
            buf.begin() + static_cast<std::ptrdiff_t>(header.size()));
  return buf;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HandOverCodecTest)

BOOST_AUTO_TEST_CASE(DecodesWhatItEncoded) {
  auto buf = sampleDatagram();
  protocol::HandOverView view;
  BOOST_REQUIRE((Codec.decode(buf, view) == state::Cause::None));
  BOOST_TEST((view.Kind == protocol::HandOverKind::Finish));
  BOOST_TEST(view.Packet.size() == buf.size() - Codec.HeaderSize);
}

// Guards against forged and altered hand-overs, if the MAC does not cover the
// header fields or the payload.
BOOST_AUTO_TEST_CASE(AnyAlteredByteIsRefused) {
  const auto whole = sampleDatagram();
  for (std::size_t i = 0; i < whole.size(); ++i) {
    auto buf = whole;
    buf[i] ^= std::byte{0x40};
    protocol::HandOverView view;
    BOOST_TEST((Codec.decode(buf, view) == state::Cause::BadHandOver),
               "byte " << i);
  }
  auto buf = whole;
  protocol::HandOverView view;
  BOOST_TEST((protocol::HandOverCodec("another-shared-key").decode(buf, view) ==
              state::Cause::BadHandOver));
}

// Guards against a read past the end of a truncated datagram.
BOOST_AUTO_TEST_CASE(TruncatedDatagramsAreRefused) {
  const auto whole = sampleDatagram();
  for (std::size_t n = 0; n < whole.size(); ++n) {
    std::vector<std::byte> buf(whole.begin(),
                               whole.begin() + static_cast<std::ptrdiff_t>(n));
    protocol::HandOverView view;
    BOOST_TEST((Codec.decode(buf, view) == state::Cause::BadHandOver));
  }
}

// Guards against a SYN that loops between two hosts that disagree on the
// admission owner.
BOOST_AUTO_TEST_CASE(OnlyStoppingHostsHandOverAgainAndOnlyOnce) {
  auto buf = sampleDatagram();
  protocol::HandOverView view;
  BOOST_REQUIRE((Codec.decode(buf, view) == state::Cause::None));
  BOOST_TEST(!view.mayHandOverAgain(false));
  BOOST_TEST(view.mayHandOverAgain(true));
  for (const std::uint8_t hops : {0, 2, 3}) {
    const auto header = Codec.encode(view.Kind, view.Packet, hops);
    std::copy(header.begin(), header.end(), buf.begin());
    protocol::HandOverView again;
    const bool accepted = Codec.decode(buf, again) == state::Cause::None;
    BOOST_TEST(accepted == (hops == 2));
    BOOST_TEST((!accepted || !again.mayHandOverAgain(true)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
