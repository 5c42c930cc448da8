#pragma once

#include "State/ErrorList.h"
#include "State/JsonNode.h"

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace auburnroute::tool {

struct Output;

/// A file with the routing configuration of the registry, with line numbers.
class ConfigurationFile {
public:
  /// Reads \p fileName. If hosts could not read it at all, writes the errors to
  /// \p output and returns nothing. Members that are given twice are added to
  /// \p errors.
  static std::optional<ConfigurationFile>
  read(const std::string &fileName, state::ErrorList &errors, Output &output);

  const nlohmann::json &document() const { return Document; }
  /// The line of the value at \p path, such as "routes[2].aim_ms"; if it is
  /// absent, that of the innermost container of it that exists.
  std::uint32_t lineOf(std::string_view path) const;

private:
  explicit ConfigurationFile(state::JsonNode root)
      : Root(std::move(root)), Document(Root.toJson()) {}

  state::JsonNode Root;
  nlohmann::json Document;
};

} // namespace auburnroute::tool
