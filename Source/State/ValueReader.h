#pragma once

#include "State/ErrorList.h"
#include "State/JsonNode.h"
#include "State/ValueDescriptor.h"

#include <optional>
#include <string_view>

namespace auburnroute::state {

/// Reads one value and checks it against its descriptor.
class ValueReader {
public:
  explicit ValueReader(ErrorList &errors) : Errors(errors) {}

  /// The value of \p node, or nothing and one or more errors at \p path.
  std::optional<SettingValue> read(const JsonNode &node, std::string_view path,
                                   const ValueDescriptor &descriptor);

  /// Whether \p text has the form of a name.
  static bool isName(std::string_view text);

private:
  std::optional<SettingValue> integer(const JsonNode &node);
  std::optional<SettingValue> share(const JsonNode &node);
  std::optional<SettingValue> endpoints(const JsonNode &node);
  std::optional<SettingValue> textValue(const JsonNode &node);
  std::optional<SettingValue> duration(std::string_view text);
  std::optional<SettingValue> choice(std::string_view text);
  std::optional<SettingValue> name(std::string_view text);
  std::optional<SettingValue> secret(std::string_view text);
  std::optional<SettingValue> address(std::string_view text);
  std::optional<SettingValue> endpoint(std::string_view text);
  std::nullopt_t addError(std::string_view what);

  ErrorList &Errors;
  const ValueDescriptor *Descriptor = nullptr;
  std::string Path;
  std::uint32_t Line = 1;
};

} // namespace auburnroute::state
