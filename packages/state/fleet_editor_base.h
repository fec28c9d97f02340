#pragma once

#include "state/fleet_base.h"
#include "state/text_func.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace acaciahill {

/// Applies commands to a Fleet. Check changes nothing and returns why a command
/// is refused. Apply is called only for a command that Check accepted; it
/// carries the command out and returns a sentence for the operator.
class FleetEditor
{
public:
  explicit FleetEditor(Fleet& aFleet)
    : fleet_(aFleet)
  {
  }

  /// See Fleet::Apply.
  CommandResult Run(const CommandEnvelope& aEnvelope, std::uint64_t aIndex);

  static Refusal Check(const Fleet& aFleet, const SetCell& aCommand);
  static Refusal Check(const Fleet& aFleet, const ApplyTable& aCommand);
  static Refusal Check(const Fleet& aFleet, const AnnounceVm& aCommand);
  static Refusal Check(const Fleet& aFleet, const BeginMove& aCommand);
  static Refusal Check(const Fleet& aFleet, const CompleteMove& aCommand);
  static Refusal Check(const Fleet& aFleet, const AbortMove& aCommand);
  static Refusal Check(const Fleet& aFleet, const MarkVmLost& aCommand);
  static Refusal Check(const Fleet& aFleet, const RecoverVm& aCommand);
  static Refusal Check(const Fleet& aFleet, const RemoveVm& aCommand);
  static Refusal Check(const Fleet& aFleet, const StartWave& aCommand);
  static Refusal Check(const Fleet& aFleet, const SetWavePhase& aCommand);
  static Refusal Check(const Fleet& aFleet, const GrantPermit& aCommand);
  static Refusal Check(const Fleet& aFleet, const ConfirmStop& aCommand);
  static Refusal Check(const Fleet& aFleet, const RevokePermit& aCommand);
  static Refusal Check(const Fleet& aFleet, const BeginClaim& aCommand);
  static Refusal Check(const Fleet& aFleet, const EndClaim& aCommand);
  static Refusal Check(const Fleet& aFleet, const RegisterNode& aCommand);
  static Refusal Check(const Fleet& aFleet, const RemoveNode& aCommand);
  static Refusal Check(const Fleet& aFleet, const PutJob& aCommand);
  static Refusal Check(const Fleet& aFleet, const CancelJob& aCommand);
  static Refusal Check(const Fleet& aFleet, const SetQuota& aCommand);
  static Refusal Check(const Fleet& aFleet, const PlaceTask& aCommand);
  static Refusal Check(const Fleet& aFleet, const UpdateTask& aCommand);
  static Refusal Check(const Fleet& aFleet, const ChangeWorkload& aCommand);

  std::string Apply(const SetCell& aCommand);
  std::string Apply(const ApplyTable& aCommand);
  std::string Apply(const AnnounceVm& aCommand);
  std::string Apply(const BeginMove& aCommand);
  std::string Apply(const CompleteMove& aCommand);
  std::string Apply(const AbortMove& aCommand);
  std::string Apply(const MarkVmLost& aCommand);
  std::string Apply(const RecoverVm& aCommand);
  std::string Apply(const RemoveVm& aCommand);
  std::string Apply(const StartWave& aCommand);
  std::string Apply(const SetWavePhase& aCommand);
  std::string Apply(const GrantPermit& aCommand);
  std::string Apply(const ConfirmStop& aCommand);
  std::string Apply(const RevokePermit& aCommand);
  std::string Apply(const BeginClaim& aCommand);
  std::string Apply(const EndClaim& aCommand);
  std::string Apply(const RegisterNode& aCommand);
  std::string Apply(const RemoveNode& aCommand);
  std::string Apply(const PutJob& aCommand);
  std::string Apply(const CancelJob& aCommand);
  std::string Apply(const SetQuota& aCommand);
  std::string Apply(const PlaceTask& aCommand);
  std::string Apply(const UpdateTask& aCommand);
  std::string Apply(const ChangeWorkload& aCommand);

private:
  // Clock, results and decisions (fleet.cpp).
  void AdvanceClock(std::uint64_t aElapsedMs);
  void ExpireClaims();
  CommandResult RunNew(const Command& aCommand);
  const CommandResult* FindStoredResult(const CommandEnvelope& aEnvelope) const;
  static void StoreResult(StoredResults& aResults,
                          const std::string& aRequestId,
                          const CommandResult& aResult);
  void RecordDecision(const std::string& aSubject, const std::string& aText);
  void RecordDecisionIfNew(const std::string& aSubject,
                           const std::string& aText);
  void RecordDecisionForAll(std::initializer_list<std::string> aSubjects,
                            const std::string& aText);
  void EvictOldestSubject();
  std::vector<std::string> SubjectsOf(const Command& aCommand) const;

  // VMs (vm_cmd.cpp).
  VmRecord& Vm(const std::string& aId) { return fleet_.vms_.at(aId); }
  void SetPhase(VmRecord& aVm, VmPhase aPhase);
  std::string AddVm(const VmIdentity& aIdentity);
  std::string CompleteReboot(VmRecord& aVm, const VmIdentity& aIdentity);

  // Permits and waves (wave_cmd.cpp).
  void CancelDrain(VmRecord& aVm);
  void RevokeUnconfirmedPermits(const std::string& aWave);
  void ClosePermit(const std::string& aPermit, bool aIsDone);
  void CompleteWaveIfDone(const std::string& aWave);
  void EndWave(Wave& aWave, WavePhase aPhase);
  void RemoveFromWaves(const std::string& aVm, const std::string& aNewPool);
  void AddToWaves(const VmRecord& aVm, const std::string& aOldPool);

  // Tasks (job_cmd.cpp).
  void SetTaskPhase(TaskRecord& aTask, TaskPhase aPhase);
  void CountTask(const TaskRecord& aTask,
                 const JobRecord& aJob,
                 std::int64_t aSign);
  void ReleaseTasks(const std::string& aVm);
  void EndJobIfFinished(const std::string& aJob);

  Fleet& fleet_;
};

} // namespace acaciahill
