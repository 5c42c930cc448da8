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

/// A port that was free a moment ago.
common::Endpoint freeEndpoint(boost::asio::io_context &loop) {
  tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4(Loopback), 0});
  return {Loopback, acceptor.local_endpoint().port()};
}

/// The result of one call; runs the loop until it is there.
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

BOOST_AUTO_TEST_CASE(AnswersComeOverOneConnection) {
  boost::asio::io_context loop;
  const auto at = freeEndpoint(loop);
  AsyncHttpServer server(loop);
  int calls = 0;
  server.serve("/x", "text/plain", [&](std::string_view) {
    return HttpResponse{200, "call " + std::to_string(++calls)};
  });
  BOOST_REQUIRE(server.listen(at).ok());
  AsyncHttpClient client(loop, at);
  BOOST_TEST(call(loop, client, "/x?a=b")->Body == "call 1");
  BOOST_TEST(call(loop, client, "/x")->Body == "call 2");
  BOOST_TEST(call(loop, client, "/y")->Status == 404U);
}

// Guards against a call that hangs on a connection which says nothing, and
// against the use of that connection for the next call.
BOOST_AUTO_TEST_CASE(ASilentServerTimesOut) {
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

BOOST_AUTO_TEST_CASE(ARefusedConnectionIsAnError) {
  boost::asio::io_context loop;
  AsyncHttpClient client(loop, freeEndpoint(loop));
  BOOST_TEST(!call(loop, client, "/x").ok());
}

// Guards against memory that an endless answer takes.
BOOST_AUTO_TEST_CASE(ATooLongBodyIsRefused) {
  boost::asio::io_context loop;
  const auto at = freeEndpoint(loop);
  AsyncHttpServer server(loop);
  server.serve("/x", "text/plain", [](std::string_view) {
    return HttpResponse{200, std::string(std::size_t{5} * 1024 * 1024, 'x')};
  });
  BOOST_REQUIRE(server.listen(at).ok());
  AsyncHttpClient client(loop, at);
  const auto status = call(loop, client, "/x").status();
  BOOST_TEST((status.code() == absl::StatusCode::kResourceExhausted),
             status.message());
}

// Guards against garbage that ends the server or blocks it for others.
BOOST_AUTO_TEST_CASE(GarbageClosesItsConnectionOnly) {
  boost::asio::io_context loop;
  const auto at = freeEndpoint(loop);
  AsyncHttpServer server(loop);
  server.serve("/x", "text/plain", [](std::string_view) {
    return HttpResponse{200, "ok"};
  });
  BOOST_REQUIRE(server.listen(at).ok());
  std::vector<tcp::socket> rude;
  for (const std::string text :
       {"", "GET", "\r\n\r\n\x01\x02", "POST /x HTTP/1.1\r\n\r\n",
        "GET /x HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n"}) {
    rude.emplace_back(loop);
    rude.back().connect({boost::asio::ip::address_v4(at.Address), at.Port});
    boost::asio::write(rude.back(), boost::asio::buffer(text));
  }
  AsyncHttpClient client(loop, at);
  for (int i = 0; i < 5; ++i)
    BOOST_TEST(call(loop, client, "/x")->Body == "ok");
}

// Guards against descriptors that idle connections use up.
BOOST_AUTO_TEST_CASE(ConnectionsAreBounded) {
  boost::asio::io_context loop;
  const auto at = freeEndpoint(loop);
  AsyncHttpServer server(loop);
  server.serve("/x", "text/plain", [](std::string_view) {
    return HttpResponse{200, "ok"};
  });
  BOOST_REQUIRE(server.listen(at).ok());
  std::vector<tcp::socket> idle;
  for (int i = 0; i < 100; ++i) {
    idle.emplace_back(loop);
    idle.back().connect({boost::asio::ip::address_v4(at.Address), at.Port});
  }
  AsyncHttpClient client(loop, at);
  BOOST_TEST(!call(loop, client, "/x").ok());
  idle.clear();
  boost::asio::steady_timer pause(loop, 50ms);
  pause.async_wait([](auto) {});
  loop.restart();
  loop.run_for(60ms);
  BOOST_TEST(call(loop, client, "/x").ok());
}

BOOST_AUTO_TEST_SUITE_END()
