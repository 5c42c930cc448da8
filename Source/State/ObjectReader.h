#pragma once

#include "State/ErrorList.h"
#include "State/FieldDescriptor.h"
#include "State/JsonNode.h"

#include <optional>
#include <string_view>
#include <vector>

namespace auburnroute::state {

/// A value with its line.
struct LocatedValue {
  SettingValue Value;
  std::uint32_t Line = 1;
};

/// Reads the described values of one JSON object.
class ObjectReader {
public:
  /// By index of the descriptor; nothing if absent or invalid.
  using Values = std::vector<std::optional<LocatedValue>>;

  explicit ObjectReader(ErrorList &errors) : Errors(errors) {}

  /// Reads all values of \p node. Adds an error for each bad value, unknown or
  /// repeated key and missing required key. The members named in \p others are
  /// left to the caller.
  Values readValues(const JsonNode &node, std::string_view path,
                    const std::vector<const ValueDescriptor *> &descriptors,
                    const std::vector<std::string_view> &others = {});

  /// Reads all values of \p node into \p target.
  template <class Target>
  void read(const JsonNode &node, std::string_view path,
            const FieldTable<Target> &fields, Target &target,
            const std::vector<std::string_view> &others = {}) {
    const auto values = readValues(node, path, descriptorsOf(fields), others);
    for (std::size_t i = 0; i < fields.size(); ++i)
      if (values[i])
        fields[i].Set(target, values[i]->Value);
  }

  /// Whether \p node is an object; adds an error otherwise.
  bool checkObject(const JsonNode &node, std::string_view path);
  /// Whether \p node is an array of \p min to \p max items; adds an error
  /// otherwise.
  bool checkArray(const JsonNode &node, std::string_view path, std::size_t min,
                  std::size_t max);
  /// Whether \p node is an object of \p min to \p max members; adds an error
  /// otherwise, and one for each key that is repeated or is not a name.
  bool checkNames(const JsonNode &node, std::string_view path, std::size_t min,
                  std::size_t max);

  template <class Target>
  static std::vector<const ValueDescriptor *>
  descriptorsOf(const FieldTable<Target> &fields) {
    std::vector<const ValueDescriptor *> descriptors;
    for (const auto &it : fields)
      descriptors.push_back(&it.Value);
    return descriptors;
  }

private:
  bool addErrorIfRepeated(const JsonMember &member, std::string_view path,
                          std::vector<std::string_view> &seen);
  void
  addUnknownKeyError(const JsonMember &member, std::string_view path,
                     const std::vector<const ValueDescriptor *> &descriptors,
                     const std::vector<std::string_view> &others);

  ErrorList &Errors;
};

} // namespace auburnroute::state
