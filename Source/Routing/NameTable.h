#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::routing {

/// Whether \p text is a valid name of a service, zone, host or backend server:
/// 1 to 200 letters, digits, '-', '_' and '.'. Such names need no escaping in
/// logs.
bool isValidName(std::string_view text);

/// Maps names to small integers, so that routing decisions compare no strings.
/// Ids stay valid for the life of the process.
class NameTable {
public:
  using Id = std::uint32_t;

  /// Returns the id of \p name, adding the name if it is new.
  Id idOf(std::string_view name) {
    if (const auto it = Ids.find(name); it != Ids.end())
      return it->second;
    const auto id = static_cast<Id>(Texts.size());
    Texts.emplace_back(name);
    Ids.emplace(std::string(name), id);
    return id;
  }
  /// The id of \p name, or nullopt if it is unknown.
  std::optional<Id> find(std::string_view name) const {
    const auto it = Ids.find(name);
    return it == Ids.end() ? std::nullopt : std::optional(it->second);
  }
  bool contains(std::string_view name) const { return Ids.contains(name); }
  const std::string &nameOf(Id id) const { return Texts.at(id); }
  std::size_t size() const { return Texts.size(); }

private:
  std::map<std::string, Id, std::less<>> Ids;
  std::vector<std::string> Texts;
};

} // namespace auburnroute::routing
