// Command-line tool for operators: dotterelshiftctl VERB [OPTIONS].
#include <iostream>  // for cout, cerr

#include "dotterelshift/ctl/ctl.h"  // for Run

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto transport = dotterelshift::ctl::MakeTransport();
  return static_cast<int>(
      dotterelshift::ctl::Run(arguments, *transport, std::cout, std::cerr));
}
