#pragma once

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace auburnroute::platform {

/// Reads selected members of a JSON text that another process wrote.
///
/// Everything that is not selected is skipped without being stored, so that
/// memory depends on the selected members and not on the depth of the text or
/// the number of its values: a document of nested arrays takes 80 bytes for
/// each byte of text.
class JsonFilter {
public:
  /// Receives one element of the streamed array.
  using ElementHandler = std::function<void(const nlohmann::json &)>;

  /// Values that are stored at the same time. A text of 1 MiB, the size limit
  /// of a value in the registry, stays below it if its members have 8 bytes or
  /// more; 131,072 values take some 16 MB.
  static constexpr std::size_t MaxValues = 131072;

  /// \p paths: the selected values, such as "items" and "items[].key". A value
  /// is only found if the containers around it are selected, too.
  JsonFilter(std::initializer_list<std::string_view> paths) : Paths(paths) {}

  /// The selected members of the object \p text; nullopt if \p text is not an
  /// object, not valid JSON, or has more than MaxValues selected values.
  std::optional<nlohmann::json> read(std::string_view text) const;
  /// Like read(), but passes each value at \p streamedPath, such as "items[]",
  /// to \p onElement instead of storing it. Some may have been passed when the
  /// rest of \p text turns out to be invalid.
  std::optional<nlohmann::json> read(std::string_view text,
                                     std::string_view streamedPath,
                                     const ElementHandler &onElement) const;

private:
  std::vector<std::string_view> Paths;
};

} // namespace auburnroute::platform
