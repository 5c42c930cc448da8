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
  /// \p workers limits the concurrent requests, pending long polls included.
  explicit HttpService(std::size_t workers);
  ~HttpService();
  HttpService(const HttpService &) = delete;
  HttpService &operator=(const HttpService &) = delete;

  /// The server to add routes to. Add them before start().
  httplib::Server &server() { return Server; }
  /// Binds to \p listen and serves until stop() or destruction. Errors:
  /// Unavailable if the endpoint cannot be bound.
  absl::Status start(const common::Endpoint &listen);
  /// Stops serving and joins the thread.
  void stop();

private:
  httplib::Server Server;
  std::thread Thread;
};

} // namespace auburnroute::standins
