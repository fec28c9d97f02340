#pragma once

#include "client/admin_client_base.h"
#include "kernel/error_type.h"

#include <cxxopts.hpp>

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace acaciahill {

/// What a command works with.
struct CommandContext
{
  AdminClient& admin_;
  const cxxopts::ParseResult& options_;
  /// Words after the command's name.
  const std::vector<std::string>& words_;
  /// Results go to out_, progress and explanations to err_.
  std::ostream& out_;
  std::ostream& err_;

  bool Has(const std::string& aOption) const
  {
    return options_.count(aOption) != 0;
  }
  std::string Text(const std::string& aOption) const
  {
    return Has(aOption) ? options_[aOption].as<std::string>() : std::string();
  }
};

/// Carries a command out. The error becomes the message and the exit code.
using CommandHandler = Result<Done> (*)(const CommandContext&);

/// An option of a command; without an argument it is a switch.
struct OptionRow
{
  std::string_view name_;
  /// Name of its argument for the help; empty for a switch.
  std::string_view argument_;
  std::string_view help_;
};

/// A command of the client.
struct CommandRow
{
  /// As "table" or "wave start".
  std::string_view name_;
  /// Names of its words, as "POOL COLUMN VALUE"; those in brackets may be left
  /// out.
  std::string_view words_;
  std::string_view help_;
  std::vector<OptionRow> options_;
  std::vector<std::string_view> examples_;
  CommandHandler handler_;
};

// The commands, one handler each.
Result<Done>
ShowTable(const CommandContext& aContext);
Result<Done>
ShowColumns(const CommandContext& aContext);
Result<Done>
SetTableCell(const CommandContext& aContext);
Result<Done>
ApplyTableFile(const CommandContext& aContext);
Result<Done>
ShowPools(const CommandContext& aContext);
Result<Done>
ShowVms(const CommandContext& aContext);
Result<Done>
ShowNodes(const CommandContext& aContext);
Result<Done>
ShowWhy(const CommandContext& aContext);
Result<Done>
RemoveOneVm(const CommandContext& aContext);
Result<Done>
RemoveOneNode(const CommandContext& aContext);
Result<Done>
StartOneWave(const CommandContext& aContext);
Result<Done>
ShowWaves(const CommandContext& aContext);
Result<Done>
PauseWave(const CommandContext& aContext);
Result<Done>
ResumeWave(const CommandContext& aContext);
Result<Done>
CancelWave(const CommandContext& aContext);
Result<Done>
ShowJobs(const CommandContext& aContext);
Result<Done>
PutOneJob(const CommandContext& aContext);
Result<Done>
CancelOneJob(const CommandContext& aContext);
Result<Done>
SetTeamQuota(const CommandContext& aContext);

} // namespace acaciahill
