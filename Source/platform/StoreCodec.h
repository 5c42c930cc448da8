#pragma once

#include "Common/HttpResponse.h"
#include "Fleet/RegistryReader.h"
#include "Routing/BackendServer.h"
#include "Routing/RouteTable.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnroute::platform {

/// Translates between fleet::RegistryReader's calls and the HTTP API of the
/// platform's metadata store.
class StoreCodec {
public:
  /// Larger values in the limit for cold servers are taken as these, in seconds
  /// and in flows a second.
  static constexpr double MaxColdStartSeconds = 3600;
  static constexpr double MaxColdStartRate = 1e6;

  /// The HTTP request target, path and query, of \p call.
  static std::string requestTarget(const fleet::RegistryCall &call);
  /// The era of the store that sent \p response, see RegistryPage::Era; 0 if
  /// the response does not have it. Errors: InvalidArgument if it is not a
  /// number.
  static absl::StatusOr<std::uint64_t>
  eraOf(const common::HttpResponse &response);
  /// The identity of the backend server with the key \p name: the hexadecimal
  /// digits after the last '-', or all of it without a '-'. nullopt if they are
  /// not a non-zero 64-bit number.
  static std::optional<std::uint64_t> identityOf(std::string_view name);
  /// Decodes the body of a response to \p call with status 200. Malformed
  /// entries are skipped and counted in the page. Errors: InvalidArgument if
  /// the body is not a response to that kind of call.
  static absl::StatusOr<fleet::RegistryPage>
  decode(const fleet::RegistryCall &call, std::string_view body);
};

} // namespace auburnroute::platform
