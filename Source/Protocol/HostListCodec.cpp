#include "Protocol/HostListCodec.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace auburnroute::protocol {

namespace {

using Json = nlohmann::json;

absl::Status formatError(const std::string &where, const std::string &what) {
  return absl::InvalidArgumentError(
      absl::StrCat("host list: ", where, " ", what));
}

absl::Status readText(const Json &node, const char *key,
                      const std::string &where, std::string &to) {
  const auto it = node.find(key);
  if (it == node.end() || !it->is_string() ||
      it->get_ref<const std::string &>().empty())
    return formatError(absl::StrCat(where, ".", key),
                       "is not a non-empty string");
  to = it->get<std::string>();
  return absl::OkStatus();
}

absl::Status readEndpoint(const Json &node, const char *key,
                          const std::string &where, common::Endpoint &to) {
  std::string text;
  if (auto status = readText(node, key, where, text); !status.ok())
    return status;
  const auto endpoint = common::parseEndpoint(text);
  if (!endpoint.ok())
    return formatError(absl::StrCat(where, ".", key),
                       "is not an address and port such as 192.0.2.1:8001");
  to = *endpoint;
  return absl::OkStatus();
}

absl::Status readState(const Json &node, const std::string &where, bool &to) {
  std::string text;
  if (auto status = readText(node, "state", where, text); !status.ok())
    return status;
  if (text != "live" && text != "leaving")
    return formatError(where + ".state", "is neither \"live\" nor \"leaving\"");
  to = text == "leaving";
  return absl::OkStatus();
}

absl::Status readHost(const Json &node, const std::string &where,
                      messages::ListedHost &to) {
  if (!node.is_object())
    return formatError(where, "is not an object");
  auto &at = to.Addresses;
  auto status = readText(node, "name", where, to.Name);
  status.Update(readText(node, "zone", where, to.Zone));
  status.Update(readState(node, where, to.IsLeaving));
  status.Update(readEndpoint(node, "packets", where, at.Packets));
  status.Update(readEndpoint(node, "admission", where, at.Admission));
  status.Update(readEndpoint(node, "peer", where, at.Peer));
  status.Update(readEndpoint(node, "operator", where, at.Operator));
  return status;
}

absl::Status readLeavingBackendServer(const Json &node,
                                      const std::string &where,
                                      messages::LeavingBackendServer &to) {
  if (!node.is_object())
    return formatError(where, "is not an object");
  auto status = readText(node, "service", where, to.Service);
  status.Update(readText(node, "name", where, to.Name));
  return status;
}

// Reads each element of the array \p key, which may be absent if \p optional.
template <class Item, class ElementReader>
absl::Status readArray(const Json &root, const char *key, bool optional,
                       std::vector<Item> &to, ElementReader reader) {
  const auto it = root.find(key);
  if (it == root.end() && optional)
    return absl::OkStatus();
  if (it == root.end() || !it->is_array() || it->size() > MaxListEntries)
    return formatError(key, absl::StrCat("is not an array of at most ",
                                         MaxListEntries, " elements"));
  for (std::size_t i = 0; i < it->size(); ++i) {
    auto status =
        reader((*it)[i], absl::StrCat(key, "[", i, "]"), to.emplace_back());
    if (!status.ok())
      return status;
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<messages::HostList> decodeHostList(std::string_view text) {
  const auto root = Json::parse(text, nullptr, false, true);
  if (!root.is_object())
    return formatError("document", "is not a JSON object");
  messages::HostList list;
  const auto version = root.find("version");
  if (version == root.end() || !version->is_number_unsigned())
    return formatError("version", "is not an unsigned integer");
  list.Version = version->get<std::uint64_t>();
  auto status = readArray(root, "hosts", false, list.Hosts, readHost);
  status.Update(readArray(root, "leavingBackendServers", true,
                          list.LeavingBackendServers,
                          readLeavingBackendServer));
  if (!status.ok())
    return status;
  return list;
}

} // namespace auburnroute::protocol
