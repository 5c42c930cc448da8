#include "Common/Files.h"

#include "absl/strings/str_cat.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace auburnroute::common {

absl::StatusOr<std::string> readFile(const std::string &name) {
  std::ifstream file(name, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return absl::NotFoundError(
        absl::StrCat(name, ": cannot be read: ", std::strerror(errno)));
  return text.str();
}

} // namespace auburnroute::common
