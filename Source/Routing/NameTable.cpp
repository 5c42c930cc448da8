#include "Routing/NameTable.h"

#include "absl/strings/ascii.h"

#include <algorithm>

namespace auburnroute::routing {

namespace {

constexpr std::size_t MaxNameBytes = 200; // Limit of the registry for keys.

} // namespace

bool isValidName(std::string_view text) {
  return !text.empty() && text.size() <= MaxNameBytes &&
         std::ranges::all_of(text, [](char ch) {
           return absl::ascii_isalnum(static_cast<unsigned char>(ch)) ||
                  ch == '-' || ch == '_' || ch == '.';
         });
}

} // namespace auburnroute::routing
