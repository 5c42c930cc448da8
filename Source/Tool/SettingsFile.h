#pragma once

#include "State/SettingsReader.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string>

namespace auburnroute::tool {

struct Output;

/// Reads settings files for commands.
class SettingsFile {
public:
  /// The text of a file, cut one byte above the size limit of a document, so
  /// that the check refuses it. Errors: NotFound, one line.
  static absl::StatusOr<std::string> readText(const std::string &fileName);
  /// The checked settings of a file, or nothing and the faults in \p output.
  static std::optional<state::SettingsDocument>
  read(const std::string &fileName, Output &output);
};

} // namespace auburnroute::tool
