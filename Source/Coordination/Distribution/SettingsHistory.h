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
  explicit SettingsHistory(std::size_t maxBytes) : MaxBytes(maxBytes) {}

  /// Adds the document that is in force now.
  void add(messages::SettingsStamp stamp,
           std::shared_ptr<const nlohmann::json> document);
  /// What turns \p base into the last document, as text: a JSON patch (RFC
  /// 6902) or a JSON merge patch (RFC 7386), whichever is shorter. Nothing if
  /// the base is gone.
  std::optional<std::string> patchFrom(messages::SettingsStamp base);
  /// The last document, or nullptr.
  const std::shared_ptr<const nlohmann::json> &last() const { return Last; }
  std::size_t bytes() const { return Bytes; }

private:
  struct Entry {
    messages::SettingsStamp Stamp;
    std::string Canonical;
  };
  struct Patch {
    messages::SettingsStamp Base;
    std::optional<std::string> Text;
  };

  std::optional<std::string> build(messages::SettingsStamp base) const;
  void keepText();

  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::deque<Entry> Entries; ///< Older than Previous, oldest first.
  // The last two are kept as parsed, since nearly all peers are one behind.
  std::shared_ptr<const nlohmann::json> Previous;
  messages::SettingsStamp PreviousStamp;
  std::shared_ptr<const nlohmann::json> Last;
  messages::SettingsStamp LastStamp;
  std::deque<Patch> Patches; ///< To the last document; most peers share a base.
};

} // namespace auburnroute::distribution
