#pragma once

#include "absl/status/status.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace auburnroute::state {

/// Collects the faults of one settings file with the lines they stand on.
class FaultList {
public:
  /// Faults beyond this number are counted and not listed, so that a hostile
  /// document cannot fill the memory of the host that reports on it.
  static constexpr std::size_t MaxListed = 1000;

  explicit FaultList(std::string_view fileName) : FileName(fileName) {}

  /// Adds "FILE:LINE: PATH: WHAT, expected EXPECTED". A fault that was already
  /// added is ignored. Bytes that are not printable ASCII are replaced.
  void add(std::uint32_t line, std::string_view path, std::string_view what,
           std::string_view expected);

  bool empty() const { return Faults.empty(); }
  /// Whether further faults are only counted.
  bool full() const { return Faults.size() == MaxListed; }
  /// OK if there are no faults, otherwise InvalidArgument with one line per
  /// fault, ordered by line.
  absl::Status status() const;

private:
  struct Fault {
    std::uint32_t Line;
    std::string Text;

    bool operator<(const Fault &it) const {
      return std::tie(Line, Text) < std::tie(it.Line, it.Text);
    }
  };

  std::string FileName;
  std::set<Fault> Faults;
  std::size_t Unlisted = 0;
};

/// \p text in double quotes for a message, cut after 60 bytes.
std::string quotedText(std::string_view text);

/// The path of \p key below \p parent, which is empty at the top.
std::string memberPath(std::string_view parent, std::string_view key);

} // namespace auburnroute::state
