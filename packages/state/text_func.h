#pragma once

#include "kernel/error_type.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciahill {

/// Why a command is refused; nothing when it is accepted.
using Refusal = std::optional<Error>;

namespace detail {

inline std::string
TextOf(std::string_view aText)
{
  return std::string(aText);
}

template<std::integral T>
std::string
TextOf(T aNumber)
{
  return std::to_string(aNumber);
}

} // namespace detail

/// Concatenates texts and whole numbers.
template<typename... Parts>
std::string
Concat(const Parts&... aParts)
{
  std::string text;
  (text.append(detail::TextOf(aParts)), ...);
  return text;
}

/// An error whose detail is the concatenation of texts and whole numbers.
template<typename... Parts>
Error
Refuse(ErrorKind aKind, const Parts&... aParts)
{
  return Error{ aKind, Concat(aParts...) };
}

/// True when the bytes are valid UTF-8 as RFC 3629 defines it.
bool
IsUtf8(std::string_view aText);

/// Untrusted text for use in a message: at most 60 bytes, with every byte that
/// is not printable ASCII replaced by '?'.
std::string
Printable(std::string_view aText);

/// Checks an id that appears in paths and in the table: 1 to 128 characters
/// of A-Z, a-z, 0-9, '.', '_', '-' and ':'. Errors: BadRequest naming the
/// field.
Refusal
CheckId(std::string_view aField, std::string_view aId);

/// Checks free text: at most aLimit bytes of valid UTF-8. Errors: BadRequest
/// naming the field.
Refusal
CheckText(std::string_view aField, std::string_view aText, std::size_t aLimit);

/// The first refusal of a list, or nothing.
template<typename... Rest>
Refusal
FirstRefusal(Refusal aFirst, Rest... aRest)
{
  if constexpr (sizeof...(Rest) == 0) {
    return aFirst;
  } else {
    return aFirst ? aFirst : FirstRefusal(std::move(aRest)...);
  }
}

} // namespace acaciahill
