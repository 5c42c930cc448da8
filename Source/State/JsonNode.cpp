#include "State/JsonNode.h"

#include <algorithm>

namespace auburnroute::state {

const JsonNode *JsonNode::find(std::string_view key) const {
  const auto it = std::find_if(Members.begin(), Members.end(),
                               [&](const auto &m) { return m.Key == key; });
  return it == Members.end() ? nullptr : &it->Value;
}

nlohmann::json JsonNode::toJson() const {
  // Value is an empty object or array here if there are members or items.
  auto json = Value;
  for (const auto &it : Members)
    json[it.Key] = it.Value.toJson();
  for (const auto &it : Items)
    json.push_back(it.toJson());
  return json;
}

std::string_view JsonNode::typeNameWithArticle() const {
  switch (Value.type()) {
  case nlohmann::json::value_t::object:
    return "an object";
  case nlohmann::json::value_t::array:
    return "an array";
  case nlohmann::json::value_t::string:
    return "a string";
  case nlohmann::json::value_t::boolean:
    return "a boolean";
  case nlohmann::json::value_t::null:
    return "null";
  default:
    return "a number";
  }
}

} // namespace auburnroute::state
