#pragma once

#include "client/client_type.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace acaciahill {

/// Runs the operator client with the words of its command line (without the
/// program's name). The environment is asked for ACACIAHILL_ADMIN. Returns the
/// exit code: 0, or that of the error table.
int
RunClient(const std::vector<std::string>& aWords,
          const std::map<std::string, std::string>& aEnvironment,
          std::ostream& aOut,
          std::ostream& aErr);

/// What to do after an error of this kind; empty when there is no advice.
std::string_view
NextStepAfter(ErrorKind aKind);

/// Sends a change, prints what it did, and waits with --wait. Errors: as
/// AdminClient::Change() and WaitInForce().
Result<ChangeReply>
SendChange(const CommandContext& aContext, const nlohmann::json& aCommand);

/// A whole number of at least 0 from an option; the default when it was not
/// given. Errors: BadRequest naming the option and its value.
Result<std::int64_t>
NumberOption(const CommandContext& aContext,
             const std::string& aOption,
             std::int64_t aDefault);

/// Reads "1.5" cores as 1500 thousandths. Errors: BadRequest.
Result<std::int64_t>
MilliCoresOption(const CommandContext& aContext,
                 const std::string& aOption,
                 double aDefault);

/// Text without leading and trailing spaces, split at commas.
std::vector<std::string>
SplitCommas(const std::string& aText);

} // namespace acaciahill
