#include "Common/Endpoint.h"

#include "Common/Text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <arpa/inet.h>

namespace auburnroute::common {

absl::StatusOr<Endpoint> parseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  const auto error = [&] {
    return absl::InvalidArgumentError(
        absl::StrCat("\"", toAbsl(text),
                     "\" is not an address and port such as 192.0.2.1:8001"));
  };
  if (colon == std::string_view::npos)
    return error();
  std::uint32_t port = 0;
  if (!absl::SimpleAtoi(toAbsl(text.substr(colon + 1)), &port) || port == 0 ||
      port > 65535)
    return error();
  in_addr addr{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &addr) !=
      1)
    return error();
  return Endpoint{ntohl(addr.s_addr), static_cast<std::uint16_t>(port)};
}

std::string addressToString(std::uint32_t address) {
  return absl::StrCat(address >> 24, ".", (address >> 16) & 255, ".",
                      (address >> 8) & 255, ".", address & 255);
}

std::string toString(const Endpoint &endpoint) {
  return absl::StrCat(addressToString(endpoint.Address), ":", endpoint.Port);
}

} // namespace auburnroute::common
