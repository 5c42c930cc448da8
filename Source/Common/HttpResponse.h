#pragma once

#include <string>

namespace auburnroute::common {

/// Status and body of an HTTP response.
struct HttpResponse {
  static constexpr int Ok = 200;
  static constexpr int Gone = 410;
  static constexpr int Unavailable = 503;

  int Status = 0;
  std::string Body;
};

} // namespace auburnroute::common
