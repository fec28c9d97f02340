#include "state/text_func.h"

#include <algorithm>
#include <cstddef>

namespace acaciahill {

namespace {

constexpr std::size_t kMaxPrintableBytes = 60;
constexpr std::size_t kMaxIdBytes = 128;

struct Utf8Sequence
{
  std::size_t length_;
  std::uint32_t minCodePoint_;
  std::uint32_t payloadBits_;
};

// Properties of a UTF-8 sequence by its first byte: length in bytes, smallest
// code point and payload bits; length 0 when no sequence starts with this byte.
Utf8Sequence
DecodeLeadByte(std::uint8_t aFirst)
{
  if (aFirst < 0x80) {
    return { 1, 0, aFirst };
  }
  if ((aFirst & 0xE0U) == 0xC0) {
    return { 2, 0x80, aFirst & 0x1FU };
  }
  if ((aFirst & 0xF0U) == 0xE0) {
    return { 3, 0x800, aFirst & 0x0FU };
  }
  if ((aFirst & 0xF8U) == 0xF0) {
    return { 4, 0x10000, aFirst & 0x07U };
  }
  return { 0, 0, 0 };
}

bool
IsIdCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
         aCharacter == '_' || aCharacter == '-' || aCharacter == ':';
}

} // namespace

bool
IsUtf8(std::string_view aText)
{
  std::size_t at = 0;
  while (at < aText.size()) {
    const auto sequence = DecodeLeadByte(static_cast<std::uint8_t>(aText[at]));
    if (sequence.length_ == 0 || sequence.length_ > aText.size() - at) {
      return false;
    }
    auto point = sequence.payloadBits_;
    for (std::size_t i = 1; i < sequence.length_; ++i) {
      const auto next = static_cast<std::uint8_t>(aText[at + i]);
      if ((next & 0xC0U) != 0x80) {
        return false;
      }
      point = (point << 6U) | (next & 0x3FU);
    }
    const bool isSurrogate = point >= 0xD800 && point <= 0xDFFF;
    if (point < sequence.minCodePoint_ || point > 0x10FFFF || isSurrogate) {
      return false;
    }
    at += sequence.length_;
  }
  return true;
}

std::string
Printable(std::string_view aText)
{
  std::string text(aText.substr(0, kMaxPrintableBytes));
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aCharacter) { return aCharacter < ' ' || aCharacter > '~'; },
    '?');
  if (aText.size() > kMaxPrintableBytes) {
    text += "...";
  }
  return text;
}

Refusal
CheckId(std::string_view aField, std::string_view aId)
{
  if (!aId.empty() && aId.size() <= kMaxIdBytes &&
      std::all_of(aId.begin(), aId.end(), IsIdCharacter)) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::BadRequest,
                aField,
                " \"",
                Printable(aId),
                "\" must be 1 to ",
                kMaxIdBytes,
                " characters of A-Z, a-z, 0-9, '.', '_', '-' and ':'");
}

Refusal
CheckText(std::string_view aField, std::string_view aText, std::size_t aLimit)
{
  if (aText.size() > aLimit) {
    return Refuse(ErrorKind::BadRequest,
                  aField,
                  " has ",
                  aText.size(),
                  " bytes; at most ",
                  aLimit,
                  " are allowed");
  }
  if (!IsUtf8(aText)) {
    return Refuse(ErrorKind::BadRequest, aField, " is not valid UTF-8");
  }
  return std::nullopt;
}

} // namespace acaciahill
