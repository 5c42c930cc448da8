#include "Reactor/AsyncHttpClient.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>

namespace auburnroute::reactor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// A page of a list has at most 500 items or 1 MB, and may pass it by one value
/// of 1 MiB. In base64, with 500 keys of 200 bytes in escapes, that is 3.5 MB.
constexpr std::uint64_t MaxBodyBytes = std::uint64_t{4} * 1024 * 1024;
/// Longest time without a byte of a body. A link of 10 Mbit/s, the slowest one,
/// takes 1.1 s for a value of 1 MiB in base64, so the timeout of a request does
/// not hold for its body while it arrives.
constexpr std::chrono::milliseconds MaxBodyPause{500};
/// Longest time for a body, which is that of MaxBodyBytes at 2 Mbit/s.
constexpr std::chrono::seconds MaxBodyTime{16};

} // namespace

/// One TCP connection with at most one pending request. Pending operations hold
/// a reference that keeps it alive.
class AsyncHttpClient::Connection
    : public std::enable_shared_from_this<AsyncHttpClient::Connection> {
public:
  Connection(asio::io_context &loop, common::Endpoint server)
      : Stream(loop), Server(server) {}

  /// Whether the next request can be sent on this connection. Unread bytes
  /// after an answer are no answer to a later request, so the connection that
  /// holds them is not used again.
  bool isReusable() {
    if (OnResult || IsBroken)
      return false;
    beast::error_code ec;
    return Buffer.size() == 0 &&
           (!IsConnected || Stream.socket().available(ec) == 0) && !ec;
  }

  void get(const std::string &target, std::chrono::milliseconds timeout,
           Handler handler) {
    OnResult = std::move(handler);
    Request = {http::verb::get, target, 11};
    Request.set(http::field::host, common::toString(Server));
    Parser.emplace();
    Parser->body_limit(MaxBodyBytes);
    Deadline = Clock::now() + timeout;
    Stream.expires_at(Deadline);
    if (IsConnected) {
      send();
      return;
    }
    const asio::ip::tcp::endpoint to(asio::ip::address_v4(Server.Address),
                                     Server.Port);
    Stream.async_connect(to, [self = shared_from_this()](auto ec) {
      if (ec)
        return self->fail("connect", ec);
      self->IsConnected = true;
      beast::error_code ignored; // Without it, small requests are only delayed.
      self->Stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
      self->send();
    });
  }

  void close() {
    OnResult = nullptr;
    IsBroken = true;
    Stream.close();
  }

private:
  using Clock = std::chrono::steady_clock;

  void send() {
    http::async_write(Stream, Request,
                      [self = shared_from_this()](auto ec, std::size_t) {
                        if (ec)
                          return self->fail("send", ec);
                        self->receive();
                      });
  }

  void receive() {
    http::async_read_header(Stream, Buffer, *Parser,
                            [self = shared_from_this()](auto ec, std::size_t) {
                              // Beast 1.74 drops the body_limit error if part
                              // of the body arrived with the header, so the
                              // length is checked here as well.
                              const auto length =
                                  self->Parser->content_length();
                              if (!ec && length && *length > MaxBodyBytes)
                                ec = http::error::body_limit;
                              // The end of the connection would be the only
                              // sign that the body is complete.
                              if (!ec && self->Parser->need_eof())
                                ec = http::error::need_more;
                              if (ec)
                                return self->fail("receive", ec);
                              self->BodyDeadline = Clock::now() + MaxBodyTime;
                              self->receiveBody();
                            });
  }

  void receiveBody() {
    if (Parser->is_done())
      return handleResponse();
    Stream.expires_at(std::clamp(Clock::now() + MaxBodyPause, Deadline,
                                 std::max(Deadline, BodyDeadline)));
    http::async_read_some(Stream, Buffer, *Parser,
                          [self = shared_from_this()](auto ec, std::size_t) {
                            if (ec)
                              return self->fail("receive", ec);
                            self->receiveBody();
                          });
  }

  void handleResponse() {
    Stream.expires_never();
    auto answer = Parser->release();
    if (!answer.keep_alive())
      markBroken();
    common::HttpResponse response{
        static_cast<int>(answer.result_int()), std::move(answer.body()), {}};
    for (const auto &it : answer)
      response.Headers.emplace_back(
          absl::AsciiStrToLower(
              {it.name_string().data(), it.name_string().size()}),
          std::string(it.value()));
    complete(std::move(response));
  }

  void fail(const char *step, beast::error_code ec) {
    markBroken();
    const auto text = absl::StrCat(common::toString(Server), ": cannot ", step,
                                   ": ", ec.message());
    complete(ec == http::error::body_limit ? absl::ResourceExhaustedError(text)
                                           : absl::UnavailableError(text));
  }

  void markBroken() {
    IsBroken = true;
    Stream.close();
  }

  void complete(absl::StatusOr<common::HttpResponse> result) {
    if (const auto handler = std::exchange(OnResult, nullptr))
      handler(std::move(result));
  }

  beast::tcp_stream Stream;
  common::Endpoint Server;
  http::request<http::empty_body> Request;
  beast::flat_buffer Buffer;
  std::optional<http::response_parser<http::string_body>> Parser;
  Handler OnResult;
  Clock::time_point Deadline;
  Clock::time_point BodyDeadline;
  bool IsConnected = false;
  bool IsBroken = false;
};

AsyncHttpClient::AsyncHttpClient(asio::io_context &loop,
                                 common::Endpoint server)
    : Loop(loop), Server(server) {}

AsyncHttpClient::~AsyncHttpClient() { cancel(); }

void AsyncHttpClient::get(const std::string &target,
                          std::chrono::milliseconds timeout, Handler handler) {
  if (ActiveConnection && !ActiveConnection->isReusable())
    cancel();
  if (!ActiveConnection)
    ActiveConnection = std::make_shared<Connection>(Loop, Server);
  ActiveConnection->get(target, timeout, std::move(handler));
}

void AsyncHttpClient::cancel() {
  if (ActiveConnection)
    ActiveConnection->close();
  ActiveConnection.reset();
}

} // namespace auburnroute::reactor
