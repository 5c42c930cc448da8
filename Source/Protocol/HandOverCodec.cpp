#include "Protocol/HandOverCodec.h"

#include "Common/Invariant.h"

#include <algorithm>
#include <cstring>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

namespace auburnroute::protocol {

namespace {

constexpr std::array<std::byte, 4> Magic{std::byte{0xAB}, std::byte{0x52},
                                         std::byte{0x48}, std::byte{0x31}};
constexpr std::size_t KindOffset = 4;
constexpr std::size_t HopsOffset = 5;
constexpr std::size_t ReservedOffset = 6;
constexpr std::size_t MacOffset = 8;
constexpr std::uint8_t MaxHops = 2;

} // namespace

HandOverCodec::HandOverCodec(const std::string &key) {
  const std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> mac(
      EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr), EVP_MAC_free);
  KeyedContext.reset(EVP_MAC_CTX_new(mac.get()), EVP_MAC_CTX_free);
  std::string digest = "SHA256";
  const std::array<OSSL_PARAM, 2> params{
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
      OSSL_PARAM_construct_end()};
  // OpenSSL keeps the previous key if the pointer is null, so an empty key
  // needs a valid pointer.
  const auto *data = reinterpret_cast<const unsigned char *>(key.c_str());
  common::invariant(KeyedContext &&
                        EVP_MAC_init(KeyedContext.get(), data, key.size(),
                                     params.data()) == 1,
                    "HMAC-SHA256 is available");
}

bool HandOverCodec::hasMagic(std::span<const std::byte> datagram) {
  return datagram.size() >= HeaderSize &&
         std::equal(Magic.begin(), Magic.end(), datagram.begin());
}

std::array<std::byte, HandOverCodec::HeaderSize>
HandOverCodec::encode(HandOverKind kind, std::span<const std::byte> packet,
                      std::uint8_t hops) const {
  std::array<std::byte, HeaderSize> header{};
  std::copy(Magic.begin(), Magic.end(), header.begin());
  header[KindOffset] = static_cast<std::byte>(kind);
  header[HopsOffset] = static_cast<std::byte>(hops);
  const auto mac = computeMac(std::span(header).first(MacOffset), packet);
  std::memcpy(header.data() + MacOffset, &mac, sizeof(mac));
  return header;
}

state::Cause HandOverCodec::decode(std::span<std::byte> datagram,
                                   HandOverView &view) const {
  if (!hasMagic(datagram))
    return state::Cause::BadHandOver;
  const auto kind = std::to_integer<std::uint8_t>(datagram[KindOffset]);
  if (kind < static_cast<std::uint8_t>(HandOverKind::Syn) ||
      kind > static_cast<std::uint8_t>(HandOverKind::Relay))
    return state::Cause::BadHandOver;
  view.Hops = std::to_integer<std::uint8_t>(datagram[HopsOffset]);
  if (view.Hops == 0 || view.Hops > MaxHops ||
      datagram[ReservedOffset] != std::byte{0} ||
      datagram[ReservedOffset + 1] != std::byte{0})
    return state::Cause::BadHandOver;
  view.Kind = static_cast<HandOverKind>(kind);
  view.Packet = datagram.subspan(HeaderSize);
  const auto mac = computeMac(datagram.first(MacOffset), view.Packet);
  if (CRYPTO_memcmp(&mac, datagram.data() + MacOffset, sizeof(mac)) != 0)
    return state::Cause::BadHandOver;
  return state::Cause::None;
}

std::uint64_t
HandOverCodec::computeMac(std::span<const std::byte> fields,
                          std::span<const std::byte> packet) const {
  const std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(
      EVP_MAC_CTX_dup(KeyedContext.get()), EVP_MAC_CTX_free);
  const auto update = [&](std::span<const std::byte> data) {
    return EVP_MAC_update(context.get(),
                          reinterpret_cast<const unsigned char *>(data.data()),
                          data.size()) == 1;
  };
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  std::size_t size = 0;
  common::invariant(context && update(fields) && update(packet) &&
                        EVP_MAC_final(context.get(), digest.data(), &size,
                                      digest.size()) == 1,
                    "HMAC-SHA256 succeeds");
  std::uint64_t mac = 0;
  std::memcpy(&mac, digest.data(), sizeof(mac));
  return mac;
}

} // namespace auburnroute::protocol
