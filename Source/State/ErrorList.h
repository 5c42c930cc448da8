#pragma once

#include "absl/status/status.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace auburnroute::state {

/// Collects the errors of one settings file, each with its line number.
class ErrorList {
public:
  /// Errors beyond this number are counted and not listed, so that a hostile
  /// document cannot exhaust the memory of the host that checks it.
  static constexpr std::size_t MaxListed = 1000;

  explicit ErrorList(std::string_view fileName) : FileName(fileName) {}

  /// Adds "FILE:LINE: KEY: WHAT, expected EXPECTED". An error that was already
  /// added is ignored. Bytes that are not printable ASCII are replaced.
  void add(std::uint32_t line, std::string_view path, std::string_view what,
           std::string_view expected);

  bool empty() const { return Errors.empty(); }
  /// Whether further errors are only counted.
  bool isFull() const { return Errors.size() == MaxListed; }
  /// OK if there are no errors, otherwise InvalidArgument with one line per
  /// error, ordered by line.
  absl::Status status() const;

private:
  struct Error {
    std::uint32_t Line;
    std::string Text;

    bool operator<(const Error &it) const {
      return std::tie(Line, Text) < std::tie(it.Line, it.Text);
    }
  };

  std::string FileName;
  std::set<Error> Errors;
  std::size_t Unlisted = 0;
};

/// \p text in double quotes for a message, cut after 60 bytes.
std::string quotedText(std::string_view text);

/// The path of \p key below \p parent, which is empty at the top.
std::string memberPath(std::string_view parent, std::string_view key);

} // namespace auburnroute::state
