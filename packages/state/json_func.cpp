#include "state/json_func.h"

#include "state/json_io_base.h"

#include <exception>

namespace acaciahill {

namespace detail {

namespace {

// The deepest value is a claim in a result in a snapshot. The limit keeps
// hostile bytes from exhausting the stack of the recursive CBOR reader.
constexpr int kDepthLimit = 16;

// Accepts every value and stops at the depth limit.
class DepthCheck : public nlohmann::json::json_sax_t
{
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kDepthLimit; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --depth_ >= 0; }
  bool start_array(std::size_t) override { return ++depth_ <= kDepthLimit; }
  bool end_array() override { return --depth_ >= 0; }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::json::exception&) override
  {
    return false;
  }

private:
  int depth_ = 0;
};

} // namespace

std::optional<nlohmann::json>
ParseCbor(std::string_view aBytes)
{
  // The library throws on some malformed lengths even when exceptions are
  // turned off.
  try {
    DepthCheck check;
    if (!nlohmann::json::sax_parse(
          aBytes, &check, nlohmann::json::input_format_t::cbor)) {
      return std::nullopt;
    }
    auto json = nlohmann::json::from_cbor(aBytes, true, false);
    if (json.is_discarded()) {
      return std::nullopt;
    }
    return json;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string
DumpCbor(const nlohmann::json& aJson)
{
  std::string bytes;
  nlohmann::json::to_cbor(aJson, bytes);
  return bytes;
}

} // namespace detail

std::string_view
WordOf(DrainAction aValue)
{
  return detail::WordOfEnum(aValue);
}

std::string_view
WordOf(VmPhase aValue)
{
  return detail::WordOfEnum(aValue);
}

std::string_view
WordOf(WavePhase aValue)
{
  return detail::WordOfEnum(aValue);
}

std::string_view
WordOf(ClaimPhase aValue)
{
  return detail::WordOfEnum(aValue);
}

std::string_view
WordOf(ClaimEnd aValue)
{
  return detail::WordOfEnum(aValue);
}

std::string_view
WordOf(TaskPhase aValue)
{
  return detail::WordOfEnum(aValue);
}

std::string_view
CommandName(const Command& aCommand)
{
  return detail::kCommandNames[aCommand.index()];
}

nlohmann::json
CommandToJson(const Command& aCommand)
{
  return detail::JsonWriter::CommandToJson(aCommand);
}

Result<Command>
CommandFromJson(const nlohmann::json& aJson)
{
  return detail::ReadJson<Command>(aJson);
}

nlohmann::json
RowToJson(const PoolRow& aRow)
{
  return detail::JsonWriter::ToJson(aRow);
}

nlohmann::json
VmToJson(const VmRecord& aVm)
{
  return detail::JsonWriter::ToJson(aVm);
}

nlohmann::json
WaveToJson(const Wave& aWave)
{
  return detail::JsonWriter::ToJson(aWave);
}

nlohmann::json
PermitToJson(const Permit& aPermit)
{
  return detail::JsonWriter::ToJson(aPermit);
}

nlohmann::json
JobToJson(const JobRecord& aJob)
{
  return detail::JsonWriter::ToJson(aJob);
}

nlohmann::json
TaskToJson(const TaskRecord& aTask)
{
  return detail::JsonWriter::ToJson(aTask);
}

nlohmann::json
QuotaToJson(const TeamQuota& aQuota)
{
  return detail::JsonWriter::ToJson(aQuota);
}

nlohmann::json
DecisionToJson(const DecisionRecord& aDecision)
{
  return detail::JsonWriter::ToJson(aDecision);
}

nlohmann::json
NodeToJson(const NodeRecord& aNode)
{
  return detail::JsonWriter::ToJson(aNode);
}

nlohmann::json
ClaimToJson(const Claim& aClaim)
{
  return detail::JsonWriter::ToJson(aClaim);
}

nlohmann::json
ResultToJson(const CommandResult& aResult)
{
  return detail::JsonWriter::ToJson(aResult);
}

Result<CommandResult>
ResultFromJson(const nlohmann::json& aJson)
{
  return detail::ReadJson<CommandResult>(aJson);
}

} // namespace acaciahill
