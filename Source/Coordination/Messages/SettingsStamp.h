#pragma once

#include <compare>
#include <cstdint>

namespace auburnroute::messages {

/// Identity of a settings document. Documents are ordered by revision, then
/// digest, so that two documents with one revision still have one winner.
struct SettingsStamp {
  std::uint64_t Revision = 0; ///< 0 stands for no settings.
  std::uint64_t Digest = 0;   ///< Hash of the canonical JSON.

  auto operator<=>(const SettingsStamp &) const = default;
};

} // namespace auburnroute::messages
