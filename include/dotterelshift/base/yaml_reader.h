#ifndef DOTTERELSHIFT_BASE_YAML_READER_H_
#define DOTTERELSHIFT_BASE_YAML_READER_H_

#include <yaml-cpp/yaml.h>  // for Node

#include <cstdint>      // for int64_t
#include <span>         // for span
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/base/error.h"   // for ErrorKind
#include "dotterelshift/base/time.h"    // for Duration
#include "dotterelshift/base/tokens.h"  // for Tokens

namespace dotterelshift {

// Parses and validates values of one YAML file. Every fault is thrown as an
// Error of the given kind with the text "FILE:LINE: what is wrong (expected
// form)".
class YamlSource {
 public:
  YamlSource(std::string file, ErrorKind kind)
      : m_file(std::move(file)), m_kind(kind) {}

  // Parses a text with one document; an empty text gives a null node.
  YAML::Node Parse(std::string_view text) const;

  [[noreturn]] void Refuse(const YAML::Node& at, const std::string& what,
                           const std::string& expected) const;
  [[noreturn]] void RefuseAtLine(int line, const std::string& what,
                                 const std::string& expected) const;

  // Validated scalars. `what` names the value in the error text.
  std::string Text(const YAML::Node& node, const std::string& what) const;
  // At most 128 letters, digits and ._:/@+- ; starts with a letter or digit.
  std::string Name(const YAML::Node& node, const std::string& what) const;
  bool Bool(const YAML::Node& node, const std::string& what) const;
  // An integer; with `units` also one with the suffix k, M or G (10^3, 10^6,
  // 10^9).
  int64_t Number(const YAML::Node& node, const std::string& what, int64_t min,
                 int64_t max, bool units) const;
  // A number with the unit ms, s, m or h.
  Duration Time(const YAML::Node& node, const std::string& what, Duration min,
                Duration max) const;
  // A floating-point number.
  double Fraction(const YAML::Node& node, const std::string& what, double min,
                  double max) const;
  // The index of the word in `words`.
  size_t Word(const YAML::Node& node, const std::string& what,
              std::span<const std::string_view> words) const;
  // A list of names without duplicates.
  std::vector<std::string> Names(const YAML::Node& node,
                                 const std::string& what) const;
  // The items of a list; throws when the node is not a list.
  std::vector<YAML::Node> Items(const YAML::Node& node,
                                const std::string& what) const;

 private:
  std::string m_file;
  ErrorKind m_kind;
};

// A YAML map with a fixed set of keys. The constructor throws on unknown and
// duplicate keys.
class YamlMap {
 public:
  YamlMap(const YamlSource& source, const YAML::Node& node, std::string what,
          std::span<const std::string_view> allowed);

  bool Has(std::string_view field) const;
  // The value of a field; throws when it is missing.
  YAML::Node At(std::string_view field) const;
  // "WHAT's FIELD", for error texts.
  std::string Label(std::string_view field) const;

 private:
  const YamlSource& m_source;
  YAML::Node m_node;
  std::string m_what;
};

// "90s", "1500ms", "2h": the shortest exact form that YamlSource::Time accepts.
std::string FormatTime(Duration duration);

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_YAML_READER_H_
