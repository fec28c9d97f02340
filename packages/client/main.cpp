#include "client/client_func.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

int
main(int aCount, char** aWords)
{
  try {
    std::signal(SIGPIPE, SIG_IGN);
    std::map<std::string, std::string> environment;
    if (const char* admin = std::getenv("ACACIAHILL_ADMIN")) {
      environment["ACACIAHILL_ADMIN"] = admin;
    }
    const std::vector<std::string> words(aWords + 1, aWords + aCount);
    return acaciahill::RunClient(words, environment, std::cout, std::cerr);
  } catch (const std::exception& error) {
    std::cerr << "acaciahill: " << error.what() << '\n';
    return 6;
  }
}
