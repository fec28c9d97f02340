#pragma once

#include "kernel/error_type.h"
#include "state/command_type.h"
#include "state/fleet_type.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace acaciahill {

// JSON objects have the fields of the structs in snake_case, without the
// trailing underscore; enums are snake_case words. Text that is not valid UTF-8
// becomes a binary value, so that dump() never throws on these objects.

/// The name of an enumerator in JSON and in messages, such as "draining".
std::string_view
WordOf(DrainAction aValue);
std::string_view
WordOf(VmPhase aValue);
std::string_view
WordOf(WavePhase aValue);
std::string_view
WordOf(ClaimPhase aValue);
std::string_view
WordOf(ClaimEnd aValue);
std::string_view
WordOf(TaskPhase aValue);

/// The name of a command's type, such as "set_cell".
std::string_view
CommandName(const Command& aCommand);

/// Returns an object with "type" and the fields of the command.
nlohmann::json
CommandToJson(const Command& aCommand);

/// Parses the output of CommandToJson. Missing fields take their defaults.
/// Errors: BadRequest, naming the field that is unknown or has the wrong type.
Result<Command>
CommandFromJson(const nlohmann::json& aJson);

nlohmann::json
RowToJson(const PoolRow& aRow);
nlohmann::json
VmToJson(const VmRecord& aVm);
nlohmann::json
WaveToJson(const Wave& aWave);
nlohmann::json
PermitToJson(const Permit& aPermit);
nlohmann::json
JobToJson(const JobRecord& aJob);
nlohmann::json
TaskToJson(const TaskRecord& aTask);
nlohmann::json
QuotaToJson(const TeamQuota& aQuota);
nlohmann::json
DecisionToJson(const DecisionRecord& aDecision);
nlohmann::json
NodeToJson(const NodeRecord& aNode);
nlohmann::json
ClaimToJson(const Claim& aClaim);

/// "error" (with "kind" and "detail") and "claim" are left out when absent.
nlohmann::json
ResultToJson(const CommandResult& aResult);

/// Parses the output of ResultToJson. Errors: BadRequest naming the field.
Result<CommandResult>
ResultFromJson(const nlohmann::json& aJson);

} // namespace acaciahill
