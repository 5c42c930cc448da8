#include "Tool/SettingsFile.h"

#include "State/JsonReader.h"
#include "Tool/Command.h"

#include "absl/strings/str_cat.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace auburnroute::tool {

absl::StatusOr<std::string>
SettingsFile::readText(const std::string &fileName) {
  errno = 0;
  std::ifstream file(fileName, std::ios::binary);
  std::string text(state::JsonReader::MaxSize + 1, '\0');
  // Opening a directory succeeds; reading it fails.
  if (file)
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || (!file && !file.eof()))
    return absl::NotFoundError(
        absl::StrCat(fileName, ": cannot be read: ",
                     errno == 0 ? "unknown reason" : std::strerror(errno)));
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

std::optional<state::SettingsDocument>
SettingsFile::read(const std::string &fileName, Output &output) {
  const auto text = readText(fileName);
  if (!text.ok()) {
    output.Err << text.status().message() << "\n";
    return std::nullopt;
  }
  auto document = state::SettingsReader::read(*text, fileName);
  if (!document.ok()) {
    output.Err << document.status().message() << "\n";
    return std::nullopt;
  }
  return *std::move(document);
}

} // namespace auburnroute::tool
