#include "Reactor/AsyncHttpServer.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace auburnroute::reactor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::uint32_t MaxHeaderBytes = 8192;
/// Idle connections are closed after this time. The routers send a request
/// twice a second, so theirs stay open.
constexpr std::chrono::seconds IdleTimeout{30};
/// Limit of concurrent connections, which bounds memory and file descriptors.
/// Further connections are closed when they are accepted.
constexpr std::size_t MaxConnections = 64;
/// Limit of the answers that wait for their clients, in bytes; one may exceed
/// it. Further requests get status 503. A view has at most 3 MiB, and after a
/// loss of power many hosts fetch one at the same time.
constexpr std::size_t MaxWaitingBytes = std::size_t{16} * 1024 * 1024;
/// Delay after a failed accept, for example when file descriptors run out.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

} // namespace

/// One client connection. Pending operations hold a reference that keeps it
/// alive.
class AsyncHttpServer::Session
    : public std::enable_shared_from_this<AsyncHttpServer::Session> {
public:
  Session(tcp::socket socket, std::shared_ptr<PathHandlers> handlers,
          std::shared_ptr<Load> load)
      : Stream(std::move(socket)), Handlers(std::move(handlers)),
        ServerLoad(std::move(load)) {
    ++ServerLoad->Sessions;
  }
  ~Session() {
    --ServerLoad->Sessions;
    releaseBody();
  }

  void readRequest() {
    Parser.emplace();
    Parser->header_limit(MaxHeaderBytes);
    Parser->body_limit(std::uint64_t{0});
    Stream.expires_after(IdleTimeout);
    http::async_read(Stream, Buffer, *Parser,
                     [self = shared_from_this()](auto ec, std::size_t) {
                       // On an error (closed, idle or malformed request) the
                       // connection is dropped.
                       if (!ec)
                         self->respond();
                     });
  }

private:
  void respond() {
    const auto &request = Parser->get();
    const auto target = request.target();
    const auto queryMark = std::min(target.find('?'), target.size());
    const std::string path(target.substr(0, queryMark));
    const std::string query(
        target.substr(std::min(queryMark + 1, target.size())));
    Response = {};
    Response.version(request.version());
    Response.keep_alive(request.keep_alive());
    const auto it = Handlers->find(path);
    if (request.method() != http::verb::get) {
      Response.result(http::status::method_not_allowed);
    } else if (it == Handlers->end()) {
      Response.result(http::status::not_found);
    } else if (ServerLoad->WaitingBytes >= MaxWaitingBytes) {
      Response.result(http::status::service_unavailable);
    } else {
      auto result = it->second.Handle(query);
      Response.result(result.Status);
      Response.set(http::field::content_type, it->second.ContentType);
      Response.body() = std::move(result.Body);
      ServerLoad->WaitingBytes += Response.body().size();
    }
    Response.prepare_payload();
    http::async_write(Stream, Response,
                      [self = shared_from_this()](auto ec, std::size_t) {
                        self->releaseBody();
                        if (!ec && self->Response.keep_alive())
                          self->readRequest();
                      });
  }

  void releaseBody() {
    ServerLoad->WaitingBytes -= Response.body().size();
    Response.body() = {};
  }

  beast::tcp_stream Stream;
  std::shared_ptr<PathHandlers> Handlers;
  std::shared_ptr<Load> ServerLoad;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::empty_body>> Parser;
  http::response<http::string_body> Response;
};

/// The listening socket. Pending operations hold a reference that keeps it
/// alive.
class AsyncHttpServer::Listener
    : public std::enable_shared_from_this<AsyncHttpServer::Listener> {
public:
  Listener(asio::io_context &loop, std::shared_ptr<PathHandlers> handlers,
           std::shared_ptr<Load> load)
      : Acceptor(loop), RetryTimer(loop), Handlers(std::move(handlers)),
        ServerLoad(std::move(load)) {}

  absl::Status open(common::Endpoint address) {
    const tcp::endpoint at(asio::ip::address_v4(address.Address), address.Port);
    beast::error_code ec;
    Acceptor.open(tcp::v4(), ec);
    if (!ec)
      Acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
      Acceptor.bind(at, ec);
    if (!ec)
      Acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
      return absl::UnavailableError(absl::StrCat(
          "cannot listen on ", common::toString(address), ": ", ec.message()));
    accept();
    return absl::OkStatus();
  }

  void close() {
    IsClosed = true;
    RetryTimer.cancel();
    Acceptor.close();
  }

private:
  void accept() {
    Acceptor.async_accept([self = shared_from_this()](auto ec, auto socket) {
      if (self->IsClosed)
        return;
      if (ec)
        return self->retryAcceptLater();
      if (self->ServerLoad->Sessions < MaxConnections)
        std::make_shared<Session>(std::move(socket), self->Handlers,
                                  self->ServerLoad)
            ->readRequest();
      self->accept();
    });
  }

  void retryAcceptLater() {
    RetryTimer.expires_after(AcceptRetryDelay);
    RetryTimer.async_wait([self = shared_from_this()](auto ec) {
      if (!ec && !self->IsClosed)
        self->accept();
    });
  }

  tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  std::shared_ptr<PathHandlers> Handlers;
  std::shared_ptr<Load> ServerLoad;
  bool IsClosed = false;
};

AsyncHttpServer::AsyncHttpServer(asio::io_context &loop)
    : Loop(loop), Handlers(std::make_shared<PathHandlers>()),
      ServerLoad(std::make_shared<Load>()) {}

AsyncHttpServer::~AsyncHttpServer() {
  if (ActiveListener)
    ActiveListener->close();
}

void AsyncHttpServer::serve(const std::string &path,
                            const std::string &contentType, Handler handler) {
  (*Handlers)[path] = {contentType, std::move(handler)};
}

absl::Status AsyncHttpServer::listen(common::Endpoint address) {
  ActiveListener = std::make_shared<Listener>(Loop, Handlers, ServerLoad);
  return ActiveListener->open(address);
}

} // namespace auburnroute::reactor
