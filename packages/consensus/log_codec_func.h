#pragma once

#include "consensus/log_store_base.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Encoding of the consensus types in files and in Voters entries: CBOR arrays,
// in files wrapped in frames. A frame is a magic number, the payload's length,
// an xxHash64 of length and payload, and the payload.
namespace acaciahill::detail {

nlohmann::json
ToJson(const VoterSet& aVoters);
nlohmann::json
ToJson(const HardState& aState);
nlohmann::json
ToJson(const Snapshot& aSnapshot);
nlohmann::json
ToJson(const std::vector<LogEntry>& aEntries);

// These throw nlohmann::json::exception when the structure is not as expected.
VoterSet
ToVoterSet(const nlohmann::json& aJson);
HardState
ToHardState(const nlohmann::json& aJson);
Snapshot
ToSnapshot(const nlohmann::json& aJson);
std::vector<LogEntry>
ToEntries(const nlohmann::json& aJson);

/// Encodes a value as CBOR.
std::string
ToBytes(const nlohmann::json& aJson);

/// Decodes CBOR with one of the functions above; nullopt when it is damaged.
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

/// Wraps a payload in a frame. The seed is part of the checksum, so that the
/// frame is valid only when it is read with the same seed.
std::string
MakeFrame(std::string_view aPayload, std::uint64_t aSeed);

/// A decoded frame: its payload and its total size in bytes.
struct Frame
{
  std::string_view payload_;
  std::size_t size_ = 0;
};

/// Reads the frame at the start of the bytes; nullopt when it is incomplete or
/// damaged.
std::optional<Frame>
ReadFrame(std::string_view aBytes, std::uint64_t aSeed);

/// True when a valid frame starts anywhere in the bytes. aSeed is the seed for
/// a frame at the first byte; it grows by one per byte of offset.
bool
HasFrame(std::string_view aBytes, std::uint64_t aSeed);

} // namespace acaciahill::detail
