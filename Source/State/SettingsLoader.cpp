#include "State/SettingsLoader.h"

#include "State/SettingsReader.h"

namespace auburnroute::state {

absl::StatusOr<Settings> loadSettings(std::string_view text,
                                      std::string_view fileName) {
  auto document = SettingsReader::read(text, fileName);
  if (!document.ok())
    return document.status();
  return std::move(document->Content);
}

} // namespace auburnroute::state
