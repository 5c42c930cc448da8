#include "Tool/ConfigurationFile.h"

#include "State/JsonReader.h"
#include "Tool/Command.h"
#include "Tool/SettingsFile.h"

#include "Common/Text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace auburnroute::tool {

using common::toAbsl;
using nlohmann::json;
using state::ErrorList;
using state::JsonNode;

namespace {

/// Reports comments, which hosts do not accept.
void findComments(const std::string &text, ErrorList &errors) {
  try {
    std::ignore = json::parse(text);
  } catch (const json::parse_error &ex) {
    const auto end = std::min<std::size_t>(ex.byte, text.size());
    const auto line =
        1 + std::count(text.begin(),
                       text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
    errors.add(static_cast<std::uint32_t>(line), "", "contains a comment",
               "JSON without comments");
  }
}

void findRepeatedMembers(const JsonNode &node, const std::string &path,
                         ErrorList &errors) {
  std::set<std::string_view> keys;
  for (const auto &it : node.Members) {
    const auto memberPath = state::memberPath(path, it.Key);
    if (!keys.insert(it.Key).second)
      errors.add(it.Line, memberPath, "is given twice", "it once");
    findRepeatedMembers(it.Value, memberPath, errors);
  }
  for (std::size_t i = 0; i < node.Items.size(); ++i)
    findRepeatedMembers(node.Items[i], absl::StrCat(path, "[", i, "]"), errors);
}

} // namespace

std::optional<ConfigurationFile>
ConfigurationFile::read(const std::string &fileName, ErrorList &errors,
                        Output &output) {
  const auto text = SettingsFile::readText(fileName);
  if (!text.ok()) {
    output.Err << text.status().message() << "\n";
    return std::nullopt;
  }
  ErrorList syntax(fileName);
  auto root = state::JsonReader::read(*text, syntax);
  if (root)
    findComments(*text, syntax);
  if (root && !root->Value.is_object())
    syntax.add(root->Line, "",
               absl::StrCat("is ", toAbsl(root->typeNameWithArticle())),
               "an object");
  if (!syntax.empty()) {
    output.Err << syntax.status().message() << "\n";
    return std::nullopt;
  }
  findRepeatedMembers(*root, "", errors);
  return ConfigurationFile(*std::move(root));
}

std::uint32_t ConfigurationFile::lineOf(std::string_view path) const {
  const auto *node = &Root;
  auto line = node->Line;
  if (path.empty())
    return line;
  const std::vector<std::string> steps =
      absl::StrSplit(toAbsl(path), absl::ByAnyChar(".["));
  for (const auto &step : steps) {
    std::size_t index = 0;
    if (step.ends_with(']') &&
        absl::SimpleAtoi(step.substr(0, step.size() - 1), &index)) {
      if (index >= node->Items.size())
        return line;
      node = &node->Items[index];
      line = node->Line;
      continue;
    }
    const auto it =
        std::ranges::find(node->Members, step, &state::JsonMember::Key);
    if (it == node->Members.end())
      return line;
    node = &it->Value;
    line = it->Line;
  }
  return line;
}

} // namespace auburnroute::tool
