#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_EXPECTATIONS_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_EXPECTATIONS_H_

#include <string>  // for string

#include "scenarios/step_map.h"  // for StepMap
#include "scenarios/world.h"     // for World

namespace dotterelshift::scenarios {

// Checks the `expect` steps of a script and records each failed expectation in
// the world's Records.
class Expectations {
 public:
  Expectations(const YamlSource& source, World* world)
      : m_source(source), m_world(*world) {}
  void Check(const YAML::Node& what);

 private:
  void Compare(const StepMap& map, const std::string& what, int64_t value);
  void CompareAll(const std::string& what, size_t count, size_t all);
  void CheckRequests(const StepMap& map);
  void CheckBudget(const StepMap& map);
  void CheckAnswer(const StepMap& map);
  void CheckReady(const StepMap& map);
  void CheckVersions();
  void Break(const std::string& text);

  const YamlSource& m_source;
  World& m_world;
};

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_EXPECTATIONS_H_
