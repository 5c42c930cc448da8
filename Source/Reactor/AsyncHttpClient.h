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

/// HTTP/1.1 client for one server on an event loop; one call at a time. Keeps
/// its connection, and opens a new one after any failure: a connection on which
/// an answer was lost returns nothing more.
class AsyncHttpClient {
public:
  using Handler = std::function<void(absl::StatusOr<common::HttpResponse>)>;

  AsyncHttpClient(boost::asio::io_context &loop, common::Endpoint server);
  ~AsyncHttpClient();

  /// Calls \p handler once, not from within. Errors: Unavailable, if there is
  /// no whole answer within \p timeout; ResourceExhausted, if the body is
  /// longer than 4 MB. A call that is still under way fails.
  void get(const std::string &target, std::chrono::milliseconds timeout,
           Handler handler);
  /// Ends the call under way, whose handler is not called.
  void cancel();

private:
  class Connection;
  boost::asio::io_context &Loop;
  common::Endpoint Server;
  std::shared_ptr<Connection> ActiveConnection;
};

} // namespace auburnroute::reactor
