#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::routing {

/// Whether \p text is a name of a service, zone, host or backend server:
/// letters, digits, '-', '_' and '.', at most 200 of them. Others could not
/// stand in logs as they are.
bool isValidName(std::string_view text);

/// Small integers for names, so that decisions compare no text. An id stays
/// valid for the life of the process.
class NameTable {
public:
  using Id = std::uint32_t;

  /// The id of \p name, which is added if it is new.
  Id idOf(std::string_view name) {
    if (const auto it = Ids.find(name); it != Ids.end())
      return it->second;
    const auto id = static_cast<Id>(Texts.size());
    Texts.emplace_back(name);
    Ids.emplace(std::string(name), id);
    return id;
  }
  const std::string &nameOf(Id id) const { return Texts.at(id); }
  std::size_t size() const { return Texts.size(); }

private:
  std::map<std::string, Id, std::less<>> Ids;
  std::vector<std::string> Texts;
};

} // namespace auburnroute::routing
