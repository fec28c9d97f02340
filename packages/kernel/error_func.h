#pragma once

#include "kernel/error_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace acaciahill {

/// Table row of an error kind: its stable name in answers and logs, the outcome
/// for callers, the HTTP status, the exit code of the operator client and a
/// default sentence.
struct ErrorAnswer
{
  ErrorKind kind_;
  std::string_view name_;
  Outcome outcome_;
  int httpStatus_;
  int exitCode_;
  std::string_view text_;
};

/// Returns the table row of a kind. Every kind has one.
const ErrorAnswer&
AnswerOf(ErrorKind aKind);

/// Finds a kind by its stable name; nothing when there is none.
std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName);

/// The value of the Acaciahill-Outcome header: "not-run", "unknown" or
/// "refused".
std::string_view
OutcomeName(Outcome aOutcome);

/// Formats an error as "name: detail", with the default sentence when it has no
/// detail.
std::string
Describe(const Error& aError);

} // namespace acaciahill
