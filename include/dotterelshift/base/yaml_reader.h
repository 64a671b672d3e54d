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

// Where a YAML text comes from, and with which kind its faults are refused.
// Every fault is thrown as Error whose text is "FILE:LINE: what is wrong
// (expected form)".
class YamlSource {
 public:
  YamlSource(std::string file, ErrorKind kind)
      : m_file(std::move(file)), m_kind(kind) {}

  // The one document of a text; an empty text gives a null node.
  YAML::Node Parse(std::string_view text) const;

  [[noreturn]] void Refuse(const YAML::Node& at, const std::string& what,
                           const std::string& expected) const;
  [[noreturn]] void RefuseAtLine(int line, const std::string& what,
                                 const std::string& expected) const;

  // Scalars, checked. `what` names the value in the refusal.
  std::string Text(const YAML::Node& node, const std::string& what) const;
  // Letters, digits and ._:/@+- ; at most 128, a letter or digit first.
  std::string Name(const YAML::Node& node, const std::string& what) const;
  bool Bool(const YAML::Node& node, const std::string& what) const;
  // A whole number; with `units` also one that ends in k, M or G (thousands).
  int64_t Number(const YAML::Node& node, const std::string& what, int64_t least,
                 int64_t most, bool units) const;
  // A whole number with ms, s, m or h.
  Duration Time(const YAML::Node& node, const std::string& what, Duration least,
                Duration most) const;
  // A number that need not be whole.
  double Fraction(const YAML::Node& node, const std::string& what, double least,
                  double most) const;
  // The place of a word in `words`.
  size_t Word(const YAML::Node& node, const std::string& what,
              std::span<const std::string_view> words) const;
  // A list of names without doubles.
  std::vector<std::string> Names(const YAML::Node& node,
                                 const std::string& what) const;
  // The items of a list; a fault when the node is something else.
  std::vector<YAML::Node> Items(const YAML::Node& node,
                                const std::string& what) const;

 private:
  std::string m_file;
  ErrorKind m_kind;
};

// A YAML map whose keys are known: made, it has neither unknown nor double
// keys.
class YamlMap {
 public:
  YamlMap(const YamlSource& source, const YAML::Node& node, std::string what,
          std::span<const std::string_view> allowed);

  bool Has(std::string_view field) const;
  // The value of a field; a fault when it is missing.
  YAML::Node At(std::string_view field) const;
  // "WHAT's FIELD", for refusals.
  std::string Label(std::string_view field) const;

 private:
  const YamlSource& m_source;
  YAML::Node m_node;
  std::string m_what;
};

// "90s", "1500ms", "2h": the shortest exact form that YamlSource::Time reads.
std::string FormatTime(Duration duration);

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_YAML_READER_H_
