#include "client/client_func.h"
#include "client/text_table_func.h"

namespace acaciahill {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kWaveIdDigits = 8;

Result<Done>
SetPhase(const CommandContext& aContext, const char* aPhase)
{
  // Resuming takes no reason.
  const auto reason =
    aContext.options_.count("reason") == 0 ? "" : aContext.Text("reason");
  const auto reply = SendChange(aContext,
                                { { "type", "set_wave_phase" },
                                  { "wave", aContext.words_[0] },
                                  { "phase", aPhase },
                                  { "reason", reason } });
  return IsOk(reply) ? Result<Done>(Done{}) : ErrorOf(reply);
}

/// Adds the numbers of VMs that a list line shows.
Json
WithCounts(Json aWave)
{
  aWave["pending_count"] = aWave.value("pending", Json::array()).size();
  aWave["done_count"] = aWave.value("done", Json::array()).size();
  aWave["permit_count"] = aWave.value("permits", Json::array()).size();
  if (aWave.value("pools", Json::array()).empty()) {
    aWave["pools"] = "all";
  }
  return aWave;
}

void
PrintWaves(const CommandContext& aContext, const Json& aWaves)
{
  auto list = Json::array();
  for (const auto& wave : aWaves) {
    list.push_back(WithCounts(wave));
  }
  aContext.out_ << ListAsText({ { "WAVE", "id" },
                                { "PHASE", "phase" },
                                { "POOLS", "pools" },
                                { "WIDTH", "width" },
                                { "PENDING", "pending_count" },
                                { "PERMITS", "permit_count" },
                                { "DONE", "done_count" },
                                { "REASON", "reason" } },
                              list);
}

} // namespace

Result<Done>
StartOneWave(const CommandContext& aContext)
{
  const auto width = NumberOption(aContext, "width", 0);
  if (!IsOk(width)) {
    return ErrorOf(width);
  }
  // A resend with the same request id names the same wave.
  const auto wave =
    aContext.words_.empty()
      ? "wave-" + aContext.admin_.Settings().requestId_.substr(0, kWaveIdDigits)
      : aContext.words_[0];
  const auto reply =
    SendChange(aContext,
               { { "type", "start_wave" },
                 { "wave", wave },
                 { "pools", SplitCommas(aContext.Text("pools")) },
                 { "width", ValueOf(width) } });
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  aContext.out_ << "wave " << wave << '\n';
  return Done{};
}

Result<Done>
ShowWaves(const CommandContext& aContext)
{
  const bool isOne = !aContext.words_.empty();
  const auto answer = aContext.admin_.GetJson(
    isOne ? "/v1/waves/" + aContext.words_[0] : "/v1/waves");
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  const auto& body = ValueOf(answer);
  if (aContext.Has("json")) {
    aContext.out_ << body.dump(2) << '\n';
    return Done{};
  }
  PrintWaves(aContext, isOne ? Json::array({ body }) : body);
  if (isOne) {
    const auto permits = body.value("permits", Json::array());
    if (!permits.empty()) {
      aContext.out_ << '\n'
                    << ListAsText({ { "PERMIT", "id" },
                                    { "VM", "vm" },
                                    { "CONFIRMED", "confirmed" } },
                                  permits);
    }
    aContext.out_ << "pending: " << CellOfJson(body.value("pending", Json()))
                  << '\n';
  }
  return Done{};
}

Result<Done>
PauseWave(const CommandContext& aContext)
{
  return SetPhase(aContext, "paused");
}

Result<Done>
ResumeWave(const CommandContext& aContext)
{
  return SetPhase(aContext, "running");
}

Result<Done>
CancelWave(const CommandContext& aContext)
{
  return SetPhase(aContext, "cancelled");
}

} // namespace acaciahill
