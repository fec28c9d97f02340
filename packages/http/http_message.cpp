#include "http/http_message_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

// Both strings of a field, and its node in a parser's or client's message with
// the overhead of the allocator.
constexpr std::size_t kFieldBytes = 128;

char
Lower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                      : aChar;
}

} // namespace

bool
IsSameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aOther) { return Lower(aOne) == Lower(aOther); });
}

std::optional<std::string_view>
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& header : aHeaders) {
    if (IsSameName(header.name_, aName)) {
      return header.value_;
    }
  }
  return std::nullopt;
}

std::size_t
CountHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  return static_cast<std::size_t>(std::count_if(
    aHeaders.begin(), aHeaders.end(), [aName](const HttpHeader& aHeader) {
      return IsSameName(aHeader.name_, aName);
    }));
}

std::size_t
MemoryOfFields(const HttpHeaders& aHeaders)
{
  std::size_t bytes = 0;
  for (const auto& header : aHeaders) {
    bytes += kFieldBytes + header.name_.size() + header.value_.size();
  }
  return bytes;
}

} // namespace acaciahill
