#include "state/budget_func.h"

#include "state/text_func.h"

#include <set>
#include <string_view>

namespace acaciahill {

namespace {

// VM ids listed in a message; a list of hundreds would be unreadable.
constexpr std::size_t kMaxListedVms = 5;

class BudgetCounter
{
public:
  BudgetCounter(const std::string& aVm,
                const std::vector<std::string>& aUnavailable)
    : vm_(aVm)
    , unavailable_(aUnavailable.begin(), aUnavailable.end())
  {
  }

  void Add(const VmRecord& aVm)
  {
    ++verdict_.total_;
    const auto& id = aVm.identity_.id_;
    if (id == vm_) {
      ++verdict_.unavailable_;
    } else if (aVm.phase_ != VmPhase::Active || unavailable_.count(id) != 0) {
      ++verdict_.unavailable_;
      AddName(id);
    } else {
      ++verdict_.available_;
      ++racks_[Concat(aVm.identity_.zone_, "/", aVm.identity_.rack_)];
    }
  }

  BudgetVerdict Evaluate(const PoolRow& aRow)
  {
    for (const auto& [rack, vms] : racks_) {
      if (vms > verdict_.worstRackVms_) {
        verdict_.worstRack_ = rack;
        verdict_.worstRackVms_ = vms;
      }
    }
    const auto left = verdict_.available_ - verdict_.worstRackVms_;
    if (verdict_.unavailable_ > aRow.maxUnavailable_) {
      verdict_.text_ = TooManyUnavailableText(aRow);
    } else if (left < aRow.minAvailable_) {
      verdict_.text_ = TooFewAvailableText(aRow, left);
    } else {
      verdict_.allowed_ = true;
      verdict_.text_ = Concat(verdict_.available_,
                              " of ",
                              verdict_.total_,
                              " available, ",
                              aRow.minAvailable_,
                              " must stay",
                              RackText(left));
    }
    return verdict_;
  }

private:
  void AddName(const std::string& aId)
  {
    if (shown_ < kMaxListedVms) {
      names_ += Concat(shown_ == 0 ? "" : ", ", aId);
    } else if (shown_ == kMaxListedVms) {
      names_ += ", ...";
    }
    ++shown_;
  }

  std::string TooManyUnavailableText(const PoolRow& aRow) const
  {
    return Concat("pool ",
                  aRow.pool_,
                  ": ",
                  vm_,
                  " must stay; without it ",
                  verdict_.unavailable_,
                  " of ",
                  verdict_.total_,
                  " VMs would be unavailable and max_unavailable is ",
                  aRow.maxUnavailable_,
                  names_.empty() ? "" : "; unavailable now: ",
                  names_);
  }

  std::string TooFewAvailableText(const PoolRow& aRow, std::int64_t aLeft) const
  {
    return Concat("pool ",
                  aRow.pool_,
                  ": ",
                  vm_,
                  " must stay; without it ",
                  verdict_.available_,
                  " of ",
                  verdict_.total_,
                  " VMs would be available",
                  RackText(aLeft),
                  ", and min_available is ",
                  aRow.minAvailable_,
                  names_.empty() ? "" : "; unavailable now: ",
                  names_);
  }

  std::string RackText(std::int64_t aLeft) const
  {
    return verdict_.worstRack_.empty()
             ? std::string()
             : Concat(
                 " (", aLeft, " after losing rack ", verdict_.worstRack_, ")");
  }

  const std::string& vm_;
  std::set<std::string_view> unavailable_;
  std::map<std::string, std::int64_t> racks_;
  BudgetVerdict verdict_;
  std::string names_;
  std::size_t shown_ = 0;
};

} // namespace

BudgetVerdict
CheckBudget(const PoolRow& aRow,
            const std::map<std::string, VmRecord>& aVms,
            const std::string& aVm,
            const std::vector<std::string>& aUnavailable)
{
  BudgetCounter count(aVm, aUnavailable);
  for (const auto& [id, vm] : aVms) {
    if (vm.pool_ == aRow.pool_) {
      count.Add(vm);
    }
  }
  return count.Evaluate(aRow);
}

} // namespace acaciahill
