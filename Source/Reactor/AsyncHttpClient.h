#pragma once

#include "Common/Endpoint.h"
#include "Common/HttpResponse.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace auburnroute::reactor {

/// HTTP/1.1 client for one server, with at most one request at a time. Runs on
/// the thread of its event loop. The connection is reused until a request
/// fails: after a lost response no further one can be expected on it.
class AsyncHttpClient {
public:
  using Handler = std::function<void(absl::StatusOr<common::HttpResponse>)>;

  AsyncHttpClient(boost::asio::io_context &loop, common::Endpoint server);
  ~AsyncHttpClient();

  /// Sends GET \p target. \p handler is called once, unless the request is
  /// cancelled, and never from within this function. A pending request is
  /// cancelled first. Errors passed to the handler: Unavailable if no response
  /// arrives within \p timeout, or its body then ceases to arrive for 500 ms or
  /// takes longer than 16 s; ResourceExhausted if the body exceeds 4 MiB.
  void get(const std::string &target, std::chrono::milliseconds timeout,
           Handler handler);
  /// Cancels the pending request; its handler is not called.
  void cancel();

private:
  class Connection;
  boost::asio::io_context &Loop;
  common::Endpoint Server;
  std::shared_ptr<Connection> ActiveConnection;
};

} // namespace auburnroute::reactor
