#include "relay/call_spec_type.h"

#include "relay/http_framing_func.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace acaciahill {

namespace {

constexpr std::string_view kPoolsPrefix = "/pools/";
constexpr std::size_t kMaxCallerSize = 128;
constexpr std::size_t kMaxKeySize = 255;

bool
IsPoolName(std::string_view aName)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [](char aChar) {
           return (aChar >= 'a' && aChar <= 'z') ||
                  (aChar >= 'A' && aChar <= 'Z') ||
                  (aChar >= '0' && aChar <= '9') || aChar == '-' ||
                  aChar == '_' || aChar == '.';
         });
}

bool
IsPrintable(std::string_view aText, std::size_t aMaxSize)
{
  return !aText.empty() && aText.size() <= aMaxSize &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar >= ' ' && aChar < 127;
         });
}

bool
IsRepeatableMethod(std::string_view aMethod)
{
  return aMethod != "POST" && aMethod != "PATCH";
}

std::optional<Error>
ReadPath(const std::string& aTarget, CallSpec& aSpec)
{
  const std::string_view target(aTarget);
  if (!target.starts_with(kPoolsPrefix)) {
    return Error{ ErrorKind::UnknownPool,
                  "the path must begin with /pools/{pool}" };
  }
  const auto rest = target.substr(kPoolsPrefix.size());
  const auto end = std::min(rest.find_first_of("/?"), rest.size());
  aSpec.pool_ = std::string(rest.substr(0, end));
  aSpec.path_ = std::string(rest.substr(end));
  if (!IsPoolName(aSpec.pool_)) {
    return Error{ ErrorKind::UnknownPool,
                  "the path must begin with /pools/{pool}" };
  }
  if (!aSpec.path_.starts_with('/')) {
    aSpec.path_.insert(0, "/");
  }
  return std::nullopt;
}

/// The value of a header that may occur once. Several are an error, as HTTP
/// implementations differ in which one they use.
Result<std::optional<std::string_view>>
FindSingleHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  if (CountHeader(aHeaders, aName) > 1) {
    return Error{ ErrorKind::BadRequest,
                  "more than one " + std::string(aName) + " header" };
  }
  return FindHeader(aHeaders, aName);
}

} // namespace

Result<CallSpec>
ReadCallSpec(const HttpRequest& aRequest,
             const std::string& aPeerIp,
             Millis aMaxDeadline)
{
  CallSpec spec;
  if (const auto fault = ReadPath(aRequest.target_, spec)) {
    return *fault;
  }
  const auto& headers = aRequest.headers_;
  const auto caller = FindSingleHeader(headers, "Acaciahill-Caller");
  const auto deadline = FindSingleHeader(headers, "Acaciahill-Deadline-Ms");
  const auto key = FindSingleHeader(headers, "Idempotency-Key");
  for (const auto* each : { &caller, &deadline, &key }) {
    if (!IsOk(*each)) {
      return ErrorOf(*each);
    }
  }
  spec.caller_ = std::string(ValueOf(caller).value_or(aPeerIp));
  if (!IsPrintable(spec.caller_, kMaxCallerSize)) {
    return Error{ ErrorKind::BadRequest,
                  "Acaciahill-Caller must have 1 to 128 visible characters" };
  }
  if (ValueOf(deadline)) {
    const auto ms = ParseNumber(*ValueOf(deadline));
    if (!ms || *ms == 0) {
      return Error{ ErrorKind::BadRequest,
                    "Acaciahill-Deadline-Ms must be a whole number from 1" };
    }
    const auto limit = static_cast<std::uint64_t>(aMaxDeadline.count());
    spec.deadline_ = Millis{ static_cast<std::int64_t>(std::min(*ms, limit)) };
  }
  if (ValueOf(key)) {
    spec.key_ = std::string(*ValueOf(key));
    if (!IsPrintable(spec.key_, kMaxKeySize)) {
      return Error{ ErrorKind::BadRequest,
                    "Idempotency-Key must have 1 to 255 visible characters" };
    }
  }
  const auto isYes = [&headers](std::string_view aName) {
    const auto value = FindHeader(headers, aName);
    return value && IsSameName(*value, "yes");
  };
  spec.urgent_ = isYes("Acaciahill-Urgent");
  spec.repeatable_ =
    IsRepeatableMethod(aRequest.method_) || isYes("Acaciahill-Repeatable");
  return spec;
}

std::string
ClaimKeyOf(const CallSpec& aSpec)
{
  // Without the size, a caller name that contains the separator could collide
  // with another caller's key.
  return aSpec.pool_ + "|" + std::to_string(aSpec.caller_.size()) + ":" +
         aSpec.caller_ + "|" + aSpec.key_;
}

std::uint64_t
FingerprintOf(const HttpRequest& aRequest)
{
  const auto text = aRequest.method_ + " " + aRequest.target_ + "\n" +
                    std::to_string(aRequest.body_.size()) + "\n";
  const auto seed = XXH64(text.data(), text.size(), 0);
  return XXH64(aRequest.body_.data(), aRequest.body_.size(), seed);
}

} // namespace acaciahill
