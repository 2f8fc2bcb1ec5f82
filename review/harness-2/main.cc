// Runs one stand-in or the driver of one case:
//   review-2 server --id ID --version V --born MS --slots N --listen IP:PORT
//   review-2 budget RECORD
//   review-2 versions RECORD
//   review-2 replacement RECORD

#include <cstdio>
#include <string>

#include "budget_case.h"
#include "replacement_case.h"
#include "server.h"
#include "versions_case.h"

int main(int argc, char** argv) {
  using namespace comfreyfold::review;
  const std::string what = argc > 1 ? argv[1] : "";
  try {
    if (what == "server") {
      return RunServer(argc, argv);
    }
    if (what == "budget" && argc > 2) {
      return RunBudgetCase(argv[2]);
    }
    if (what == "versions" && argc > 2) {
      return RunVersionsCase(argv[2]);
    }
    if (what == "replacement" && argc > 2) {
      return RunReplacementCase(argv[2]);
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
  }
  return 2;
}
