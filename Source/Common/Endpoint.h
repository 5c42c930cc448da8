#pragma once

#include "absl/status/statusor.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburnroute::common {

/// An IPv4 address and a port, both in host byte order.
struct Endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// Address and port packed into one integer, for use as a hash key.
  std::uint64_t key() const { return (std::uint64_t{Address} << 16) | Port; }
};

/// Parses "a.b.c.d:port" with a port above 0. Errors: InvalidArgument.
absl::StatusOr<Endpoint> parseEndpoint(std::string_view text);

/// Formats an address in host byte order as "a.b.c.d".
std::string addressToString(std::uint32_t address);

/// Formats an endpoint as "a.b.c.d:port".
std::string toString(const Endpoint &endpoint);

} // namespace auburnroute::common
