#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnroute::common {

/// Status and body of an HTTP response.
struct HttpResponse {
  static constexpr int Ok = 200;
  static constexpr int Gone = 410;
  static constexpr int Unavailable = 503;

  int Status = 0;
  std::string Body;
  /// Name, in lower case, and value of each header field.
  std::vector<std::pair<std::string, std::string>> Headers{};

  /// Value of the header field \p name, which is in lower case, or nullptr.
  const std::string *header(std::string_view name) const {
    for (const auto &it : Headers)
      if (it.first == name)
        return &it.second;
    return nullptr;
  }
};

} // namespace auburnroute::common
