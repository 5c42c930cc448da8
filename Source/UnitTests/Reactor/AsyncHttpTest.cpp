#include "Reactor/AsyncHttpClient.h"
#include "Reactor/AsyncHttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace auburnroute;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using common::HttpResponse;
using reactor::AsyncHttpClient;
using reactor::AsyncHttpServer;

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;

/// A port that was free when this function checked.
common::Endpoint freeEndpoint(boost::asio::io_context &loop) {
  tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4(Loopback), 0});
  return {Loopback, acceptor.local_endpoint().port()};
}

/// Sends one request and runs the event loop until its result arrives.
absl::StatusOr<HttpResponse> call(boost::asio::io_context &loop,
                                  AsyncHttpClient &client,
                                  const std::string &target,
                                  std::chrono::milliseconds timeout = 2s) {
  std::optional<absl::StatusOr<HttpResponse>> result;
  client.get(target, timeout, [&](auto it) { result = std::move(it); });
  loop.restart();
  while (!result)
    loop.run_one();
  return *std::move(result);
}

/// Runs the event loop for a while without a request.
void runForAWhile(boost::asio::io_context &loop) {
  boost::asio::steady_timer pause(loop, 50ms);
  pause.async_wait([](auto) {});
  loop.restart();
  loop.run_for(60ms);
}

/// Accepts connections one after the other and answers the requests on each
/// with the next of \p answers; closes the connection after the last one.
class ScriptedServer {
public:
  ScriptedServer(boost::asio::io_context &loop, common::Endpoint address,
                 std::vector<std::string> answers)
      : Acceptor(loop,
                 {boost::asio::ip::address_v4(address.Address), address.Port}),
        Answers(std::move(answers)) {
    accept();
  }

  int connectionCount() const { return Connections; }

private:
  void accept() {
    Acceptor.async_accept([this](auto ec, tcp::socket peer) {
      if (ec)
        return;
      ++Connections;
      Peer.emplace(std::move(peer));
      read();
      accept();
    });
  }
  void read() {
    Peer->async_read_some(boost::asio::buffer(Input), [this](auto ec, auto) {
      if (ec || Next == Answers.size())
        return;
      boost::asio::write(*Peer, boost::asio::buffer(Answers[Next++]));
      if (Next == Answers.size())
        Peer->shutdown(tcp::socket::shutdown_send);
      else
        read();
    });
  }

  tcp::acceptor Acceptor;
  std::vector<std::string> Answers;
  std::size_t Next = 0;
  int Connections = 0;
  std::optional<tcp::socket> Peer;
  std::array<char, 4096> Input{};
};

/// Accepts one connection and answers with \p pieces, with a pause before each.
class SlowServer {
public:
  SlowServer(boost::asio::io_context &loop, common::Endpoint address,
             std::vector<std::string> pieces, std::chrono::milliseconds pause)
      : Acceptor(loop,
                 {boost::asio::ip::address_v4(address.Address), address.Port}),
        Timer(loop), Pieces(std::move(pieces)), Pause(pause) {
    Acceptor.async_accept([this](auto ec, tcp::socket peer) {
      if (ec)
        return;
      Peer.emplace(std::move(peer));
      sendNext();
    });
  }

private:
  void sendNext() {
    if (Next == Pieces.size())
      return;
    Timer.expires_after(Pause);
    Timer.async_wait([this](auto ec) {
      if (ec)
        return;
      boost::asio::async_write(*Peer, boost::asio::buffer(Pieces[Next++]),
                               [this](auto error, auto) {
                                 if (!error)
                                   sendNext();
                               });
    });
  }

  tcp::acceptor Acceptor;
  boost::asio::steady_timer Timer;
  std::vector<std::string> Pieces;
  std::chrono::milliseconds Pause;
  std::size_t Next = 0;
  std::optional<tcp::socket> Peer;
};

std::string answerWith(const std::string &body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AsyncHttpTest)

BOOST_AUTO_TEST_CASE(ConsecutiveRequestsAreAnswered) {
  boost::asio::io_context loop;
  const auto address = freeEndpoint(loop);
  AsyncHttpServer server(loop);
  int calls = 0;
  server.serve("/x", "text/plain", [&](std::string_view) {
    return HttpResponse{200, "call " + std::to_string(++calls)};
  });
  BOOST_REQUIRE(server.listen(address).ok());
  AsyncHttpClient client(loop, address);
  BOOST_TEST(call(loop, client, "/x?a=b")->Body == "call 1");
  BOOST_TEST(call(loop, client, "/x")->Body == "call 2");
  BOOST_TEST(call(loop, client, "/y")->Status == 404U);
}

// Guards against a request that waits forever for a server that never responds,
// and against reuse of that connection for the next request.
BOOST_AUTO_TEST_CASE(TimeoutFailsRequestAndReplacesConnection) {
  boost::asio::io_context loop;
  tcp::acceptor silent(loop, {boost::asio::ip::address_v4(Loopback), 0});
  AsyncHttpClient client(loop, {Loopback, silent.local_endpoint().port()});
  const auto first = call(loop, client, "/x", 50ms);
  BOOST_TEST(!first.ok());
  BOOST_TEST((first.status().code() == absl::StatusCode::kUnavailable));
  BOOST_TEST(!call(loop, client, "/x", 50ms).ok());
  silent.non_blocking(true);
  boost::system::error_code ec;
  int connections = 0;
  for (tcp::socket socket(loop); !silent.accept(socket, ec);
       socket = tcp::socket(loop))
    ++connections;
  BOOST_TEST(connections == 2);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsAnError) {
  boost::asio::io_context loop;
  AsyncHttpClient client(loop, freeEndpoint(loop));
  BOOST_TEST(!call(loop, client, "/x").ok());
}

// Guards against a response body of any size being read into memory.
BOOST_AUTO_TEST_CASE(OversizedBodyIsRejected) {
  boost::asio::io_context loop;
  const auto address = freeEndpoint(loop);
  AsyncHttpServer server(loop);
  server.serve("/x", "text/plain", [](std::string_view) {
    return HttpResponse{200, std::string(std::size_t{5} * 1024 * 1024, 'x')};
  });
  BOOST_REQUIRE(server.listen(address).ok());
  AsyncHttpClient client(loop, address);
  const auto status = call(loop, client, "/x").status();
  BOOST_TEST((status.code() == absl::StatusCode::kResourceExhausted),
             status.message());
}

// Guards against a body without a stated length of any size.
BOOST_AUTO_TEST_CASE(OversizedChunkedBodyIsRejected) {
  for (const std::size_t chunkBytes :
       {std::size_t{5} * 1024 * 1024, std::size_t{512} * 1024}) {
    boost::asio::io_context loop;
    const auto address = freeEndpoint(loop);
    std::vector<std::string> pieces = {
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
    std::ostringstream chunk;
    chunk << std::hex << chunkBytes << "\r\n"
          << std::string(chunkBytes, 'x') << "\r\n";
    pieces.front() += chunk.str();
    for (int i = 0; i < 10; ++i)
      pieces.push_back(chunk.str());
    pieces.push_back("0\r\n\r\n");
    SlowServer server(loop, address, pieces, 1ms);
    AsyncHttpClient client(loop, address);
    const auto status = call(loop, client, "/x").status();
    BOOST_TEST((status.code() == absl::StatusCode::kResourceExhausted),
               status.message());
  }
}

// Guards against a large answer that can never be read over a slow link,
// because the timeout of the request is over before its last byte.
BOOST_AUTO_TEST_CASE(BodyMayArriveAfterTheTimeout) {
  boost::asio::io_context loop;
  const auto address = freeEndpoint(loop);
  SlowServer server(loop, address,
                    {"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n",
                     "0123456789", "0123456789", "0123456789", "0123456789"},
                    100ms);
  AsyncHttpClient client(loop, address);
  const auto response = call(loop, client, "/x", 250ms);
  BOOST_REQUIRE(response.ok());
  BOOST_TEST(response->Body.size() == 40U);
}

// Guards against a request that waits for the rest of a body that was lost.
BOOST_AUTO_TEST_CASE(BodyThatCeasesToArriveIsAnError) {
  boost::asio::io_context loop;
  const auto address = freeEndpoint(loop);
  SlowServer server(
      loop, address,
      {"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n", "0123456789"}, 10ms);
  AsyncHttpClient client(loop, address);
  const auto start = std::chrono::steady_clock::now();
  const auto status = call(loop, client, "/x", 100ms).status();
  BOOST_TEST((status.code() == absl::StatusCode::kUnavailable));
  BOOST_TEST((std::chrono::steady_clock::now() - start < 3s));
}

// Guards against malformed requests that end the server or block other clients.
BOOST_AUTO_TEST_CASE(MalformedRequestsDoNotAffectOtherClients) {
  boost::asio::io_context loop;
  const auto address = freeEndpoint(loop);
  AsyncHttpServer server(loop);
  server.serve("/x", "text/plain", [](std::string_view) {
    return HttpResponse{200, "ok"};
  });
  BOOST_REQUIRE(server.listen(address).ok());
  std::vector<tcp::socket> badClients;
  for (const std::string text :
       {"", "GET", "\r\n\r\n\x01\x02", "POST /x HTTP/1.1\r\n\r\n",
        "GET /x HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n"}) {
    badClients.emplace_back(loop);
    badClients.back().connect(
        {boost::asio::ip::address_v4(address.Address), address.Port});
    boost::asio::write(badClients.back(), boost::asio::buffer(text));
  }
  AsyncHttpClient client(loop, address);
  for (int i = 0; i < 5; ++i)
    BOOST_TEST(call(loop, client, "/x")->Body == "ok");
}

// Guards against idle connections that use up the file descriptors.
BOOST_AUTO_TEST_CASE(ConnectionCountIsLimited) {
  boost::asio::io_context loop;
  const auto address = freeEndpoint(loop);
  AsyncHttpServer server(loop);
  server.serve("/x", "text/plain", [](std::string_view) {
    return HttpResponse{200, "ok"};
  });
  BOOST_REQUIRE(server.listen(address).ok());
  std::vector<tcp::socket> idleClients;
  for (int i = 0; i < 100; ++i) {
    idleClients.emplace_back(loop);
    idleClients.back().connect(
        {boost::asio::ip::address_v4(address.Address), address.Port});
  }
  AsyncHttpClient client(loop, address);
  BOOST_TEST(!call(loop, client, "/x").ok());
  idleClients.clear();
  runForAWhile(loop);
  BOOST_TEST(call(loop, client, "/x").ok());
}

// Guards against large answers to many clients at once that exceed the memory
// of the process: a view may have 3 MiB.
BOOST_AUTO_TEST_CASE(AnswersThatWaitForClientsAreLimited) {
  boost::asio::io_context loop;
  const auto address = freeEndpoint(loop);
  AsyncHttpServer server(loop);
  int handled = 0;
  server.serve("/large", "text/plain", [&](std::string_view) {
    ++handled;
    return HttpResponse{200, std::string(std::size_t{8} * 1024 * 1024, 'x')};
  });
  server.serve("/x", "text/plain", [](std::string_view) {
    return HttpResponse{200, "ok"};
  });
  BOOST_REQUIRE(server.listen(address).ok());
  std::vector<tcp::socket> slowClients;
  for (int i = 0; i < 5; ++i) {
    slowClients.emplace_back(loop);
    slowClients.back().connect(
        {boost::asio::ip::address_v4(address.Address), address.Port});
    boost::asio::write(slowClients.back(),
                       boost::asio::buffer(std::string(
                           "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")));
  }
  runForAWhile(loop);
  AsyncHttpClient client(loop, address);
  BOOST_TEST(call(loop, client, "/x")->Status == 503);
  BOOST_TEST(handled == 2);
  // A client that has gone takes no more memory.
  slowClients.clear();
  runForAWhile(loop);
  BOOST_TEST(call(loop, client, "/x")->Status == 200);
}

// A server that sends an answer twice: the second copy must not be taken for
// the answer to the next request on the connection.
BOOST_AUTO_TEST_CASE(SecondCopyOfAnAnswerIsNotTheNextAnswer) {
  boost::asio::io_context loop;
  const auto address = freeEndpoint(loop);
  ScriptedServer server(
      loop, address,
      {answerWith("first") + answerWith("first"), answerWith("second"), ""});
  AsyncHttpClient client(loop, address);
  BOOST_TEST(call(loop, client, "/a")->Body == "first");
  const auto second = call(loop, client, "/b");
  BOOST_REQUIRE(second.ok());
  BOOST_TEST(second->Body == "second");
  BOOST_TEST(server.connectionCount() == 2);
}

// An answer that breaks off must not look complete, also if the server gave no
// length: a view that lacks half of its servers would make them lapse.
BOOST_AUTO_TEST_CASE(TruncatedAnswersAreErrors) {
  for (const auto *answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
        "\r\n\r\n4\r\nhalf\r\n"}) {
    boost::asio::io_context loop;
    const auto address = freeEndpoint(loop);
    ScriptedServer server(loop, address, {answer});
    AsyncHttpClient client(loop, address);
    BOOST_TEST(!call(loop, client, "/x").ok(), answer);
  }
}

BOOST_AUTO_TEST_SUITE_END()
