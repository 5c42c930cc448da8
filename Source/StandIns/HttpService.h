#pragma once

#include "Common/Endpoint.h"

#include "absl/status/status.h"

#include <httplib.h>

#include <cstddef>
#include <thread>

namespace auburnroute::standins {

/// An HTTP server on a thread of its own.
class HttpService {
public:
  /// \p workers bounds the requests that are handled at once, pending watches
  /// included.
  explicit HttpService(std::size_t workers);
  ~HttpService();
  HttpService(const HttpService &) = delete;
  HttpService &operator=(const HttpService &) = delete;

  /// For routes; add them before start().
  httplib::Server &server() { return Server; }
  /// Binds and serves until destruction. Errors: Unavailable if the endpoint
  /// cannot be bound.
  absl::Status start(const common::Endpoint &listen);
  /// Stops serving and joins the thread.
  void stop();

private:
  httplib::Server Server;
  std::thread Thread;
};

} // namespace auburnroute::standins
