#include "StandIns/HttpService.h"

#include "absl/strings/str_cat.h"

#include <chrono>

namespace auburnroute::standins {

namespace {

constexpr int MaxStartChecks = 1000;
constexpr std::chrono::milliseconds StartCheckInterval{1};

} // namespace

HttpService::HttpService(std::size_t workers) {
  Server.new_task_queue = [workers] {
    return new httplib::ThreadPool(workers);
  };
  // A keep-alive connection occupies a worker, so clients that poll would
  // exhaust the pool.
  Server.set_keep_alive_max_count(1);
  Server.set_read_timeout(std::chrono::seconds(2));
}

HttpService::~HttpService() { stop(); }

absl::Status HttpService::start(const common::Endpoint &listen) {
  const auto text = common::toString(listen);
  const auto address = text.substr(0, text.rfind(':'));
  if (!Server.bind_to_port(address, listen.Port))
    return absl::UnavailableError(absl::StrCat("cannot listen on ", text));
  Thread = std::thread([this] { Server.listen_after_bind(); });
  return absl::OkStatus();
}

void HttpService::stop() {
  if (!Thread.joinable())
    return;
  // stop() has no effect before the accept loop runs.
  for (int i = 0; i < MaxStartChecks && !Server.is_running(); ++i)
    std::this_thread::sleep_for(StartCheckInterval);
  Server.stop();
  Thread.join();
}

} // namespace auburnroute::standins
