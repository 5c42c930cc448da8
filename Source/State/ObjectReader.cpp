#include "State/ObjectReader.h"

#include "State/ValueReader.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <numeric>
#include <unordered_set>

namespace auburnroute::state {

using common::toAbsl;

namespace {

/// Number of insertions, removals and replacements between two keys.
std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    auto diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const auto replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

std::string_view nearestKey(std::string_view key,
                            const std::vector<std::string_view> &known) {
  // Bounds the work for a hostile key.
  key = key.substr(0, ValueDescriptor::MaxNameSize);
  return *std::min_element(known.begin(), known.end(), [&](auto a, auto b) {
    return editDistance(key, a) < editDistance(key, b);
  });
}

} // namespace

ObjectReader::Values ObjectReader::readValues(
    const JsonNode &node, std::string_view path,
    const std::vector<const ValueDescriptor *> &descriptors,
    const std::vector<std::string_view> &others) {
  Values values(descriptors.size());
  if (!checkObject(node, path))
    return values;
  ValueReader reader(Errors);
  std::vector<std::string_view> seen;
  for (const auto &it : node.Members) {
    const auto found =
        std::find_if(descriptors.begin(), descriptors.end(),
                     [&](const auto *d) { return d->Key == it.Key; });
    const bool isOther =
        std::find(others.begin(), others.end(), it.Key) != others.end();
    if (found == descriptors.end() && !isOther)
      addUnknownKeyError(it, path, descriptors, others);
    else if (!addErrorIfRepeated(it, path, seen) && !isOther)
      if (const auto value =
              reader.read(it.Value, memberPath(path, it.Key), **found))
        values[static_cast<std::size_t>(found - descriptors.begin())] =
            LocatedValue{*value, it.Value.Line};
  }
  for (const auto *it : descriptors)
    if (it->IsRequired && node.find(it->Key) == nullptr)
      Errors.add(node.Line, memberPath(path, it->Key), "is missing",
                 it->accepted());
  return values;
}

bool ObjectReader::checkObject(const JsonNode &node, std::string_view path) {
  if (node.Value.is_object())
    return true;
  Errors.add(node.Line, path,
             absl::StrCat("is ", toAbsl(node.typeNameWithArticle())),
             "an object");
  return false;
}

bool ObjectReader::checkArray(const JsonNode &node, std::string_view path,
                              std::size_t min, std::size_t max) {
  const auto expected =
      absl::StrCat("an array of ", min, " to ", max, " items");
  if (!node.Value.is_array())
    Errors.add(node.Line, path,
               absl::StrCat("is ", toAbsl(node.typeNameWithArticle())),
               expected);
  else if (node.Items.size() < min || node.Items.size() > max)
    Errors.add(node.Line, path,
               absl::StrCat("has ", node.Items.size(), " items"), expected);
  else
    return true;
  return false;
}

bool ObjectReader::checkNames(const JsonNode &node, std::string_view path,
                              std::size_t min, std::size_t max) {
  if (!checkObject(node, path))
    return false;
  const auto n = node.Members.size();
  if (n < min || n > max) {
    Errors.add(node.Line, path, absl::StrCat("has ", n, " names"),
               absl::StrCat(min, " to ", max));
    return false;
  }
  std::unordered_set<std::string> seen;
  for (const auto &it : node.Members) {
    if (!ValueReader::isName(it.Key))
      Errors.add(it.Line, memberPath(path, it.Key), "is not a name",
                 ValueDescriptor::name("", "").accepted());
    if (!seen.insert(it.Key).second)
      Errors.add(it.Line, memberPath(path, it.Key), "is a duplicate name",
                 "each name once");
  }
  return true;
}

bool ObjectReader::addErrorIfRepeated(const JsonMember &member,
                                      std::string_view path,
                                      std::vector<std::string_view> &seen) {
  if (std::find(seen.begin(), seen.end(), member.Key) == seen.end()) {
    seen.push_back(member.Key);
    return false;
  }
  Errors.add(member.Line, memberPath(path, member.Key), "is a duplicate key",
             "each key once");
  return true;
}

void ObjectReader::addUnknownKeyError(
    const JsonMember &member, std::string_view path,
    const std::vector<const ValueDescriptor *> &descriptors,
    const std::vector<std::string_view> &others) {
  auto known = others;
  for (const auto *it : descriptors)
    known.push_back(it->Key);
  Errors.add(member.Line, memberPath(path, member.Key), "is an unknown key",
             absl::StrCat("a known key, the nearest is \"",
                          toAbsl(nearestKey(member.Key, known)), "\""));
}

} // namespace auburnroute::state
