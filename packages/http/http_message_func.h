#pragma once

#include "http/http_message_type.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace acaciahill {

/// The value of the first header of that name (case-insensitive), or nullopt.
std::optional<std::string_view>
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// Number of headers of that name (case-insensitive).
std::size_t
CountHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// Compares header names, and tokens in header values, ignoring ASCII case.
bool
IsSameName(std::string_view aLeft, std::string_view aRight);

/// Estimate of the memory in bytes that one copy of parsed fields takes; for
/// short fields this is many times their text.
std::size_t
MemoryOfFields(const HttpHeaders& aHeaders);

} // namespace acaciahill
