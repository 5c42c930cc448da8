#include "Reactor/AsyncHttpClient.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace auburnroute::reactor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// A list of 500 entries of 1 KB, encoded as base64, with room to spare.
constexpr std::uint64_t MaxBodyBytes = std::uint64_t{4} * 1024 * 1024;

} // namespace

/// One TCP connection with at most one call under way. Keeps itself alive while
/// an operation is pending.
class AsyncHttpClient::Connection
    : public std::enable_shared_from_this<AsyncHttpClient::Connection> {
public:
  Connection(asio::io_context &loop, common::Endpoint server)
      : Stream(loop), Server(server) {}

  bool isIdle() const { return !OnDone && !Broken; }

  void get(const std::string &target, std::chrono::milliseconds timeout,
           Handler handler) {
    OnDone = std::move(handler);
    Request = {http::verb::get, target, 11};
    Request.set(http::field::host, common::toString(Server));
    Parser.emplace();
    Parser->body_limit(MaxBodyBytes);
    Stream.expires_after(timeout);
    if (Connected) {
      send();
      return;
    }
    const asio::ip::tcp::endpoint to(asio::ip::address_v4(Server.Address),
                                     Server.Port);
    Stream.async_connect(to, [self = shared_from_this()](auto ec) {
      if (ec)
        return self->fail("connect", ec);
      self->Connected = true;
      beast::error_code ignored; // Only delays small requests.
      self->Stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
      self->send();
    });
  }

  void close() {
    OnDone = nullptr;
    Broken = true;
    Stream.close();
  }

private:
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
                              // Beast 1.74 loses this error when more of the
                              // answer is there, so the length is checked here
                              // as well.
                              const auto length =
                                  self->Parser->content_length();
                              if (!ec && length && *length > MaxBodyBytes)
                                ec = http::error::body_limit;
                              if (ec)
                                return self->fail("receive", ec);
                              self->receiveBody();
                            });
  }

  void receiveBody() {
    http::async_read(Stream, Buffer, *Parser,
                     [self = shared_from_this()](auto ec, std::size_t) {
                       if (ec)
                         return self->fail("receive", ec);
                       self->done();
                     });
  }

  void done() {
    Stream.expires_never();
    auto answer = Parser->release();
    if (!answer.keep_alive())
      breakUp();
    finish(common::HttpResponse{static_cast<int>(answer.result_int()),
                                std::move(answer.body())});
  }

  void fail(const char *step, beast::error_code ec) {
    breakUp();
    const auto text = absl::StrCat(common::toString(Server), ": cannot ", step,
                                   ": ", ec.message());
    finish(ec == http::error::body_limit ? absl::ResourceExhaustedError(text)
                                         : absl::UnavailableError(text));
  }

  void breakUp() {
    Broken = true;
    Stream.close();
  }

  void finish(absl::StatusOr<common::HttpResponse> result) {
    if (const auto handler = std::exchange(OnDone, nullptr))
      handler(std::move(result));
  }

  beast::tcp_stream Stream;
  common::Endpoint Server;
  http::request<http::empty_body> Request;
  beast::flat_buffer Buffer;
  std::optional<http::response_parser<http::string_body>> Parser;
  Handler OnDone;
  bool Connected = false;
  bool Broken = false;
};

AsyncHttpClient::AsyncHttpClient(asio::io_context &loop,
                                 common::Endpoint server)
    : Loop(loop), Server(server) {}

AsyncHttpClient::~AsyncHttpClient() { cancel(); }

void AsyncHttpClient::get(const std::string &target,
                          std::chrono::milliseconds timeout, Handler handler) {
  if (Current && !Current->isIdle())
    cancel();
  if (!Current)
    Current = std::make_shared<Connection>(Loop, Server);
  Current->get(target, timeout, std::move(handler));
}

void AsyncHttpClient::cancel() {
  if (Current)
    Current->close();
  Current.reset();
}

} // namespace auburnroute::reactor
