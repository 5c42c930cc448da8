#include "Protocol/HandOverCodec.h"

#include <algorithm>
#include <cstring>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace auburnroute::protocol {

namespace {

constexpr std::array<std::byte, 4> Magic{std::byte{0xAB}, std::byte{0x52},
                                         std::byte{0x48}, std::byte{0x31}};
constexpr std::size_t KindOffset = 4;
constexpr std::size_t MacOffset = 8;
// Enough for the longest IPv4 and TCP headers. The payload is covered by the
// TCP checksum end to end, as it is on every other path.
constexpr std::size_t AuthenticatedBytes = 120;

} // namespace

HandOverCodec::HandOverCodec(std::string key) : Key(std::move(key)) {}

bool HandOverCodec::matches(std::span<const std::byte> datagram) {
  return datagram.size() >= HeaderSize &&
         std::equal(Magic.begin(), Magic.end(), datagram.begin());
}

std::array<std::byte, HandOverCodec::HeaderSize>
HandOverCodec::encode(HandOverKind kind,
                      std::span<const std::byte> packet) const {
  std::array<std::byte, HeaderSize> header{};
  std::copy(Magic.begin(), Magic.end(), header.begin());
  header[KindOffset] = static_cast<std::byte>(kind);
  const auto mac = authenticate(kind, packet);
  std::memcpy(header.data() + MacOffset, &mac, sizeof(mac));
  return header;
}

state::Cause HandOverCodec::decode(std::span<std::byte> datagram,
                                   HandOverView &view) const {
  if (!matches(datagram))
    return state::Cause::BadHandOver;
  const auto kind = std::to_integer<std::uint8_t>(datagram[KindOffset]);
  if (kind != static_cast<std::uint8_t>(HandOverKind::Syn) &&
      kind != static_cast<std::uint8_t>(HandOverKind::Finish))
    return state::Cause::BadHandOver;
  view.Kind = static_cast<HandOverKind>(kind);
  view.Packet = datagram.subspan(HeaderSize);
  const auto mac = authenticate(view.Kind, view.Packet);
  if (CRYPTO_memcmp(&mac, datagram.data() + MacOffset, sizeof(mac)) != 0)
    return state::Cause::BadHandOver;
  return state::Cause::None;
}

std::uint64_t
HandOverCodec::authenticate(HandOverKind kind,
                            std::span<const std::byte> packet) const {
  std::array<unsigned char, AuthenticatedBytes + 1> buf{};
  const auto n = std::min(packet.size(), AuthenticatedBytes);
  buf[0] = static_cast<unsigned char>(kind);
  std::memcpy(buf.data() + 1, packet.data(), n);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), buf.data(),
       n + 1, digest.data(), &size);
  std::uint64_t mac = 0;
  std::memcpy(&mac, digest.data(), sizeof(mac));
  return mac;
}

} // namespace auburnroute::protocol
