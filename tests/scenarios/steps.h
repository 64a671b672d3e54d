#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_STEPS_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_STEPS_H_

#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/base/yaml_reader.h"  // for YamlSource
#include "scenarios/script.h"                // for ScriptResult

namespace dotterelshift::scenarios {

// The names of the top-level fields of a script.
const std::vector<std::string_view>& ScriptFields();

// Creates the world that a script describes and runs its steps in it.
ScriptResult RunSteps(const YamlSource& source, const YAML::Node& root,
                      const PolicyOverride& choice);

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_STEPS_H_
