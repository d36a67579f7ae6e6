#include "settings/positions.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace Settings::Internal {

namespace {

using Json = nlohmann::json;

/// Text iterator that counts the line breaks it has passed. The end iterator
/// has no counter.
struct LineIterator {
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;

  const char *Cursor = nullptr;
  size_t *Line = nullptr;

  reference operator*() const { return *Cursor; }
  LineIterator &operator++() {
    if (Line && *Cursor == '\n')
      ++*Line;
    ++Cursor;
    return *this;
  }
  LineIterator operator++(int) {
    LineIterator old = *this;
    ++*this;
    return old;
  }
  bool operator==(const LineIterator &other) const {
    return Cursor == other.Cursor;
  }
};

/// SAX handler that records the names in the two outermost objects: sections
/// and their settings.
class NameHandler : public nlohmann::json_sax<Json> {
public:
  NameHandler(Positions &positions, const size_t &line)
      : Target(positions), Line(line) {}

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t & /*text*/) override {
    return true;
  }
  bool string(string_t & /*value*/) override { return true; }
  bool binary(binary_t & /*value*/) override { return true; }
  bool start_object(size_t /*n*/) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(size_t /*n*/) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(size_t /*at*/, const std::string & /*token*/,
                   const nlohmann::detail::exception & /*e*/) override {
    return false;
  }
  bool key(string_t &name) override {
    if (Depth == 1)
      Target.add(Section = name, "", Line);
    else if (Depth == 2)
      Target.add(Section, name, Line);
    return true;
  }

private:
  bool enter() {
    ++Depth;
    return true;
  }
  bool leave() {
    --Depth;
    return true;
  }

  Positions &Target;
  const size_t &Line;
  std::string Section;
  int Depth = 0;
};

} // namespace

Positions::Positions(std::string_view text) {
  size_t line = 1;
  NameHandler handler(*this, line);
  LineIterator begin{text.data(), &line};
  LineIterator end{text.data() + text.size(), nullptr};
  Json::sax_parse(begin, end, &handler, Json::input_format_t::json, true, true);
}

void Positions::add(const std::string &section, const std::string &name,
                    size_t line) {
  if (!Lines.emplace(std::pair(section, name), line).second)
    Duplicates.push_back({line, name.empty() ? section : section + "." + name});
}

size_t Positions::lineOf(const std::string &section,
                         const std::string &name) const {
  for (const std::string &it : {name, std::string()})
    if (auto found = Lines.find({section, it}); found != Lines.end())
      return found->second;
  return 1;
}

} // namespace Settings::Internal
