#include "Transport/HttpClient.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

namespace auburnroute::transport {

namespace {

// Twice the size of the largest value that the platform stores.
constexpr std::size_t MaxBodyBytes = std::size_t{2} * 1024 * 1024;

} // namespace

struct HttpClient::Implementation {
  explicit Implementation(const common::Endpoint &server)
      : Http(common::addressToString(server.Address), server.Port) {}

  httplib::Client Http;
};

HttpClient::HttpClient(common::Endpoint server,
                       std::chrono::milliseconds timeout)
    : Impl(std::make_unique<Implementation>(server)),
      ServerName(common::toString(server)) {
  Impl->Http.set_keep_alive(true);
  Impl->Http.set_tcp_nodelay(true);
  Impl->Http.set_connection_timeout(timeout);
  Impl->Http.set_read_timeout(timeout);
  Impl->Http.set_write_timeout(timeout);
}

HttpClient::~HttpClient() = default;

absl::StatusOr<common::HttpResponse> HttpClient::get(const std::string &path) {
  common::HttpResponse response;
  bool isTooLong = false;
  const auto result =
      Impl->Http.Get(path, [&](const char *data, std::size_t size) {
        isTooLong = response.Body.size() + size > MaxBodyBytes;
        if (!isTooLong)
          response.Body.append(data, size);
        return !isTooLong;
      });
  if (isTooLong)
    return absl::ResourceExhaustedError(absl::StrCat(
        ServerName, path, ": the response body is longer than 2 MB"));
  if (!result)
    return absl::UnavailableError(
        absl::StrCat(ServerName, path, ": no response (",
                     httplib::to_string(result.error()), ")"));
  response.Status = result->status;
  return response;
}

} // namespace auburnroute::transport
