#include "StandIns/PlatformStore.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace auburnroute::standins {

absl::Status PlatformStore::setSettings(std::string document) {
  return setDocument(Settings, "revision", std::move(document));
}

absl::Status PlatformStore::setHosts(std::string document) {
  return setDocument(Hosts, "version", std::move(document));
}

absl::Status PlatformStore::setDocument(Document &document,
                                        const char *versionKey,
                                        std::string text) {
  // The last argument allows comments.
  const auto root = nlohmann::json::parse(text, nullptr, false, true);
  if (!root.is_object() || !root.contains(versionKey) ||
      !root[versionKey].is_number_unsigned())
    return absl::InvalidArgumentError(absl::StrCat(
        "document must be a JSON object with an unsigned integer \"",
        versionKey, "\""));
  const std::lock_guard lock(Mutex);
  document.Version = root[versionKey];
  document.Text = std::move(text);
  updateServed(document);
  Changed.notify_all();
  return absl::OkStatus();
}

void PlatformStore::updateServed(Document &document) const {
  if (Mode == PlatformMode::Stale)
    return;
  document.ServedVersion = document.Version;
  document.ServedText = document.Text;
}

void PlatformStore::setMode(PlatformMode mode) {
  const std::lock_guard lock(Mutex);
  Mode = mode;
  updateServed(Settings);
  updateServed(Hosts);
  Changed.notify_all();
}

PlatformStore::ReadResult PlatformStore::read(const Document &document,
                                              std::uint64_t after,
                                              std::chrono::milliseconds wait) {
  std::unique_lock lock(Mutex);
  Changed.wait_for(lock, wait, [&] {
    return IsShutDown || Mode == PlatformMode::Down ||
           document.ServedVersion > after;
  });
  if (Mode == PlatformMode::Down)
    return {503, {}};
  if (document.ServedVersion > after)
    return {200, document.ServedText};
  return {204, {}};
}

PlatformStore::ReadResult
PlatformStore::readSettings(std::uint64_t after,
                            std::chrono::milliseconds wait) {
  {
    const std::lock_guard lock(Mutex);
    ++ReadCounts.SettingsReads;
  }
  return read(Settings, after, wait);
}

PlatformStore::ReadResult
PlatformStore::readHosts(std::uint64_t after, std::chrono::milliseconds wait) {
  {
    const std::lock_guard lock(Mutex);
    ++ReadCounts.HostsReads;
  }
  return read(Hosts, after, wait);
}

void PlatformStore::shutDown() {
  const std::lock_guard lock(Mutex);
  IsShutDown = true;
  Changed.notify_all();
}

PlatformStore::Counts PlatformStore::counts() const {
  const std::lock_guard lock(Mutex);
  return ReadCounts;
}

} // namespace auburnroute::standins
