#pragma once

#include "Coordination/Messages/SettingsStamp.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace auburnroute::distribution {

/// Recent settings documents, kept to build deltas for peers: the last two
/// parsed, earlier ones as text and bounded in bytes.
class SettingsHistory {
public:
  /// \p maxBytes bounds the texts together.
  explicit SettingsHistory(std::size_t maxBytes) : MaxArchivedBytes(maxBytes) {}

  /// Adds the document that is in force now.
  void add(messages::SettingsStamp stamp,
           std::shared_ptr<const nlohmann::json> document);
  /// What turns \p base into the last document, as text: a JSON patch (RFC
  /// 6902) or a JSON merge patch (RFC 7386), whichever is shorter. Nothing if
  /// the base is gone.
  std::optional<std::string> patchFrom(messages::SettingsStamp base);
  /// The last document, or nullptr.
  const std::shared_ptr<const nlohmann::json> &latest() const { return Latest; }
  std::size_t archivedBytes() const { return ArchivedBytes; }

private:
  struct Entry {
    messages::SettingsStamp Stamp;
    std::string CanonicalText;
  };
  struct Patch {
    messages::SettingsStamp Base;
    std::optional<std::string> Text;
  };

  std::optional<std::string> buildPatch(messages::SettingsStamp base) const;
  void archivePrevious();

  std::size_t MaxArchivedBytes;
  std::size_t ArchivedBytes = 0;
  std::deque<Entry> Archive; ///< Older than Previous, oldest first.
  // The last two are kept as parsed, since nearly all peers are one behind.
  std::shared_ptr<const nlohmann::json> Previous;
  messages::SettingsStamp PreviousStamp;
  std::shared_ptr<const nlohmann::json> Latest;
  messages::SettingsStamp LatestStamp;
  std::deque<Patch> Patches; ///< To the last document; most peers share a base.
};

} // namespace auburnroute::distribution
