// Runs the CppUnit tests of all packages, or only those whose name contains one
// of the given words. `--except SUITE::TEST` skips that test and prints its
// name.
#include <cppunit/BriefTestProgressListener.h>  // for BriefTestProgressListener
#include <cppunit/CompilerOutputter.h>          // for CompilerOutputter
#include <cppunit/Test.h>                       // for Test
#include <cppunit/TestResult.h>                 // for TestResult
#include <cppunit/TestResultCollector.h>        // for TestResultCollector
#include <cppunit/extensions/TestFactoryRegistry.h>  // for TestFactoryRegistry

#include <algorithm>  // for any_of
#include <csignal>    // for signal
#include <iostream>   // for cout
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <vector>     // for vector

namespace {

struct Selection {
  std::vector<std::string> words;
  std::vector<std::string> exceptions;  // SUITE::TEST
};

Selection ParseArguments(const std::vector<std::string>& arguments) {
  Selection choice;
  for (size_t i = 0; i < arguments.size(); ++i) {
    const bool except = arguments[i] == "--except" && i + 1 < arguments.size();
    if (except)
      choice.exceptions.push_back(arguments[++i]);
    else
      choice.words.push_back(arguments[i]);
  }
  return choice;
}

bool IsExcepted(const std::string& name, const Selection& choice) {
  return std::any_of(choice.exceptions.begin(), choice.exceptions.end(),
                     [&](const std::string& exception) {
                       return name.ends_with("::" + exception);
                     });
}

// Collects the leaf tests below `test` whose name contains one of the words, or
// all of them if there are no words, without the excepted ones.
void Select(CppUnit::Test* test, const Selection& choice,
            std::vector<CppUnit::Test*>* selected) {
  if (test->getChildTestCount() > 0) {
    for (int i = 0; i < test->getChildTestCount(); ++i)
      Select(test->getChildTestAt(i), choice, selected);
    return;
  }
  bool wanted = choice.words.empty();
  for (const std::string& word : choice.words)
    wanted = wanted || test->getName().find(word) != std::string::npos;
  if (!wanted) return;
  if (IsExcepted(test->getName(), choice)) {
    std::cout << "left out: " << test->getName() << "\n";
    return;
  }
  selected->push_back(test);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const Selection choice = ParseArguments({argv + 1, argv + argc});
  const std::unique_ptr<CppUnit::Test> all(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  std::vector<CppUnit::Test*> selected;
  Select(all.get(), choice, &selected);

  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  if (!choice.words.empty()) result.addListener(&progress);
  for (CppUnit::Test* test : selected) test->run(&result);

  CppUnit::CompilerOutputter(&collector, std::cout).write();
  const int failed = collector.testFailuresTotal();
  std::cout << collector.runTests() - failed << " passed, " << failed
            << " failed\n";
  const bool empty = collector.runTests() == 0;
  return failed > 0 || empty ? 1 : 0;
}
