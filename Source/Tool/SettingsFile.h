#pragma once

#include "State/SettingsReader.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string>

namespace auburnroute::tool {

struct Output;

/// Reads settings files and reports their errors.
class SettingsFile {
public:
  /// Reads at most one byte more than the size limit of a document, enough for
  /// the parser to reject the file. Errors: NotFound, one line.
  static absl::StatusOr<std::string> readText(const std::string &fileName);
  /// Reads and checks a settings file. If it is invalid, writes the errors to
  /// \p output and returns nothing.
  static std::optional<state::SettingsDocument>
  read(const std::string &fileName, Output &output);
};

} // namespace auburnroute::tool
