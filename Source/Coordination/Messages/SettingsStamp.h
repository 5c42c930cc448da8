#pragma once

#include <compare>
#include <cstdint>

namespace auburnroute::messages {

/// Identifies a settings document. Documents are ordered by revision, then by
/// digest, so that all hosts choose the same one of two documents with equal
/// revisions.
struct SettingsStamp {
  std::uint64_t Revision = 0; ///< 0 stands for no settings.
  std::uint64_t Digest = 0;   ///< Hash of the canonical JSON.

  auto operator<=>(const SettingsStamp &) const = default;
};

} // namespace auburnroute::messages
