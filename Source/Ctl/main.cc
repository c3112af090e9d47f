// daisyroadctl: the command-line tool for operators, see docs/ctl.md.

#include <iostream>
#include <string>
#include <vector>

#include "Ctl/run_ctl.h"

int main(int argc, char** argv) {
  return daisyroad::RunCtl(std::vector<std::string>(argv + 1, argv + argc),
                           std::cout, std::cerr);
}
