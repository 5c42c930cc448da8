#pragma once

#include "State/ErrorList.h"
#include "State/JsonNode.h"

#include <optional>
#include <string_view>

namespace auburnroute::state {

/// Parses JSON with comments into nodes with line numbers.
class JsonReader {
public:
  /// Size of the largest document in bytes; values of the platform's
  /// configuration service are limited to 1 MB.
  static constexpr std::size_t MaxSize = 1'000'000;
  /// Depth of nested objects and arrays; the settings need 5.
  static constexpr std::size_t MaxDepth = 16;

  /// The root of \p text, or nothing and one entry in \p errors.
  static std::optional<JsonNode> read(std::string_view text, ErrorList &errors);
};

} // namespace auburnroute::state
