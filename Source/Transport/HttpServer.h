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

/// HTTP server for operators; runs on threads of its own.
class HttpServer {
public:
  using Handler = std::function<common::HttpResponse(const HttpParameters &)>;

  HttpServer();
  ~HttpServer();

  /// Serves GET \p path with bodies of \p contentType. Call before start().
  void serve(const std::string &path, const std::string &contentType,
             Handler handler);
  /// Errors: Unavailable if the address cannot be bound.
  absl::Status start(common::Endpoint address);
  /// Ends the server; handlers are not called afterwards.
  void stop();

private:
  struct Implementation;
  std::unique_ptr<Implementation> Server;
};

} // namespace auburnroute::transport
