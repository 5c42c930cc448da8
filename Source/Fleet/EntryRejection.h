#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburnroute::fleet {

/// Why an entry of the registry is not used. toString() gives the value of the
/// log field "reason".
enum class EntryRejection : std::uint8_t {
  Key,      ///< No server can have its key.
  Encoding, ///< Its value is missing or not valid base64.
  TooLong,  ///< Its value is longer than any entry of a server.
  Syntax,   ///< Its value is not a JSON object.
  Field,    ///< A field is missing, of another type or out of range.
  NoRoom,   ///< The view has reached its size limit.
};

std::string_view toString(EntryRejection why);

/// An entry of the registry that is not used, for the log.
struct RejectedEntry {
  std::string Key;
  std::uint64_t Revision = 0;
  std::size_t Bytes = 0; ///< Length of its value; 0 if that is not known.
  EntryRejection Why = EntryRejection::Key;
};

} // namespace auburnroute::fleet
