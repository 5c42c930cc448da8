#pragma once

#include "Common/Endpoint.h"
#include "Common/HttpResponse.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <memory>
#include <string>

namespace auburnroute::transport {

/// HTTP client for one server; keeps its connection. Used from one thread.
class HttpClient {
public:
  /// \p timeout bounds connecting and each wait for bytes.
  HttpClient(common::Endpoint server, std::chrono::milliseconds timeout);
  ~HttpClient();

  /// Errors: Unavailable if there is no answer, ResourceExhausted if the body
  /// is longer than 2 MB.
  absl::StatusOr<common::HttpResponse> get(const std::string &path);

private:
  struct Implementation;
  std::unique_ptr<Implementation> Client;
  std::string Name;
};

} // namespace auburnroute::transport
