#include "StandIns/TextFile.h"

#include "absl/strings/str_cat.h"

#include <fstream>
#include <sstream>

namespace auburnroute::standins {

absl::StatusOr<std::string> readTextFile(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return absl::NotFoundError(absl::StrCat("cannot read ", path));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace auburnroute::standins
