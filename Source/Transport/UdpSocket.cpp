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

// Holds a burst of several thousand packets while the thread is busy.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;

sockaddr_in toSockaddr(common::Endpoint endpoint) {
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(endpoint.Port);
  addr.sin_addr.s_addr = htonl(endpoint.Address);
  return addr;
}

} // namespace

struct UdpSocket::Buffers {
  std::array<std::array<std::byte, MaxDatagramBytes>, BatchSize> Received;
  std::array<iovec, BatchSize> ReceiveVectors{};
  std::array<sockaddr_in, BatchSize> Senders{};
  std::array<mmsghdr, BatchSize> ReceiveHeaders{};
  std::array<Datagram, BatchSize> Datagrams;

  std::array<std::array<iovec, 2>, BatchSize> SendVectors{};
  std::array<sockaddr_in, BatchSize> Receivers{};
  std::array<mmsghdr, BatchSize> SendHeaders{};
  std::size_t Queued = 0;
};

absl::StatusOr<UdpSocket> UdpSocket::bind(common::Endpoint address,
                                          bool shared) {
  const auto fault = [&](const char *step) {
    return absl::UnavailableError(absl::StrCat("cannot ", step, " UDP ",
                                               common::toString(address), ": ",
                                               std::strerror(errno)));
  };
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return fault("open");
  UdpSocket socket(fd);
  const int on = 1;
  if (shared &&
      ::setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0)
    return fault("share");
  // Best effort: the kernel caps the size at its own limit.
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes,
               sizeof(SocketBufferBytes));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes,
               sizeof(SocketBufferBytes));
  const auto addr = toSockaddr(address);
  if (::bind(fd, reinterpret_cast<const sockaddr *>(&addr), sizeof(addr)) != 0)
    return fault("bind");
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  if (::getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &size) != 0)
    return fault("name");
  socket.LocalPort = ntohs(bound.sin_port);
  return socket;
}

UdpSocket::UdpSocket(int descriptor)
    : Descriptor(descriptor), Storage(std::make_unique<Buffers>()) {
  for (std::size_t i = 0; i < BatchSize; ++i) {
    Storage->ReceiveVectors[i] = {Storage->Received[i].data(),
                                  MaxDatagramBytes};
    auto &header = Storage->ReceiveHeaders[i].msg_hdr;
    header.msg_iov = &Storage->ReceiveVectors[i];
    header.msg_iovlen = 1;
    header.msg_name = &Storage->Senders[i];
    auto &send = Storage->SendHeaders[i].msg_hdr;
    send.msg_iov = Storage->SendVectors[i].data();
    send.msg_iovlen = 2;
    send.msg_name = &Storage->Receivers[i];
    send.msg_namelen = sizeof(sockaddr_in);
  }
}

UdpSocket::UdpSocket(UdpSocket &&other) noexcept
    : Descriptor(std::exchange(other.Descriptor, -1)),
      LocalPort(other.LocalPort), SendFailures(other.SendFailures),
      Storage(std::move(other.Storage)) {}

UdpSocket &UdpSocket::operator=(UdpSocket &&other) noexcept {
  std::swap(Descriptor, other.Descriptor);
  std::swap(LocalPort, other.LocalPort);
  std::swap(SendFailures, other.SendFailures);
  std::swap(Storage, other.Storage);
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
  for (auto &it : Storage->ReceiveHeaders)
    it.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const int n = ::recvmmsg(Descriptor, Storage->ReceiveHeaders.data(),
                           BatchSize, MSG_DONTWAIT, nullptr);
  if (n <= 0)
    return {};
  for (int i = 0; i < n; ++i) {
    const auto &sender = Storage->Senders[i];
    Storage->Datagrams[i] = {
        {ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port)},
        {Storage->Received[i].data(), Storage->ReceiveHeaders[i].msg_len}};
  }
  return {Storage->Datagrams.data(), static_cast<std::size_t>(n)};
}

void UdpSocket::queue(common::Endpoint to, std::span<const std::byte> header,
                      std::span<const std::byte> body) {
  if (Storage->Queued == BatchSize)
    flush();
  const auto n = Storage->Queued++;
  Storage->Receivers[n] = toSockaddr(to);
  Storage->SendVectors[n][0] = {const_cast<std::byte *>(header.data()),
                                header.size()};
  Storage->SendVectors[n][1] = {const_cast<std::byte *>(body.data()),
                                body.size()};
}

void UdpSocket::flush() {
  std::size_t sent = 0;
  while (sent < Storage->Queued) {
    const int n =
        ::sendmmsg(Descriptor, Storage->SendHeaders.data() + sent,
                   static_cast<unsigned>(Storage->Queued - sent), MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      continue;
    }
    // The first datagram of the rest was refused; go on behind it.
    ++SendFailures;
    ++sent;
  }
  Storage->Queued = 0;
}

} // namespace auburnroute::transport
