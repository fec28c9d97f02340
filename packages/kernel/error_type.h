#pragma once

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>

namespace acaciahill {

/// All error kinds. Each one has a row in table/error_table.h with its name,
/// the outcome that is reported to callers, the HTTP status and the exit code
/// of the operator client.
enum class ErrorKind : std::uint8_t
{
  // The request was refused and did not run.
  QueueFull = 1,
  CallerLimit,
  DeadlineTooShort,
  NoTarget,
  NodeStopping,
  NodeOverloaded,
  Cancelled,
  RetryBudgetSpent,
  TargetRefused,

  // The request may have run.
  AnswerLost,
  AnswerTimeout,
  AnswerMalformed,
  AnswerTooLarge,
  CancelledInFlight,

  // Requests with an Idempotency-Key.
  ClaimRunning,
  ClaimUnknown,
  ClaimMismatch,
  ClaimLimit,

  // Invalid input; sending it again gives the same error.
  BadRequest,
  RequestTooLarge,
  UnknownPool,
  UnknownVm,
  UnknownColumn,
  UnknownWave,
  UnknownNode,
  UnknownJob,
  OutOfRange,
  VersionConflict,
  StaleIncarnation,
  IdentityConflict,
  StaleEpoch,
  InvalidState,
  BudgetExceeded,
  QuotaExceeded,
  NeverFits,

  // The control group.
  NotLeader,
  ControlUnreachable,
  ProposalLost,

  // The process, its settings and its storage.
  BadSetting,
  IoError,
  CorruptLog,
  CorruptSnapshot,
  Timeout,
  Internal,
};

/// Whether a request without an answer may have been executed, as reported to
/// the caller.
enum class Outcome : std::uint8_t
{
  NotRun,  ///< It did not run; sending it again is safe.
  Unknown, ///< It may have run.
  Refused, ///< The input itself is wrong; sending it again gives the same.
};

/// An error kind with a message: the wrong value, the allowed range and how to
/// correct it, where these are known.
struct Error
{
  ErrorKind kind_ = ErrorKind::Internal;
  std::string detail_;

  bool operator==(const Error&) const = default;
};

/// A value or an error.
template<typename T>
using Result = std::variant<T, Error>;

/// The value type of a Result that carries no value.
struct Done
{
  bool operator==(const Done&) const = default;
};

/// True when the result holds a value.
template<typename T>
bool
IsOk(const Result<T>& aResult)
{
  return aResult.index() == 0;
}

/// The value of a result that IsOk().
template<typename T>
const T&
ValueOf(const Result<T>& aResult)
{
  return std::get<0>(aResult);
}

/// The value of a result that IsOk(), to be moved from.
template<typename T>
T&&
ValueOf(Result<T>&& aResult)
{
  return std::get<0>(std::move(aResult));
}

/// The error of a result that is not IsOk().
template<typename T>
const Error&
ErrorOf(const Result<T>& aResult)
{
  return std::get<1>(aResult);
}

/// Makes ErrorKind usable as a std::error_code of the "acaciahill" category.
std::error_code
make_error_code(ErrorKind aKind);

} // namespace acaciahill

template<>
struct std::is_error_code_enum<acaciahill::ErrorKind> : std::true_type
{
};
