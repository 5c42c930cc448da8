#include "State/ErrorList.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <vector>

namespace auburnroute::state {

using common::toAbsl;

namespace {

constexpr std::size_t MaxQuoted = 60;
// Names are limited to 63 bytes; a longer path comes from an invalid key.
constexpr std::size_t MaxPath = 300;

std::string printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](unsigned char ch) { return ch < 0x20 || ch >= 0x7F; }, '?');
  return text;
}

} // namespace

void ErrorList::add(std::uint32_t line, std::string_view path,
                    std::string_view what, std::string_view expected) {
  if (isFull()) {
    ++Unlisted;
    return;
  }
  const auto shown = path.empty() ? "document" : path.substr(0, MaxPath);
  Errors.insert(
      {line, printable(absl::StrCat(toAbsl(shown), ": ", toAbsl(what),
                                    ", expected ", toAbsl(expected)))});
}

absl::Status ErrorList::status() const {
  if (Errors.empty())
    return absl::OkStatus();
  std::vector<std::string> lines;
  for (const auto &it : Errors)
    lines.push_back(absl::StrCat(FileName, ":", it.Line, ": ", it.Text));
  if (Unlisted > 0)
    lines.push_back(absl::StrCat(FileName, ":1: document: ", Unlisted,
                                 " more errors, expected none"));
  return absl::InvalidArgumentError(absl::StrJoin(lines, "\n"));
}

std::string quotedText(std::string_view text) {
  if (text.size() <= MaxQuoted)
    return absl::StrCat("\"", toAbsl(text), "\"");
  return absl::StrCat("\"", toAbsl(text.substr(0, MaxQuoted)), "...\"");
}

std::string memberPath(std::string_view parent, std::string_view key) {
  if (key.empty())
    key = "\"\"";
  // A blank would make the path and the message hard to tell apart.
  std::string name(key);
  std::replace(name.begin(), name.end(), ' ', '_');
  return parent.empty() ? name : absl::StrCat(toAbsl(parent), ".", name);
}

} // namespace auburnroute::state
