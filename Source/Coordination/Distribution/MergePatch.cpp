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
  for (const auto &member : node)
    if (member.is_null() || hasNullMember(member))
      return true;
  return false;
}

Json buildMergePatch(const Json &from, const Json &to) {
  if (!from.is_object() || !to.is_object())
    return to;
  auto patch = Json::object();
  for (const auto &[key, value] : from.items())
    if (!to.contains(key))
      patch[key] = nullptr;
  for (const auto &[key, value] : to.items()) {
    const auto old = from.find(key);
    if (old == from.end())
      patch[key] = value;
    else if (*old != value || old->type() != value.type())
      patch[key] = buildMergePatch(*old, value);
  }
  return patch;
}

} // namespace

std::optional<Json> makeMergePatch(const Json &from, const Json &to) {
  if (!from.is_object() || !to.is_object() || hasNullMember(to))
    return std::nullopt;
  return buildMergePatch(from, to);
}

} // namespace auburnroute::distribution
