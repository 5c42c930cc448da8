#pragma once

#include "Fleet/RegistryReader.h"
#include "Routing/BackendServer.h"
#include "Routing/RouteTable.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <string>
#include <string_view>

namespace auburnroute::platform {

/// Translates between fleet::RegistryReader's calls and the HTTP API of the
/// platform's metadata store.
class StoreCodec {
public:
  /// The HTTP request target, path and query, of \p call.
  static std::string requestTarget(const fleet::RegistryCall &call);
  /// Decodes the body of a response to \p call with status 200. Malformed
  /// entries are skipped and counted in the page. Errors: InvalidArgument if
  /// the body is not a response to that kind of call.
  static absl::StatusOr<fleet::RegistryPage>
  decode(const fleet::RegistryCall &call, std::string_view body);
};

} // namespace auburnroute::platform
