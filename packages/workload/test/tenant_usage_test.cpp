#include "workload/tenant_usage_base.h"

#include <catch2/catch.hpp>

using namespace acaciahill;

// Guards against starts beyond a tenant's cap, and against tenants that never
// use what is left of their cap because their tasks are larger.
TEST_CASE("a tenant's tasks start while it uses less than its cap")
{
  struct Row
  {
    const char* name_;
    TaskNeed cap_;
    TaskNeed used_;
    TaskNeed need_;
    std::uint32_t together_;
    bool mayStart_;
  };
  const std::vector<Row> rows{
    { "no cap", {}, { 9000, 9000, 9 }, { 1000, 1000, 1 }, 1, true },
    { "unused", { 1000, 0, 0 }, {}, { 4000, 100, 0 }, 1, true },
    { "a part left", { 1000, 0, 0 }, { 999, 0, 0 }, { 4000, 1, 0 }, 1, true },
    { "cores used", { 1000, 0, 0 }, { 1000, 0, 0 }, { 1, 1, 0 }, 1, false },
    { "memory used", { 0, 500, 0 }, { 10, 500, 0 }, { 1, 1, 0 }, 1, false },
    { "memory used, none needed",
      { 0, 500, 0 },
      { 10, 500, 0 },
      { 1, 0, 0 },
      1,
      true },
    { "accelerators used", { 0, 0, 2 }, { 1, 1, 2 }, { 1, 1, 1 }, 1, false },
    { "a gang within", { 1000, 0, 0 }, { 100, 0, 0 }, { 300, 0, 0 }, 3, true },
    { "a gang beyond", { 1000, 0, 0 }, { 100, 0, 0 }, { 300, 0, 0 }, 4, false },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    TenantUsage usage;
    usage.SetTenants({ { "a", { "a", 1, row.cap_ } } });
    usage.Add("a", row.used_);
    CHECK(usage.MayStart("a", row.need_, row.together_) == row.mayStart_);
    CHECK(usage.MayStart("other", row.need_, row.together_));
    CHECK(usage.MayStart("", row.need_, row.together_));
  }
}

TEST_CASE("what a run reserved is free once it was removed")
{
  TenantUsage usage;
  usage.SetTenants({ { "a", { "a", 1, { 1000, 0, 0 } } } });
  usage.Add("a", { 1000, 10, 0 });
  usage.Add("", { 1000, 10, 0 });
  CHECK(usage.UsedBy("a") == TaskNeed{ 1000, 10, 0 });
  CHECK_FALSE(usage.MayStart("a", { 1, 1, 0 }, 1));
  usage.Remove("a", { 1000, 10, 0 });
  usage.Remove("", { 1000, 10, 0 });
  CHECK(usage.MayStart("a", { 1, 1, 0 }, 1));
  CHECK(usage.Used().empty());
}
