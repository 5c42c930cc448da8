#include "Transport/HttpClient.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

namespace auburnroute::transport {

namespace {

// Twice the largest value that the platform holds.
constexpr std::size_t MaxBodyBytes = std::size_t{2} * 1024 * 1024;

std::string hostOf(const common::Endpoint &server) {
  const auto text = common::toString(server);
  return text.substr(0, text.rfind(':'));
}

} // namespace

struct HttpClient::Implementation {
  explicit Implementation(const common::Endpoint &server)
      : Http(hostOf(server), server.Port) {}

  httplib::Client Http;
};

HttpClient::HttpClient(common::Endpoint server,
                       std::chrono::milliseconds timeout)
    : Client(std::make_unique<Implementation>(server)),
      Name(common::toString(server)) {
  Client->Http.set_keep_alive(true);
  Client->Http.set_tcp_nodelay(true);
  Client->Http.set_connection_timeout(timeout);
  Client->Http.set_read_timeout(timeout);
  Client->Http.set_write_timeout(timeout);
}

HttpClient::~HttpClient() = default;

absl::StatusOr<common::HttpResponse> HttpClient::get(const std::string &path) {
  common::HttpResponse response;
  bool tooLong = false;
  const auto result =
      Client->Http.Get(path, [&](const char *data, std::size_t n) {
        tooLong = response.Body.size() + n > MaxBodyBytes;
        if (!tooLong)
          response.Body.append(data, n);
        return !tooLong;
      });
  if (tooLong)
    return absl::ResourceExhaustedError(
        absl::StrCat(Name, path, ": the answer is longer than 2 MB"));
  if (!result)
    return absl::UnavailableError(absl::StrCat(
        Name, path, ": no answer (", httplib::to_string(result.error()), ")"));
  response.Status = result->status;
  return response;
}

} // namespace auburnroute::transport
