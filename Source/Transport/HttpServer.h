#pragma once

#include "Common/Endpoint.h"
#include "Transport/HttpClient.h"

#include "absl/status/status.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace auburnroute::transport {

/// Query parameters of a request, by name.
using HttpParameters = std::multimap<std::string, std::string>;

/// HTTP server for operator requests. Handlers run on the server's own threads.
class HttpServer {
public:
  /// Answers a request; may be called from several threads at once.
  using Handler = std::function<common::HttpResponse(const HttpParameters &)>;

  HttpServer();
  ~HttpServer();

  /// Registers the handler of GET \p path; its bodies are sent with
  /// \p contentType. Call before start().
  void serve(const std::string &path, const std::string &contentType,
             Handler handler);
  /// Binds \p endpoint and starts serving. Errors: Unavailable if the endpoint
  /// cannot be bound.
  absl::Status start(common::Endpoint endpoint);
  /// Stops the server and waits for its thread; no handler runs afterwards.
  void stop();

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace auburnroute::transport
