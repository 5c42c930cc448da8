#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::state {

struct JsonMember;

/// A JSON value with its line number.
struct JsonNode {
  std::uint32_t Line = 1; ///< From 1; of an object or array: its start.
  nlohmann::json Value;   ///< A scalar; empty for an object or an array.
  std::vector<JsonMember> Members; ///< Of an object, in document order.
  std::vector<JsonNode> Items;     ///< Of an array.

  /// The first member of that name, or nullptr.
  const JsonNode *find(std::string_view key) const;
  /// The value without lines; object members are ordered by key.
  nlohmann::json toJson() const;
  /// "an object", "a string" and so on, for messages.
  std::string_view typeNameWithArticle() const;
};

/// A named value of an object.
struct JsonMember {
  std::string Key;
  std::uint32_t Line = 1; ///< Of the key.
  JsonNode Value;
};

} // namespace auburnroute::state
