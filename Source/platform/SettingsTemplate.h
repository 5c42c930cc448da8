#pragma once

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace auburnroute::platform {

/// The template from which the platform makes the settings file of an edge
/// daemon. The platform fills it in; this class does so with sample values, to
/// check it before it is deployed.
class SettingsTemplate {
public:
  static bool isTemplate(std::string_view text);
  /// Errors: InvalidArgument, with file and line, for a placeholder or section
  /// that the platform does not offer.
  static absl::StatusOr<std::string> fillWithSamples(std::string_view text,
                                                     std::string_view fileName);
};

} // namespace auburnroute::platform
