#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_STEP_MAP_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_STEP_MAP_H_

#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/base/yaml_reader.h"  // for YamlMap

namespace dotterelshift::scenarios {

// Reads the fields of one step, with default values for missing ones.
class StepMap : public YamlMap {
 public:
  StepMap(const YamlSource& source, const YAML::Node& node,
          const std::vector<std::string_view>& fields)
      : YamlMap(source, node, "the step", fields), m_source(source) {}

  std::string Word(std::string_view field,
                   const std::string& fallback = "") const {
    return Has(field) ? At(field).Scalar() : fallback;
  }
  int64_t Number(std::string_view field, int64_t fallback) const {
    if (!Has(field)) return fallback;
    return m_source.Number(At(field), Label(field), 0, kMaxTokens, true);
  }
  Duration Time(std::string_view field, Duration fallback) const {
    if (!Has(field)) return fallback;
    return m_source.Time(At(field), Label(field), 0s, 24 * 3600s);
  }
  bool Flag(std::string_view field, bool fallback) const {
    return Has(field) ? m_source.Bool(At(field), Label(field)) : fallback;
  }

 private:
  const YamlSource& m_source;
};

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_STEP_MAP_H_
