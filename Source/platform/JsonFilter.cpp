#include "platform/JsonFilter.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace auburnroute::platform {

using nlohmann::json;

namespace {

/// Builds a document of the selected values. The member functions are called by
/// the parser of nlohmann::json; false ends the parsing.
class SelectedValueBuilder final : public json::json_sax_t {
public:
  SelectedValueBuilder(const std::vector<std::string_view> &paths,
                       std::string_view streamedPath,
                       const JsonFilter::ElementHandler *onElement)
      : Paths(paths), StreamedPath(streamedPath), OnElement(onElement) {}

  bool null() override { return scalar(nullptr); }
  bool boolean(bool val) override { return scalar(val); }
  bool number_integer(number_integer_t val) override { return scalar(val); }
  bool number_unsigned(number_unsigned_t val) override { return scalar(val); }
  bool number_float(number_float_t val, const string_t & /*text*/) override {
    return scalar(val);
  }
  bool string(string_t &val) override { return scalar(std::move(val)); }
  bool binary(binary_t & /*val*/) override { return false; }
  bool start_object(std::size_t /*n*/) override {
    return openContainer(json::object());
  }
  bool key(string_t &val) override {
    if (SkippedDepth == 0)
      Key = std::move(val);
    return true;
  }
  bool end_object() override { return closeContainer(); }
  bool start_array(std::size_t /*n*/) override {
    return openContainer(json::array());
  }
  bool end_array() override { return closeContainer(); }
  bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                   const nlohmann::detail::exception & /*ex*/) override {
    return false;
  }

  json takeRoot() { return std::move(Root); }

private:
  /// A container that is being read.
  struct Level {
    json *Container;
    std::size_t PathSize; ///< Length of its path.
  };

  /// Appends the next value's part to Path and returns whether it is selected.
  bool enterValue() {
    const auto &top = Stack.back();
    if (top.Container->is_array())
      Path += "[]";
    else
      absl::StrAppend(&Path, Path.empty() ? "" : ".", Key);
    return std::ranges::find(Paths, Path) != Paths.end();
  }
  void leaveValue() { Path.resize(Stack.empty() ? 0 : Stack.back().PathSize); }

  json &append(json value) {
    auto &parent = *Stack.back().Container;
    if (parent.is_array())
      return parent.emplace_back(std::move(value));
    return parent[Key] = std::move(value);
  }

  bool scalar(json value) {
    if (Stack.empty())
      return false; // The text is not an object.
    if (SkippedDepth > 0)
      return true;
    if (!enterValue()) {
      leaveValue();
      return true;
    }
    append(std::move(value));
    return finishValue();
  }

  bool openContainer(json container) {
    if (SkippedDepth > 0) {
      ++SkippedDepth;
      return true;
    }
    if (Stack.empty()) {
      if (!container.is_object())
        return false;
      Root = std::move(container);
      Stack.push_back({&Root, 0});
      return true;
    }
    if (!enterValue()) {
      leaveValue();
      SkippedDepth = 1;
      return true;
    }
    // Only the innermost container grows, so pointers to the others stay valid.
    auto &stored = append(std::move(container));
    Stack.push_back({&stored, Path.size()});
    return true;
  }

  bool closeContainer() {
    if (SkippedDepth > 0) {
      --SkippedDepth;
      return true;
    }
    Stack.pop_back();
    return Stack.empty() || finishValue();
  }

  /// Ends the value at Path, which has been stored.
  bool finishValue() {
    if (OnElement != nullptr && Path == StreamedPath) {
      auto &elements = *Stack.back().Container;
      (*OnElement)(elements.back());
      elements.clear();
      ValueCount = 0;
    } else {
      ++ValueCount;
    }
    leaveValue();
    return ValueCount <= JsonFilter::MaxValues;
  }

  const std::vector<std::string_view> &Paths;
  std::string_view StreamedPath;
  const JsonFilter::ElementHandler *OnElement;
  json Root;
  std::vector<Level> Stack;
  std::string Path;
  std::string Key;
  /// Number of open containers that are skipped, 0 if none is.
  std::size_t SkippedDepth = 0;
  std::size_t ValueCount = 0; ///< Since the last streamed element.
};

std::optional<json> readSelected(std::string_view text,
                                 SelectedValueBuilder builder) {
  if (!json::sax_parse(text, &builder))
    return std::nullopt;
  return builder.takeRoot();
}

} // namespace

std::optional<json> JsonFilter::read(std::string_view text) const {
  return readSelected(text, {Paths, {}, nullptr});
}

std::optional<json> JsonFilter::read(std::string_view text,
                                     std::string_view streamedPath,
                                     const ElementHandler &onElement) const {
  return readSelected(text, {Paths, streamedPath, &onElement});
}

} // namespace auburnroute::platform
