#pragma once

#include <string>

namespace auburnroute::common {

/// Answer of an HTTP server.
struct HttpResponse {
  int Status = 0;
  std::string Body;
};

} // namespace auburnroute::common
