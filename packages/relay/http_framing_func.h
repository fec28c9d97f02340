#pragma once

#include "http/http_message_func.h"
#include "kernel/error_type.h"
#include "kernel/time_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace acaciahill {

/// How far a message has been read.
enum class FramingStatus : std::uint8_t
{
  NeedMore,
  HeadDone, ///< Reported once for a request, before its body is read.
  Complete,
};

/// Reads one HTTP/1 request from bytes as they come. It refuses what another
/// reader could frame differently: Content-Length beside Transfer-Encoding,
/// differing lengths, folded header lines, bare CR or LF in the head.
class RequestParser
{
public:
  explicit RequestParser(HttpLimits aLimits);
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;
  ~RequestParser();

  /// Takes what belongs to this request from the front of the buffer; bytes of
  /// the next one stay. Errors: BadRequest, RequestTooLarge; the connection
  /// cannot be read any further then.
  Result<FramingStatus> Put(std::string& aBuffer);

  /// The request; its body is whole once Put has returned Complete.
  const HttpRequest& Request() const;
  HttpRequest TakeRequest();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Reads one HTTP/1 answer from bytes as they come; 1xx answers are skipped.
class AnswerParser
{
public:
  AnswerParser(HttpLimits aLimits, bool aIsHeadRequest);
  AnswerParser(const AnswerParser&) = delete;
  AnswerParser& operator=(const AnswerParser&) = delete;
  ~AnswerParser();

  /// Takes what belongs to this answer from the front of the buffer. An answer
  /// whose end only a close would mark is malformed. Errors: AnswerMalformed,
  /// AnswerTooLarge.
  Result<FramingStatus> Put(std::string& aBuffer);

  HttpAnswer TakeAnswer();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Headers without those that concern one connection only: the hop-by-hop
/// ones, those named in Connection, and the length, which is written anew.
HttpHeaders
WithoutHopByHop(const HttpHeaders& aHeaders);

/// Headers without those of the given names.
HttpHeaders
WithoutNames(HttpHeaders aHeaders,
             std::initializer_list<std::string_view> aNames);

/// Request line and headers for a body of that size, up to and with the empty
/// line.
std::string
RequestHead(const HttpRequest& aRequest, std::size_t aBodySize);

/// Status line and headers, up to and with the empty line. An answer to HEAD
/// keeps the length that its headers name.
std::string
AnswerHead(const HttpAnswer& aAnswer, bool aIsHeadRequest, bool aClose);

/// The JSON answer for an error kind: Acaciahill-Outcome, Retry-After when it
/// did not run, and the detail or the kind's default sentence.
HttpAnswer
AnswerOfError(const Error& aError, Millis aRetryAfter);

/// A decimal number without sign; nothing when it is malformed or too large.
std::optional<std::uint64_t>
ParseNumber(std::string_view aText);

} // namespace acaciahill
