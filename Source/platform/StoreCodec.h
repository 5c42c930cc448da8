#pragma once

#include "Fleet/RegistryReader.h"
#include "Routing/BackendServer.h"
#include "Routing/RouteTable.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <string>
#include <string_view>

namespace auburnroute::platform {

/// Calls and answers of the platform's metadata store, translated into those
/// of fleet::RegistryReader.
class StoreCodec {
public:
  /// Path and query of \p call.
  static std::string requestTarget(const fleet::RegistryCall &call);
  /// Decodes a body of status 200 for \p call. Entries that can't be read are
  /// counted in the page and left out. Errors: InvalidArgument if the body is
  /// not an answer to that call.
  static absl::StatusOr<fleet::RegistryPage>
  decode(const fleet::RegistryCall &call, std::string_view body);
};

} // namespace auburnroute::platform
