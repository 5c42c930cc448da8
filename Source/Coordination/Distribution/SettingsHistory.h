#pragma once

#include "Coordination/Messages/SettingsStamp.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace auburnroute::distribution {

/// Recent settings documents, from which deltas for peers are built: the latest
/// two as parsed JSON, older ones as text with a limit in bytes.
class SettingsHistory {
public:
  /// \p maxBytes limits the total size of the archived texts.
  explicit SettingsHistory(std::size_t maxBytes) : MaxArchivedBytes(maxBytes) {}

  /// Adds the document that comes into force.
  void add(messages::SettingsStamp stamp,
           std::shared_ptr<const nlohmann::json> document);
  /// Returns the delta from \p base to the latest document: a JSON patch (RFC
  /// 6902) or a JSON merge patch (RFC 7386), whichever is shorter. Nothing if
  /// \p base is no longer kept.
  std::optional<std::string> deltaFrom(messages::SettingsStamp base);
  /// The latest document, or nullptr.
  const std::shared_ptr<const nlohmann::json> &latest() const { return Latest; }
  std::size_t archivedBytes() const { return ArchivedBytes; }

private:
  struct Entry {
    messages::SettingsStamp Stamp;
    std::string CanonicalText;
  };
  struct Delta {
    messages::SettingsStamp Base;
    std::optional<std::string> Text;
  };

  std::optional<std::string> buildDelta(messages::SettingsStamp base) const;
  void archivePrevious();

  std::size_t MaxArchivedBytes;
  std::size_t ArchivedBytes = 0;
  std::deque<Entry> Archive; ///< Older than Previous, oldest first.
  // The latest two stay parsed, since nearly all peers are one revision behind.
  std::shared_ptr<const nlohmann::json> Previous;
  messages::SettingsStamp PreviousStamp;
  std::shared_ptr<const nlohmann::json> Latest;
  messages::SettingsStamp LatestStamp;
  std::deque<Delta> Deltas; ///< Cache; most peers share a base.
};

} // namespace auburnroute::distribution
