#pragma once

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace auburnroute::unittests {

/// Redirects standard output into a pipe during its lifetime.
class CapturedOutput {
public:
  CapturedOutput() : Saved(::dup(STDOUT_FILENO)) {
    BOOST_REQUIRE(::pipe2(Ends.data(), O_CLOEXEC) == 0);
    ::dup2(Ends[1], STDOUT_FILENO);
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~CapturedOutput() {
    ::dup2(Saved, STDOUT_FILENO);
    for (const int it : {Saved, Ends[0], Ends[1]})
      ::close(it);
  }
  std::string read() {
    std::string text;
    std::array<char, 65536> buf{};
    for (ssize_t n; (n = ::read(Ends[0], buf.data(), buf.size())) > 0;)
      text.append(buf.data(), static_cast<std::size_t>(n));
    return text;
  }

private:
  std::array<int, 2> Ends{};
  int Saved;
};

} // namespace auburnroute::unittests
