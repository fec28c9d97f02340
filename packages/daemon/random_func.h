#pragma once

#include <cstdint>
#include <string>

namespace acaciahill {

/// A random number from the operating system.
std::uint64_t
RandomNumber();

/// A random id of 16 hexadecimal digits.
std::string
RandomId();

} // namespace acaciahill
