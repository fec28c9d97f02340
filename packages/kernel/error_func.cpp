#include "kernel/error_func.h"

#include "kernel/table/error_table.h"

#include <algorithm>
#include <cstdlib>

namespace acaciahill {

namespace {

class ErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "acaciahill"; }

  std::string message(int aValue) const override
  {
    return std::string(AnswerOf(static_cast<ErrorKind>(aValue)).text_);
  }
};

} // namespace

const ErrorAnswer&
AnswerOf(ErrorKind aKind)
{
  const auto row = std::find_if(
    detail::kErrorTable.begin(),
    detail::kErrorTable.end(),
    [aKind](const ErrorAnswer& aRow) { return aRow.kind_ == aKind; });
  if (row == detail::kErrorTable.end()) {
    // Only reachable with a value that was cast from a number without a kind.
    return detail::kErrorTable.back();
  }
  return *row;
}

std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName)
{
  for (const auto& row : detail::kErrorTable) {
    if (row.name_ == aName) {
      return row.kind_;
    }
  }
  return std::nullopt;
}

std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
    case Outcome::Refused:
      break;
  }
  return "refused";
}

std::string
Describe(const Error& aError)
{
  const auto& row = AnswerOf(aError.kind_);
  std::string text(row.name_);
  text += ": ";
  text += aError.detail_.empty() ? std::string(row.text_) : aError.detail_;
  return text;
}

std::error_code
make_error_code(ErrorKind aKind)
{
  static const ErrorCategory kCategory;
  return { static_cast<int>(aKind), kCategory };
}

} // namespace acaciahill
