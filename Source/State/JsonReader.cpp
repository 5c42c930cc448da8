#include "State/JsonReader.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

#include <iterator>

namespace auburnroute::state {

namespace {

using Json = nlohmann::json;

/// Counts the lines that the parser has consumed.
struct LineCounter {
  std::uint32_t Line = 1;
  char Last = 0;

  // The parser reads one character past a number, so a line feed counts only
  // when the character after it is read.
  void consume(char ch) {
    if (Last == '\n')
      ++Line;
    Last = ch;
  }
};

/// Input iterator over the text that counts the consumed lines.
class CountingIterator {
public:
  using iterator_category = std::input_iterator_tag; // NOLINT
  using value_type = char;                           // NOLINT
  using difference_type = std::ptrdiff_t;            // NOLINT
  using pointer = const char *;                      // NOLINT
  using reference = const char &;                    // NOLINT

  CountingIterator(const char *at, LineCounter *lines) : At(at), Lines(lines) {}

  reference operator*() const { return *At; }
  CountingIterator &operator++() {
    Lines->consume(*At++);
    return *this;
  }
  CountingIterator operator++(int) {
    auto old = *this;
    ++*this;
    return old;
  }
  bool operator==(const CountingIterator &it) const { return At == it.At; }

private:
  const char *At;
  LineCounter *Lines;
};

/// Builds the nodes. Each callback comes right after its token was consumed.
class NodeBuilder final : public nlohmann::json_sax<Json> {
public:
  NodeBuilder(const LineCounter &lines, ErrorList &errors)
      : Lines(lines), Errors(errors) {}

  bool null() override { return scalar(nullptr); }
  bool boolean(bool val) override { return scalar(val); }
  bool number_integer(number_integer_t val) override { return scalar(val); }
  bool number_unsigned(number_unsigned_t val) override { return scalar(val); }
  bool number_float(number_float_t val, const string_t & /*s*/) override {
    return scalar(val);
  }
  bool string(string_t &val) override { return scalar(std::move(val)); }
  bool binary(binary_t & /*val*/) override { return false; }
  bool start_object(std::size_t /*n*/) override {
    return openContainer(Json::object());
  }
  bool key(string_t &val) override {
    Stack.back()->Members.push_back({std::move(val), Lines.Line, {}});
    return true;
  }
  bool end_object() override { return closeContainer(); }
  bool start_array(std::size_t /*n*/) override {
    return openContainer(Json::array());
  }
  bool end_array() override { return closeContainer(); }
  bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                   const nlohmann::detail::exception &ex) override {
    // Drops the library's "[id] parse error at line L, column C: "; the line
    // is given in front of every error.
    std::string_view text = ex.what();
    for (const std::string_view it : {"] ", "column ", ": "})
      if (const auto at = text.find(it); at != std::string_view::npos)
        text = text.substr(at + it.size());
    // The last token may contain a part of the shared key: keep it out of logs.
    for (const std::string_view it : {"; last read: ", " parsing '"})
      text = text.substr(0, text.find(it));
    Errors.add(Lines.Line, "",
               absl::StrCat("not valid JSON (", common::toAbsl(text), ")"),
               "a JSON document, comments allowed");
    return false;
  }

  JsonNode root() { return std::move(Root); }

private:
  JsonNode *append(Json value) {
    JsonNode node{Lines.Line, std::move(value), {}, {}};
    if (Stack.empty()) {
      Root = std::move(node);
      return &Root;
    }
    // Only the innermost container grows, so pointers to the outer ones stay
    // valid.
    auto &top = *Stack.back();
    if (top.Value.is_array()) {
      top.Items.push_back(std::move(node));
      return &top.Items.back();
    }
    top.Members.back().Value = std::move(node);
    return &top.Members.back().Value;
  }
  bool scalar(Json value) {
    append(std::move(value));
    return true;
  }
  bool openContainer(Json value) {
    if (Stack.size() == JsonReader::MaxDepth) {
      Errors.add(Lines.Line, "", "nested too deeply",
                 absl::StrCat("at most ", JsonReader::MaxDepth, " levels"));
      return false;
    }
    Stack.push_back(append(std::move(value)));
    return true;
  }
  bool closeContainer() {
    Stack.pop_back();
    return true;
  }

  const LineCounter &Lines;
  ErrorList &Errors;
  JsonNode Root;
  std::vector<JsonNode *> Stack;
};

} // namespace

std::optional<JsonNode> JsonReader::read(std::string_view text,
                                         ErrorList &errors) {
  if (text.size() > MaxSize) {
    errors.add(1, "", absl::StrCat(text.size(), " bytes are too many"),
               absl::StrCat("at most ", MaxSize, " bytes"));
    return std::nullopt;
  }
  LineCounter lines;
  NodeBuilder builder(lines, errors);
  const CountingIterator first(text.data(), &lines);
  const CountingIterator last(text.data() + text.size(), &lines);
  if (!Json::sax_parse(first, last, &builder, Json::input_format_t::json, true,
                       true))
    return std::nullopt;
  return builder.root();
}

} // namespace auburnroute::state
