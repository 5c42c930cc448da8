#include "Coordination/Distribution/MergePatch.h"

#include <nlohmann/json.hpp>

namespace auburnroute::distribution {

namespace {

using Json = nlohmann::json;

// RFC 7386 removes members that a patch sets to null; null values inside arrays
// are kept.
bool hasNullMember(const Json &node) {
  if (!node.is_object())
    return false;
  for (const auto &it : node)
    if (it.is_null() || hasNullMember(it))
      return true;
  return false;
}

Json buildPatch(const Json &from, const Json &to) {
  if (!from.is_object() || !to.is_object())
    return to;
  auto patch = Json::object();
  for (const auto &[key, value] : from.items())
    if (!to.contains(key))
      patch[key] = nullptr;
  for (const auto &[key, value] : to.items()) {
    const auto it = from.find(key);
    if (it == from.end())
      patch[key] = value;
    else if (*it != value || it->type() != value.type())
      patch[key] = buildPatch(*it, value);
  }
  return patch;
}

} // namespace

std::optional<Json> makeMergePatch(const Json &from, const Json &to) {
  if (!from.is_object() || !to.is_object() || hasNullMember(to))
    return std::nullopt;
  return buildPatch(from, to);
}

} // namespace auburnroute::distribution
