#include "Reactor/AsyncHttpClient.h"
#include "Reactor/AsyncHttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

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
  boost::asio::steady_timer pause(loop, 50ms);
  pause.async_wait([](auto) {});
  loop.restart();
  loop.run_for(60ms);
  BOOST_TEST(call(loop, client, "/x").ok());
}

BOOST_AUTO_TEST_SUITE_END()
