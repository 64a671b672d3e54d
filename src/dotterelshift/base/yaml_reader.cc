#include "dotterelshift/base/yaml_reader.h"

#include <algorithm>  // for find, all_of
#include <array>      // for array
#include <charconv>   // for from_chars
#include <set>        // for set

namespace dotterelshift {
namespace {

constexpr size_t kMaxName = 128;

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool IsName(std::string_view text) {
  constexpr std::string_view kAlso = "._:/@+-";
  if (text.empty() || text.size() > kMaxName || !IsLetterOrDigit(text[0]))
    return false;
  return std::all_of(text.begin(), text.end(), [&](char c) {
    return IsLetterOrDigit(c) || kAlso.find(c) != std::string_view::npos;
  });
}

// A suffix of a number and its factor.
struct Unit {
  std::string_view suffix;
  int64_t factor;
};

constexpr std::array kAmountUnits = {Unit{"", 1}, Unit{"k", 1'000},
                                     Unit{"M", 1'000'000},
                                     Unit{"G", 1'000'000'000}};
constexpr std::array kTimeUnits = {
    Unit{"h", 3'600'000'000'000}, Unit{"m", 60'000'000'000},
    Unit{"s", 1'000'000'000}, Unit{"ms", 1'000'000}};

// The result of parsing a number with a unit.
enum class ParseResult { kOk, kNotANumber, kBadUnit, kOverflow };

// The digits after the decimal point: 8.5 has digits 5 and scale 10.
struct Decimals {
  int64_t digits = 0;
  int64_t scale = 1;
};

// Parses the decimals, if any. Returns the end of what it parsed, or null when
// they are malformed or have more than six digits.
const char* ReadDecimals(const char* at, const char* end, Decimals* decimals) {
  constexpr int64_t kMaxScale = 1'000'000;
  if (at == end || *at != '.') return at;
  const char* digit = at + 1;
  for (; digit != end && *digit >= '0' && *digit <= '9'; ++digit) {
    if (decimals->scale == kMaxScale) return nullptr;
    decimals->digits = decimals->digits * 10 + (*digit - '0');
    decimals->scale *= 10;
  }
  return digit == at + 1 ? nullptr : digit;
}

// Whether a number may have decimals: times may, amounts are integers.
enum class Fractions { kRefused, kAllowed };

ParseResult ReadNumber(std::string_view text, std::span<const Unit> units,
                       Fractions fractions, int64_t* value) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec == std::errc::result_out_of_range)
    return ParseResult::kOverflow;
  if (parsed.ec != std::errc()) return ParseResult::kNotANumber;
  Decimals decimals;
  const char* after = fractions == Fractions::kAllowed
                          ? ReadDecimals(parsed.ptr, end, &decimals)
                          : parsed.ptr;
  if (after == nullptr) return ParseResult::kNotANumber;
  const std::string_view suffix(after, end - after);
  for (const Unit& unit : units) {
    if (unit.suffix != suffix) continue;
    const int64_t part = decimals.digits * (unit.factor / decimals.scale);
    if (decimals.digits != 0 && unit.factor % decimals.scale != 0)
      return ParseResult::kNotANumber;
    const bool overflow =
        __builtin_mul_overflow(number, unit.factor, value) ||
        __builtin_add_overflow(*value, number < 0 ? -part : part, value);
    return overflow ? ParseResult::kOverflow : ParseResult::kOk;
  }
  return ParseResult::kBadUnit;
}

std::string JoinWords(std::span<const std::string_view> words) {
  std::string joined;
  for (std::string_view word : words) {
    if (!joined.empty()) joined += ", ";
    joined += word;
  }
  return joined;
}

// Quotes a value for an error text: shortened and without control characters.
std::string Quoted(const std::string& text) {
  constexpr size_t kShown = 60;
  std::string shown = text.substr(0, kShown);
  std::replace_if(
      shown.begin(), shown.end(),
      [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
  return "'" + shown + (text.size() > kShown ? "...'" : "'");
}

}  // namespace

YAML::Node YamlSource::Parse(std::string_view text) const {
  std::vector<YAML::Node> documents;
  try {
    documents = YAML::LoadAll(std::string(text));
  } catch (const YAML::Exception& exception) {
    RefuseAtLine(exception.mark.line + 1, "not valid YAML: " + exception.msg,
                 "a YAML map");
  }
  if (documents.size() > 1)
    Refuse(documents[1], "a second document", "one document in a file");
  return documents.empty() ? YAML::Node() : documents[0];
}

void YamlSource::Refuse(const YAML::Node& at, const std::string& what,
                        const std::string& expected) const {
  const int line = at.IsDefined() ? at.Mark().line : -1;
  RefuseAtLine(line < 0 ? 1 : line + 1, what, expected);
}

void YamlSource::RefuseAtLine(int line, const std::string& what,
                              const std::string& expected) const {
  throw Error(m_kind, m_file + ":" + std::to_string(std::max(line, 1)) + ": " +
                          what + " (expected " + expected + ")");
}

std::string YamlSource::Text(const YAML::Node& node,
                             const std::string& what) const {
  if (!node.IsScalar()) Refuse(node, what + " is not a text", "one value");
  return node.Scalar();
}

std::string YamlSource::Name(const YAML::Node& node,
                             const std::string& what) const {
  std::string text = Text(node, what);
  if (!IsName(text))
    Refuse(node, what + " " + Quoted(text) + " is not a name",
           "1 to 128 letters, digits and ._:/@+-, a letter or digit first");
  return text;
}

bool YamlSource::Bool(const YAML::Node& node, const std::string& what) const {
  constexpr std::array<std::string_view, 2> kWords = {"false", "true"};
  return Word(node, what, kWords) == 1;
}

int64_t YamlSource::Number(const YAML::Node& node, const std::string& what,
                           int64_t min, int64_t max, bool units) const {
  const std::string text = Text(node, what);
  const std::string expected = "a whole number from " + std::to_string(min) +
                               " to " + std::to_string(max) +
                               (units ? ", k, M or G allowed" : "");
  const std::span<const Unit> allowed(kAmountUnits.data(),
                                      units ? kAmountUnits.size() : 1);
  int64_t value = 0;
  switch (ReadNumber(text, allowed, Fractions::kRefused, &value)) {
    case ParseResult::kNotANumber:
      Refuse(node, what + " " + Quoted(text) + " is not a whole number",
             expected);
    case ParseResult::kBadUnit:
      Refuse(node, what + " " + Quoted(text) + " has a wrong unit", expected);
    case ParseResult::kOverflow:
      Refuse(node, what + " " + Quoted(text) + " is too large", expected);
    case ParseResult::kOk:
      break;
  }
  if (value < 0 && min >= 0)
    Refuse(node, what + " " + Quoted(text) + " is negative", expected);
  if (value < min || value > max)
    Refuse(node, what + " " + Quoted(text) + " is out of bounds", expected);
  return value;
}

Duration YamlSource::Time(const YAML::Node& node, const std::string& what,
                          Duration min, Duration max) const {
  const std::string text = Text(node, what);
  const std::string expected = "a time from " + FormatTime(min) + " to " +
                               FormatTime(max) + " with ms, s, m or h";
  int64_t value = 0;
  switch (ReadNumber(text, kTimeUnits, Fractions::kAllowed, &value)) {
    case ParseResult::kNotANumber:
      Refuse(node, what + " " + Quoted(text) + " is not a time", expected);
    case ParseResult::kBadUnit:
      Refuse(node, what + " " + Quoted(text) + " has a wrong unit", expected);
    case ParseResult::kOverflow:
      Refuse(node, what + " " + Quoted(text) + " is too large", expected);
    case ParseResult::kOk:
      break;
  }
  const Duration time(value);
  if (time < 0s)
    Refuse(node, what + " " + Quoted(text) + " is negative", expected);
  if (time < min || time > max)
    Refuse(node, what + " " + Quoted(text) + " is out of bounds", expected);
  return time;
}

double YamlSource::Fraction(const YAML::Node& node, const std::string& what,
                            double min, double max) const {
  const std::string text = Text(node, what);
  const std::string expected =
      "a number from " + std::to_string(min) + " to " + std::to_string(max);
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    Refuse(node, what + " " + Quoted(text) + " is not a number", expected);
  if (!(value >= min && value <= max))
    Refuse(node, what + " " + Quoted(text) + " is out of bounds", expected);
  return value;
}

size_t YamlSource::Word(const YAML::Node& node, const std::string& what,
                        std::span<const std::string_view> words) const {
  const std::string text = Text(node, what);
  const auto found = std::find(words.begin(), words.end(), text);
  if (found == words.end())
    Refuse(node, what + " " + Quoted(text) + " is not known",
           "one of " + JoinWords(words));
  return found - words.begin();
}

std::vector<std::string> YamlSource::Names(const YAML::Node& node,
                                           const std::string& what) const {
  std::vector<std::string> names;
  for (const YAML::Node& item : Items(node, what)) {
    std::string name = Name(item, what);
    if (std::find(names.begin(), names.end(), name) != names.end())
      Refuse(item, what + " names " + Quoted(name) + " twice",
             "each name once");
    names.push_back(std::move(name));
  }
  return names;
}

std::vector<YAML::Node> YamlSource::Items(const YAML::Node& node,
                                          const std::string& what) const {
  if (!node.IsSequence()) Refuse(node, what + " is not a list", "a list");
  return {node.begin(), node.end()};
}

YamlMap::YamlMap(const YamlSource& source, const YAML::Node& node,
                 std::string what, std::span<const std::string_view> allowed)
    : m_source(source), m_node(node), m_what(std::move(what)) {
  const std::string expected = "a map of " + JoinWords(allowed);
  if (!node.IsMap()) source.Refuse(node, m_what + " is not a map", expected);
  std::set<std::string> seen;
  for (const auto& field : node) {
    const std::string name = source.Text(field.first, "a key of " + m_what);
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
      source.Refuse(field.first,
                    "unknown field " + Quoted(name) + " in " + m_what,
                    expected);
    }
    if (!seen.insert(name).second) {
      source.Refuse(field.first,
                    "field " + Quoted(name) + " stands twice in " + m_what,
                    "each field once");
    }
  }
}

bool YamlMap::Has(std::string_view field) const {
  return m_node[std::string(field)].IsDefined();
}

YAML::Node YamlMap::At(std::string_view field) const {
  const YAML::Node found = m_node[std::string(field)];
  if (!found.IsDefined())
    m_source.Refuse(m_node, m_what + " has no " + std::string(field),
                    "the field " + std::string(field));
  return found;
}

std::string YamlMap::Label(std::string_view field) const {
  return m_what + "'s " + std::string(field);
}

std::string FormatTime(Duration duration) {
  const int64_t value = duration.count();
  for (const Unit& unit : kTimeUnits)
    if (value != 0 && value % unit.factor == 0)
      return std::to_string(value / unit.factor) + std::string(unit.suffix);
  return std::to_string(ToMs(duration)) + "ms";
}

}  // namespace dotterelshift
