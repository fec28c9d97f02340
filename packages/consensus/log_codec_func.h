#pragma once

#include "consensus/log_store_base.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The forms of the consensus types in files and in Voters entries: CBOR arrays
// inside frames. A frame is a magic number, the payload's length, an xxHash64
// of length and payload, and the payload.
namespace acaciahill::detail {

nlohmann::json
ToJson(const VoterSet& aVoters);
nlohmann::json
ToJson(const HardState& aState);
nlohmann::json
ToJson(const Snapshot& aSnapshot);
nlohmann::json
ToJson(const std::vector<LogEntry>& aEntries);

// These throw nlohmann::json::exception when the form is wrong.
VoterSet
ToVoterSet(const nlohmann::json& aJson);
HardState
ToHardState(const nlohmann::json& aJson);
Snapshot
ToSnapshot(const nlohmann::json& aJson);
std::vector<LogEntry>
ToEntries(const nlohmann::json& aJson);

/// CBOR of a value.
std::string
ToBytes(const nlohmann::json& aJson);

/// Reads CBOR with one of the functions above; nothing when it is damaged.
template<typename Read>
auto
FromBytes(std::string_view aBytes, Read aRead)
  -> std::optional<decltype(aRead(nlohmann::json()))>
{
  try {
    return aRead(nlohmann::json::from_cbor(aBytes));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

/// Wraps a payload. The seed enters the checksum: a frame is valid only where
/// the same seed is expected.
std::string
MakeFrame(std::string_view aPayload, std::uint64_t aSeed);

/// A frame found at the start of some bytes.
struct Frame
{
  std::string_view payload_;
  std::size_t size_ = 0;
};

/// The frame at the start of the bytes; nothing when it is short or damaged.
std::optional<Frame>
ReadFrame(std::string_view aBytes, std::uint64_t aSeed);

/// True when a valid frame starts anywhere in the bytes; aSeed is that of the
/// first byte, and grows by one per byte.
bool
HasFrame(std::string_view aBytes, std::uint64_t aSeed);

} // namespace acaciahill::detail
