#include "platform/ConfigurationDifference.h"

#include "absl/strings/str_cat.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

namespace auburnroute::platform {

using nlohmann::json;

namespace {

using Changes = std::vector<ConfigurationChange>;

/// Limits the length of a line of the report, as a value may be an object.
std::string shown(const json &value) {
  constexpr std::size_t MaxBytes = 120;
  auto text = value.dump();
  if (text.size() > MaxBytes)
    text = text.substr(0, MaxBytes) + "...";
  return text;
}

void compareMembers(const json &before, const json &after,
                    const std::string &path, Changes &changes) {
  const auto pathOf = [&](const std::string &key) {
    return path.empty() ? key : absl::StrCat(path, ".", key);
  };
  for (const auto &[key, value] : after.items()) {
    const auto old = before.find(key);
    if (old == before.end())
      changes.push_back(
          {pathOf(key), false, absl::StrCat("is added: ", shown(value))});
    else if (*old != value)
      changes.push_back(
          {pathOf(key), false,
           absl::StrCat("was ", shown(*old), ", is ", shown(value))});
  }
  for (const auto &[key, value] : before.items())
    if (!after.contains(key))
      changes.push_back(
          {pathOf(key), false, absl::StrCat("is removed, was ", shown(value))});
}

/// The members \p keys of \p object, which identify it.
std::string identityOf(const json &object,
                       const std::vector<std::string> &keys) {
  std::string identity;
  for (const auto &key : keys)
    if (const auto it = object.find(key); it != object.end() && it->is_string())
      absl::StrAppend(&identity, identity.empty() ? "" : " ",
                      it->get<std::string>());
  return identity;
}

/// Elements of the array \p name by identity; the first one of each counts.
std::map<std::string, std::pair<std::string, const json *>>
elementsOf(const json &document, const std::string &name,
           const std::vector<std::string> &keys) {
  std::map<std::string, std::pair<std::string, const json *>> elements;
  const auto array = document.find(name);
  if (array == document.end() || !array->is_array())
    return elements;
  for (std::size_t i = 0; i < array->size(); ++i)
    if (const auto &it = (*array)[i]; it.is_object())
      elements.try_emplace(identityOf(it, keys),
                           absl::StrCat(name, "[", i, "]"), &it);
  return elements;
}

void compareElements(const json &before, const json &after,
                     const std::string &name,
                     const std::vector<std::string> &keys, Changes &changes) {
  const auto old = elementsOf(before, name, keys);
  const auto now = elementsOf(after, name, keys);
  for (const auto &[identity, element] : now) {
    const auto it = old.find(identity);
    if (it == old.end())
      changes.push_back(
          {element.first, false, absl::StrCat(identity, " is added")});
    else
      compareMembers(*it->second.second, *element.second, element.first,
                     changes);
  }
  for (const auto &[identity, element] : old)
    if (!now.contains(identity))
      changes.push_back(
          {element.first, true, absl::StrCat(identity, " is removed")});
}

} // namespace

std::vector<ConfigurationChange>
ConfigurationDifference::changes(const json &before, const json &after) {
  Changes changes;
  auto oldRest = before;
  auto rest = after;
  for (const auto *name : {"routes", "services"}) {
    oldRest.erase(name);
    rest.erase(name);
  }
  const auto limits = [](json &document) {
    auto it = document.find("limits");
    if (it == document.end() || !it->is_object())
      return json(json::object());
    auto found = std::move(*it);
    document.erase(it);
    return found;
  };
  const auto oldLimits = limits(oldRest);
  const auto newLimits = limits(rest);
  compareMembers(oldRest, rest, "", changes);
  compareMembers(oldLimits, newLimits, "limits", changes);
  compareElements(before, after, "routes", {"host", "prefix"}, changes);
  compareElements(before, after, "services", {"name"}, changes);
  return changes;
}

std::vector<ConfigurationFinding>
ConfigurationDifference::findings(const json &before, const json &after) {
  const auto versionOf = [](const json &document) {
    const auto it = document.find("version");
    return it != document.end() && it->is_number_unsigned()
               ? it->get<std::uint64_t>()
               : 0;
  };
  const auto old = versionOf(before);
  const auto now = versionOf(after);
  if (now == 0 || now > old || before == after)
    return {};
  return {{true, "version",
           absl::StrCat(now, " is not above ", old,
                        ", the version in force, so that hosts ignore it"),
           absl::StrCat("at least ", old + 1)}};
}

} // namespace auburnroute::platform
