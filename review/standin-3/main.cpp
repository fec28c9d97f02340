#include "scene.h"

#include <cstring>

// Plays one case: scene CASE FOLDER. Writes FOLDER/record.txt. With TROUBLE=0
// in the environment the disruption is left out.

int
main(int aCount, char** aArguments)
{
  using namespace review;
  if (aCount != 3) {
    std::fputs("usage: scene CASE FOLDER\n", stderr);
    return 2;
  }
  const std::map<std::string, int (*)(Scene&)> cases{
    { "late-end-of-gang", PlayLateEndOfGang },
    { "removed-route", PlayRemovedRoute },
    { "late-upkeep", PlayLateUpkeep },
    { "late-start", PlayLateStart },
  };
  const auto found = cases.find(aArguments[1]);
  if (found == cases.end()) {
    return 2;
  }
  const auto* trouble = std::getenv("TROUBLE");
  Record log(std::string(aArguments[2]) + "/record.txt");
  Scene scene{ log, trouble == nullptr || std::strcmp(trouble, "0") != 0 };
  log.Line(scene.hasTrouble_ ? "with the disruption"
                             : "without the disruption");
  const int result = found->second(scene);
  log.Line(result == 1   ? "result: the rule was broken"
           : result == 0 ? "result: the rule held"
                         : "result: the case could not run");
  return result;
}
