#pragma once

#include "State/DaemonSettings.h"

#include "absl/status/statusor.h"

#include <string_view>

namespace auburnroute::state {

/// Parses and checks the local settings file of a daemon (JSON with comments).
/// Errors: InvalidArgument with one line per error,
/// "FILE:LINE: KEY: what is wrong, expected what is accepted", for example
/// "daemon.json:8: seeds[1]: \"x\" is not an address and port, expected ...".
absl::StatusOr<DaemonSettings> loadDaemonSettings(std::string_view text,
                                                  std::string_view fileName);

} // namespace auburnroute::state
