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

HttpServer::HttpServer() : Server(std::make_unique<Implementation>()) {
  // Operators ask rarely; the default of one thread a core is not needed.
  Server->Http.new_task_queue = [] { return new httplib::ThreadPool(2); };
  Server->Http.set_keep_alive_max_count(1000);
  // The default shares the port between processes, which would hide that the
  // port is taken.
  Server->Http.set_socket_options([](socket_t socket) {
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::serve(const std::string &path, const std::string &contentType,
                       Handler handler) {
  Server->Http.Get(
      path, [contentType, handler = std::move(handler)](
                const httplib::Request &request, httplib::Response &response) {
        const auto answer = handler(request.params);
        response.status = answer.Status;
        response.set_content(answer.Body, contentType);
      });
}

absl::Status HttpServer::start(common::Endpoint address) {
  const auto text = common::toString(address);
  if (!Server->Http.bind_to_port(text.substr(0, text.rfind(':')), address.Port))
    return absl::UnavailableError(
        absl::StrCat("cannot bind TCP ", text, ": ", std::strerror(errno)));
  Server->Thread = std::thread([this] { Server->Http.listen_after_bind(); });
  // stop() has no effect before the server runs.
  while (!Server->Http.is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  return absl::OkStatus();
}

void HttpServer::stop() {
  if (!Server->Thread.joinable())
    return;
  Server->Http.stop();
  Server->Thread.join();
}

} // namespace auburnroute::transport
