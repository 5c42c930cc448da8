#pragma once

#include "Common/Endpoint.h"
#include "Common/HttpResponse.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <memory>
#include <string>

namespace auburnroute::transport {

/// Blocking HTTP client for one server that keeps its connection alive. Not
/// thread-safe.
class HttpClient {
public:
  /// \p timeout limits connecting and each single read and write.
  HttpClient(common::Endpoint server, std::chrono::milliseconds timeout);
  ~HttpClient();

  /// Sends a GET request; any status code counts as a response. Errors:
  /// Unavailable if there is no response, ResourceExhausted if the body is
  /// longer than 2 MB.
  absl::StatusOr<common::HttpResponse> get(const std::string &path);

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
  std::string ServerName;
};

} // namespace auburnroute::transport
