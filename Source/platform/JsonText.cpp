#include "platform/JsonText.h"

#include "Common/Text.h"

#include "absl/strings/numbers.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace auburnroute::platform {

namespace {

/// Length of the valid UTF-8 sequence at the start of \p text; 0 if there is
/// none (RFC 3629, section 4).
std::size_t sequenceLength(std::string_view text) {
  struct Lead {
    unsigned char First;
    unsigned char Last;
    std::size_t Length;
    unsigned char MinSecond;
    unsigned char MaxSecond;
  };
  static constexpr std::array<Lead, 9> Leads{{{0x00, 0x7f, 1, 0, 0},
                                              {0xc2, 0xdf, 2, 0x80, 0xbf},
                                              {0xe0, 0xe0, 3, 0xa0, 0xbf},
                                              {0xe1, 0xec, 3, 0x80, 0xbf},
                                              {0xed, 0xed, 3, 0x80, 0x9f},
                                              {0xee, 0xef, 3, 0x80, 0xbf},
                                              {0xf0, 0xf0, 4, 0x90, 0xbf},
                                              {0xf1, 0xf3, 4, 0x80, 0xbf},
                                              {0xf4, 0xf4, 4, 0x80, 0x8f}}};
  const auto byteAt = [&](std::size_t i) {
    return static_cast<unsigned char>(text[i]);
  };
  const auto first = byteAt(0);
  const auto lead = std::ranges::find_if(Leads, [&](const Lead &it) {
    return first >= it.First && first <= it.Last;
  });
  if (lead == Leads.end() || text.size() < lead->Length)
    return 0;
  if (lead->Length > 1 &&
      (byteAt(1) < lead->MinSecond || byteAt(1) > lead->MaxSecond))
    return 0;
  for (std::size_t i = 2; i < lead->Length; ++i)
    if (byteAt(i) < 0x80 || byteAt(i) > 0xbf)
      return 0;
  return lead->Length;
}

/// The code unit of the escape "\uXXXX" at the start of \p text; 0 if there is
/// none.
std::uint32_t escapedUnit(std::string_view text) {
  std::uint32_t unit = 0;
  if (text.size() < 6 || !text.starts_with("\\u") ||
      !absl::SimpleHexAtoi(common::toAbsl(text.substr(2, 4)), &unit))
    return 0;
  return unit;
}

bool isHighSurrogate(std::uint32_t unit) {
  return unit >= 0xd800 && unit <= 0xdbff;
}
bool isLowSurrogate(std::uint32_t unit) {
  return unit >= 0xdc00 && unit <= 0xdfff;
}

} // namespace

std::string withValidStrings(std::string_view text) {
  constexpr std::size_t UnitLength = 6; // \uXXXX
  std::string out;
  out.reserve(text.size());
  bool isInString = false;
  while (!text.empty()) {
    std::size_t n = 1;
    if (isInString && text.front() == '\\') {
      const auto unit = escapedUnit(text);
      if (isHighSurrogate(unit) &&
          isLowSurrogate(escapedUnit(text.substr(UnitLength)))) {
        n = 2 * UnitLength;
      } else if (isHighSurrogate(unit) || isLowSurrogate(unit)) {
        out.append("\\ufffd");
        text.remove_prefix(UnitLength);
        continue;
      } else {
        n = std::min<std::size_t>(2, text.size());
      }
    } else if (text.front() == '"') {
      isInString = !isInString;
    } else if (isInString) {
      n = sequenceLength(text);
      if (n == 0 || static_cast<unsigned char>(text.front()) < 0x20) {
        out.push_back('?');
        text.remove_prefix(1);
        continue;
      }
    }
    out.append(text.substr(0, n));
    text.remove_prefix(n);
  }
  return out;
}

} // namespace auburnroute::platform
