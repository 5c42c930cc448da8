#pragma once

#include "Common/Endpoint.h"
#include "Reactor/AsyncHttpClient.h"

#include "absl/status/status.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace auburnroute::reactor {

/// HTTP/1.1 server for GET requests. Runs on the thread of its event loop.
class AsyncHttpServer {
public:
  /// Called with the query, the part of the request target after '?'.
  using Handler = std::function<common::HttpResponse(std::string_view query)>;

  explicit AsyncHttpServer(boost::asio::io_context &loop);
  ~AsyncHttpServer();

  /// Registers \p handler for GET \p path. Unregistered paths get 404, other
  /// methods 405.
  void serve(const std::string &path, const std::string &contentType,
             Handler handler);
  /// Starts to accept connections. Errors: Unavailable if the address cannot be
  /// bound.
  absl::Status listen(common::Endpoint address);

private:
  struct PathHandler {
    std::string ContentType;
    Handler Handle;
  };
  /// What the connections take together.
  struct Load {
    std::size_t Sessions = 0;
    std::size_t WaitingBytes = 0; ///< Of answers that are not sent yet.
  };
  class Session;
  class Listener;
  using PathHandlers = std::map<std::string, PathHandler, std::less<>>;

  boost::asio::io_context &Loop;
  std::shared_ptr<PathHandlers> Handlers;
  std::shared_ptr<Load> ServerLoad;
  std::shared_ptr<Listener> ActiveListener;
};

} // namespace auburnroute::reactor
