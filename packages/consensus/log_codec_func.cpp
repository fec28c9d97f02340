#include "consensus/log_codec_func.h"

#include <xxhash.h>

#include <array>

namespace acaciahill::detail {

namespace {

using nlohmann::json;

constexpr std::string_view kFrameMagic = "\xacHL1";
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kPayloadOffset = 16;

void
PutLittleEndian(std::string& aBytes, std::uint64_t aValue, int aWidth)
{
  for (int i = 0; i < aWidth; ++i) {
    aBytes.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

std::uint64_t
GetLittleEndian(std::string_view aBytes)
{
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < aBytes.size(); ++i) {
    value |= std::uint64_t{ static_cast<unsigned char>(aBytes[i]) } << (8 * i);
  }
  return value;
}

std::uint64_t
Checksum(std::string_view aPayload, std::uint64_t aSeed)
{
  // The length is mixed into the seed, so that a changed length is detected
  // even if the shorter or longer payload has the same hash.
  return XXH64(aPayload.data(),
               aPayload.size(),
               aSeed ^ (std::uint64_t{ aPayload.size() } << 32));
}

json
ToBinary(const std::string& aData)
{
  return json::binary({ aData.begin(), aData.end() });
}

std::string
FromBinary(const json& aJson)
{
  const auto& bytes = aJson.get_binary();
  return { bytes.begin(), bytes.end() };
}

json
ToJson(const VoterId& aVoter)
{
  return json::array({ aVoter.node_, aVoter.disk_ });
}

VoterId
ToVoter(const json& aJson)
{
  return { aJson.at(0).get<std::string>(), aJson.at(1).get<std::string>() };
}

} // namespace

json
ToJson(const VoterSet& aVoters)
{
  auto array = json::array();
  for (const auto& voter : aVoters.voters_) {
    array.push_back(ToJson(voter));
  }
  return array;
}

json
ToJson(const HardState& aState)
{
  return json::array(
    { aState.term_,
      aState.votedFor_ ? ToJson(*aState.votedFor_) : json(nullptr) });
}

json
ToJson(const Snapshot& aSnapshot)
{
  return json::array({ aSnapshot.lastIndex_,
                       aSnapshot.lastTerm_,
                       ToJson(aSnapshot.voters_),
                       ToBinary(aSnapshot.data_) });
}

json
ToJson(const std::vector<LogEntry>& aEntries)
{
  auto array = json::array();
  for (const auto& entry : aEntries) {
    array.push_back(json::array({ entry.index_,
                                  entry.term_,
                                  static_cast<int>(entry.kind_),
                                  ToBinary(entry.data_) }));
  }
  return array;
}

VoterSet
ToVoterSet(const json& aJson)
{
  VoterSet voters;
  for (const auto& voter : aJson.get_ref<const json::array_t&>()) {
    voters.voters_.push_back(ToVoter(voter));
  }
  return voters;
}

HardState
ToHardState(const json& aJson)
{
  HardState state{ aJson.at(0).get<std::uint64_t>(), std::nullopt };
  if (!aJson.at(1).is_null()) {
    state.votedFor_ = ToVoter(aJson.at(1));
  }
  return state;
}

Snapshot
ToSnapshot(const json& aJson)
{
  return { aJson.at(0).get<std::uint64_t>(),
           aJson.at(1).get<std::uint64_t>(),
           ToVoterSet(aJson.at(2)),
           FromBinary(aJson.at(3)) };
}

std::vector<LogEntry>
ToEntries(const json& aJson)
{
  std::vector<LogEntry> entries;
  for (const auto& item : aJson.get_ref<const json::array_t&>()) {
    entries.push_back({ item.at(0).get<std::uint64_t>(),
                        item.at(1).get<std::uint64_t>(),
                        static_cast<EntryKind>(item.at(2).get<std::uint8_t>()),
                        FromBinary(item.at(3)) });
  }
  return entries;
}

std::string
ToBytes(const json& aJson)
{
  std::string bytes;
  json::to_cbor(aJson, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

std::string
MakeFrame(std::string_view aPayload, std::uint64_t aSeed)
{
  std::string frame(kFrameMagic);
  frame.reserve(kPayloadOffset + aPayload.size());
  PutLittleEndian(frame, aPayload.size(), 4);
  PutLittleEndian(frame, Checksum(aPayload, aSeed), 8);
  frame += aPayload;
  return frame;
}

std::optional<Frame>
ReadFrame(std::string_view aBytes, std::uint64_t aSeed)
{
  if (aBytes.size() < kPayloadOffset || !aBytes.starts_with(kFrameMagic)) {
    return std::nullopt;
  }
  const auto length = GetLittleEndian(
    aBytes.substr(kLengthOffset, kChecksumOffset - kLengthOffset));
  const auto checksum = GetLittleEndian(
    aBytes.substr(kChecksumOffset, kPayloadOffset - kChecksumOffset));
  if (length > aBytes.size() - kPayloadOffset) {
    return std::nullopt;
  }
  const auto payload = aBytes.substr(kPayloadOffset, length);
  if (Checksum(payload, aSeed) != checksum) {
    return std::nullopt;
  }
  return Frame{ payload, kPayloadOffset + payload.size() };
}

bool
HasFrame(std::string_view aBytes, std::uint64_t aSeed)
{
  for (auto at = aBytes.find(kFrameMagic); at != std::string_view::npos;
       at = aBytes.find(kFrameMagic, at + 1)) {
    if (ReadFrame(aBytes.substr(at), aSeed + at)) {
      return true;
    }
  }
  return false;
}

} // namespace acaciahill::detail
