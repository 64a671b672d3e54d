// Runs the CppUnit tests of every package: all of them, or the suites and tests
// whose path holds one of the words given.
#include <cppunit/BriefTestProgressListener.h>  // for BriefTestProgressListener
#include <cppunit/CompilerOutputter.h>          // for CompilerOutputter
#include <cppunit/Test.h>                       // for Test
#include <cppunit/TestResult.h>                 // for TestResult
#include <cppunit/TestResultCollector.h>        // for TestResultCollector
#include <cppunit/extensions/TestFactoryRegistry.h>  // for TestFactoryRegistry

#include <csignal>   // for signal
#include <iostream>  // for cout
#include <memory>    // for unique_ptr
#include <string>    // for string
#include <vector>    // for vector

namespace {

// Collects the single tests below `test` whose name holds one of `words`.
void Select(CppUnit::Test* test, const std::vector<std::string>& words,
            std::vector<CppUnit::Test*>* selected) {
  if (test->getChildTestCount() > 0) {
    for (int i = 0; i < test->getChildTestCount(); ++i)
      Select(test->getChildTestAt(i), words, selected);
    return;
  }
  bool wanted = words.empty();
  for (const std::string& word : words)
    wanted = wanted || test->getName().find(word) != std::string::npos;
  if (wanted) selected->push_back(test);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> words(argv + 1, argv + argc);
  const std::unique_ptr<CppUnit::Test> all(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  std::vector<CppUnit::Test*> selected;
  Select(all.get(), words, &selected);

  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  if (!words.empty()) result.addListener(&progress);
  for (CppUnit::Test* test : selected) test->run(&result);

  CppUnit::CompilerOutputter(&collector, std::cout).write();
  const int failed = collector.testFailuresTotal();
  std::cout << collector.runTests() - failed << " passed, " << failed
            << " failed\n";
  const bool empty = collector.runTests() == 0;
  return failed > 0 || empty ? 1 : 0;
}
