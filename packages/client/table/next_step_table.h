#pragma once

#include "kernel/error_type.h"

#include <array>
#include <string_view>

namespace acaciahill::detail {

/// What an operator does after an error.
struct NextStepRow
{
  ErrorKind kind_;
  std::string_view text_;
};

inline constexpr std::array kNextStepTable = {
  NextStepRow{ ErrorKind::BadRequest,
               "see acaciahill --help, or --help after the command" },
  NextStepRow{ ErrorKind::UnknownPool,
               "acaciahill table lists the pools; acaciahill apply adds one" },
  NextStepRow{ ErrorKind::UnknownVm, "acaciahill vms lists the VMs" },
  NextStepRow{ ErrorKind::UnknownColumn,
               "acaciahill columns lists the columns with their ranges" },
  NextStepRow{ ErrorKind::OutOfRange,
               "acaciahill columns lists the columns with their ranges" },
  NextStepRow{ ErrorKind::UnknownWave,
               "acaciahill wave status lists the waves" },
  NextStepRow{ ErrorKind::UnknownNode, "acaciahill nodes lists the nodes" },
  NextStepRow{ ErrorKind::UnknownJob, "acaciahill jobs lists the jobs" },
  NextStepRow{ ErrorKind::VersionConflict,
               "look at acaciahill table and repeat the change if it is still "
               "wanted" },
  NextStepRow{ ErrorKind::InvalidState,
               "acaciahill why SUBJECT gives the last decisions" },
  NextStepRow{ ErrorKind::BudgetExceeded,
               "acaciahill pools shows what is available; try again later or "
               "change min_available or max_unavailable" },
  NextStepRow{
    ErrorKind::QuotaExceeded,
    "acaciahill jobs shows what the team holds; acaciahill quota set "
    "changes the quota" },
  NextStepRow{ ErrorKind::NeverFits,
               "give a smaller size, or a pool with larger VMs" },
  NextStepRow{
    ErrorKind::ControlUnreachable,
    "check --admin, and acaciahill nodes for the leader; nothing was "
    "changed, so the command may be repeated" },
  NextStepRow{ ErrorKind::NotLeader,
               "an election may be under way; repeat the command" },
  NextStepRow{ ErrorKind::ProposalLost,
               "repeat the command with the --request-id above" },
  NextStepRow{ ErrorKind::Timeout,
               "acaciahill nodes shows which nodes are behind or silent" },
  NextStepRow{ ErrorKind::AnswerMalformed,
               "check that --admin names admin addresses" },
  NextStepRow{ ErrorKind::IoError, "check the name of the file" },
};

} // namespace acaciahill::detail
