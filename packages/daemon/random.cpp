#include "daemon/random_func.h"

#include <cstdio>
#include <random>

namespace acaciahill {

std::uint64_t
RandomNumber()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string
RandomId()
{
  char text[17];
  std::snprintf(text,
                sizeof text,
                "%016llx",
                static_cast<unsigned long long>(RandomNumber()));
  return text;
}

} // namespace acaciahill
