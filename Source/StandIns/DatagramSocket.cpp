#include "StandIns/DatagramSocket.h"

#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace auburnroute::standins {

namespace {

// One socket receives the packets of all flows of a test, and bursts overflow
// the default buffer. The kernel limits the value to net.core.rmem_max.
constexpr int ReceiveBufferBytes = 4 << 20;

sockaddr_in toSocketAddress(const common::Endpoint &endpoint) {
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(endpoint.Address);
  addr.sin_port = htons(endpoint.Port);
  return addr;
}

} // namespace

absl::StatusOr<DatagramSocket>
DatagramSocket::bind(const common::Endpoint &local) {
  DatagramSocket socket(
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  setsockopt(socket.Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof ReceiveBufferBytes);
  const auto addr = toSocketAddress(local);
  if (::bind(socket.Descriptor, reinterpret_cast<const sockaddr *>(&addr),
             sizeof addr) != 0)
    return absl::UnavailableError(absl::StrCat(
        "cannot bind ", common::toString(local), ": ", std::strerror(errno)));
  return socket;
}

DatagramSocket::~DatagramSocket() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

DatagramSocket::DatagramSocket(DatagramSocket &&other) noexcept
    : Descriptor(std::exchange(other.Descriptor, -1)) {}

DatagramSocket &DatagramSocket::operator=(DatagramSocket &&other) noexcept {
  std::swap(Descriptor, other.Descriptor);
  return *this;
}

std::optional<DatagramSocket::Datagram>
DatagramSocket::receive(std::span<std::byte> buf) const {
  sockaddr_in addr{};
  socklen_t size = sizeof addr;
  ssize_t n = 0;
  do {
    n = recvfrom(Descriptor, buf.data(), buf.size(), 0,
                 reinterpret_cast<sockaddr *>(&addr), &size);
    // ECONNREFUSED reports an ICMP error for an earlier send; receiving goes
    // on.
  } while (n < 0 && (errno == EINTR || errno == ECONNREFUSED));
  if (n < 0)
    return std::nullopt;
  return Datagram{{ntohl(addr.sin_addr.s_addr), ntohs(addr.sin_port)},
                  buf.first(static_cast<std::size_t>(n))};
}

void DatagramSocket::send(const common::Endpoint &to,
                          std::span<const std::byte> bytes) const {
  const auto addr = toSocketAddress(to);
  sendto(Descriptor, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr *>(&addr), sizeof addr);
}

} // namespace auburnroute::standins
