#include "Transport/HttpServer.h"

#include "absl/strings/str_cat.h"

#include <cerrno>
#include <cstring>
#include <thread>

#include <httplib.h>

namespace auburnroute::transport {

struct HttpServer::Implementation {
  httplib::Server Http;
  std::thread Thread;
};

HttpServer::HttpServer() : Impl(std::make_unique<Implementation>()) {
  // Operators send few requests; httplib's default of one thread per core would
  // be wasted.
  Impl->Http.new_task_queue = [] { return new httplib::ThreadPool(2); };
  Impl->Http.set_keep_alive_max_count(1000);
  // httplib sets SO_REUSEPORT by default, with which binding a port that
  // another process uses succeeds.
  Impl->Http.set_socket_options([](socket_t socket) {
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::serve(const std::string &path, const std::string &contentType,
                       Handler handler) {
  Impl->Http.Get(
      path, [contentType, handler = std::move(handler)](
                const httplib::Request &request, httplib::Response &response) {
        const auto result = handler(request.params);
        response.status = result.Status;
        response.set_content(result.Body, contentType);
      });
}

absl::Status HttpServer::start(common::Endpoint endpoint) {
  if (!Impl->Http.bind_to_port(common::addressToString(endpoint.Address),
                               endpoint.Port))
    return absl::UnavailableError(absl::StrCat("cannot bind TCP ",
                                               common::toString(endpoint), ": ",
                                               std::strerror(errno)));
  Impl->Thread = std::thread([this] { Impl->Http.listen_after_bind(); });
  // httplib ignores stop() until the server is running.
  while (!Impl->Http.is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  return absl::OkStatus();
}

void HttpServer::stop() {
  if (!Impl->Thread.joinable())
    return;
  Impl->Http.stop();
  Impl->Thread.join();
}

} // namespace auburnroute::transport
