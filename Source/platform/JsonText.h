#pragma once

#include <string>
#include <string_view>

namespace auburnroute::platform {

/// Replaces what a JSON parser rejects within the strings of \p text: bytes
/// that are not valid UTF-8 and control characters by '?', and escapes of
/// single surrogates by that of U+FFFD. The rest is unchanged, so that one key
/// with odd bytes does not make a whole answer unreadable.
std::string withValidStrings(std::string_view text);

} // namespace auburnroute::platform
