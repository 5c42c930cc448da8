#include "Transport/UdpSocket.h"

#include "absl/strings/str_cat.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnroute::transport {

namespace {

// Holds several thousand packets that arrive while the thread is busy.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;

sockaddr_in toSockaddr(common::Endpoint endpoint) {
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(endpoint.Port);
  addr.sin_addr.s_addr = htonl(endpoint.Address);
  return addr;
}

} // namespace

// Buffers of one batch in each direction, as recvmmsg and sendmmsg need them.
struct UdpSocket::Buffers {
  std::array<std::array<std::byte, MaxDatagramBytes>, BatchSize> ReceiveBuffers;
  std::array<iovec, BatchSize> ReceiveVectors{};
  std::array<sockaddr_in, BatchSize> Senders{};
  std::array<mmsghdr, BatchSize> ReceiveHeaders{};
  std::array<Datagram, BatchSize> ReceivedDatagrams;

  std::array<std::array<iovec, 2>, BatchSize> SendVectors{};
  std::array<sockaddr_in, BatchSize> Destinations{};
  std::array<mmsghdr, BatchSize> SendHeaders{};
  std::size_t QueuedCount = 0;
};

absl::StatusOr<UdpSocket> UdpSocket::bind(common::Endpoint address,
                                          bool reusePort) {
  const auto error = [&](const char *step) {
    return absl::UnavailableError(absl::StrCat("cannot ", step, " UDP ",
                                               common::toString(address), ": ",
                                               std::strerror(errno)));
  };
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return error("open");
  UdpSocket socket(fd);
  const int on = 1;
  if (reusePort &&
      ::setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0)
    return error("set SO_REUSEPORT on");
  // Best effort: the kernel caps the size at net.core.rmem_max and wmem_max.
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes,
               sizeof(SocketBufferBytes));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes,
               sizeof(SocketBufferBytes));
  const auto addr = toSockaddr(address);
  if (::bind(fd, reinterpret_cast<const sockaddr *>(&addr), sizeof(addr)) != 0)
    return error("bind");
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  if (::getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &size) != 0)
    return error("get the port of");
  socket.LocalPort = ntohs(bound.sin_port);
  return socket;
}

UdpSocket::UdpSocket(int descriptor)
    : Descriptor(descriptor), Batch(std::make_unique<Buffers>()) {
  for (std::size_t i = 0; i < BatchSize; ++i) {
    Batch->ReceiveVectors[i] = {Batch->ReceiveBuffers[i].data(),
                                MaxDatagramBytes};
    auto &header = Batch->ReceiveHeaders[i].msg_hdr;
    header.msg_iov = &Batch->ReceiveVectors[i];
    header.msg_iovlen = 1;
    header.msg_name = &Batch->Senders[i];
    auto &send = Batch->SendHeaders[i].msg_hdr;
    send.msg_iov = Batch->SendVectors[i].data();
    send.msg_iovlen = 2;
    send.msg_name = &Batch->Destinations[i];
    send.msg_namelen = sizeof(sockaddr_in);
  }
}

UdpSocket::UdpSocket(UdpSocket &&other) noexcept
    : Descriptor(std::exchange(other.Descriptor, -1)),
      LocalPort(other.LocalPort), SendFailures(other.SendFailures),
      Batch(std::move(other.Batch)) {}

UdpSocket &UdpSocket::operator=(UdpSocket &&other) noexcept {
  std::swap(Descriptor, other.Descriptor);
  std::swap(LocalPort, other.LocalPort);
  std::swap(SendFailures, other.SendFailures);
  std::swap(Batch, other.Batch);
  return *this;
}

UdpSocket::~UdpSocket() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

std::span<Datagram> UdpSocket::receive(std::chrono::milliseconds timeout) {
  pollfd pfd{Descriptor, POLLIN, 0};
  if (timeout.count() > 0 &&
      ::poll(&pfd, 1, static_cast<int>(timeout.count())) <= 0)
    return {};
  for (auto &it : Batch->ReceiveHeaders)
    it.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const int count = ::recvmmsg(Descriptor, Batch->ReceiveHeaders.data(),
                               BatchSize, MSG_DONTWAIT, nullptr);
  if (count <= 0)
    return {};
  for (int i = 0; i < count; ++i) {
    const auto &sender = Batch->Senders[i];
    Batch->ReceivedDatagrams[i] = {
        {ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port)},
        {Batch->ReceiveBuffers[i].data(), Batch->ReceiveHeaders[i].msg_len}};
  }
  return {Batch->ReceivedDatagrams.data(), static_cast<std::size_t>(count)};
}

void UdpSocket::queue(common::Endpoint to, std::span<const std::byte> header,
                      std::span<const std::byte> body) {
  if (Batch->QueuedCount == BatchSize)
    flush();
  const auto index = Batch->QueuedCount++;
  Batch->Destinations[index] = toSockaddr(to);
  Batch->SendVectors[index][0] = {const_cast<std::byte *>(header.data()),
                                  header.size()};
  Batch->SendVectors[index][1] = {const_cast<std::byte *>(body.data()),
                                  body.size()};
}

void UdpSocket::flush() {
  std::size_t sent = 0;
  while (sent < Batch->QueuedCount) {
    const int n = ::sendmmsg(Descriptor, Batch->SendHeaders.data() + sent,
                             static_cast<unsigned>(Batch->QueuedCount - sent),
                             MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      continue;
    }
    // The kernel rejected the first remaining datagram; skip it.
    ++SendFailures;
    ++sent;
  }
  Batch->QueuedCount = 0;
}

} // namespace auburnroute::transport
