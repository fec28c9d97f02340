#pragma once

#include "http/http_message_type.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace acaciahill {

/// The value of the first header of that name, compared without case; nothing
/// when there is none.
std::optional<std::string_view>
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// How many headers have that name, compared without case.
std::size_t
CountHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// Compares names of headers, and words in their values, without case.
bool
IsSameName(std::string_view aLeft, std::string_view aRight);

} // namespace acaciahill
