#pragma once

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace auburnroute::platform {

/// The template from which the platform generates the settings file of an edge
/// daemon. This class fills it in with sample values, so that a template can be
/// validated before it is deployed.
class SettingsTemplate {
public:
  /// Whether \p text contains a placeholder.
  static bool isTemplate(std::string_view text);
  /// Replaces the placeholders of \p text by sample values. \p fileName is used
  /// in error messages only. Errors: InvalidArgument, with file and line, for
  /// an unclosed placeholder and for a field or section that the platform does
  /// not provide.
  static absl::StatusOr<std::string> fillWithSamples(std::string_view text,
                                                     std::string_view fileName);
};

} // namespace auburnroute::platform
