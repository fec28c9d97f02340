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

/// Incremental parser of one HTTP/1 request. Against request smuggling it
/// refuses what another parser could frame differently: Content-Length beside
/// Transfer-Encoding, differing lengths, folded header lines, bare CR or LF in
/// the head.
class RequestParser
{
public:
  explicit RequestParser(HttpLimits aLimits);
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;
  ~RequestParser();

  /// Consumes this request's bytes from the front of the buffer and leaves
  /// those of the next one. Errors: BadRequest, RequestTooLarge; the connection
  /// cannot be read any further after an error.
  Result<FramingStatus> Put(std::string& aBuffer);

  /// The request; its body is complete once Put has returned Complete.
  const HttpRequest& Request() const;
  HttpRequest TakeRequest();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Incremental parser of one HTTP/1 answer; 1xx answers are skipped.
class AnswerParser
{
public:
  AnswerParser(HttpLimits aLimits, bool aIsHeadRequest);
  AnswerParser(const AnswerParser&) = delete;
  AnswerParser& operator=(const AnswerParser&) = delete;
  ~AnswerParser();

  /// Consumes this answer's bytes from the front of the buffer. An answer that
  /// is delimited only by the connection's close is malformed. Errors:
  /// AnswerMalformed, AnswerTooLarge.
  Result<FramingStatus> Put(std::string& aBuffer);

  HttpAnswer TakeAnswer();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Headers without those that apply to one connection only: the hop-by-hop
/// ones, those named in Connection, and Content-Length, which is set again.
HttpHeaders
WithoutHopByHop(const HttpHeaders& aHeaders);

/// Headers without those of the given names.
HttpHeaders
WithoutNames(HttpHeaders aHeaders,
             std::initializer_list<std::string_view> aNames);

/// Request line and headers for a body of that size, including the empty line.
std::string
RequestHead(const HttpRequest& aRequest, std::size_t aBodySize);

/// Status line and headers, including the empty line. An answer to HEAD keeps
/// the Content-Length of its headers.
std::string
AnswerHead(const HttpAnswer& aAnswer, bool aIsHeadRequest, bool aClose);

/// The JSON answer for an error kind: Acaciahill-Outcome, Retry-After when it
/// did not run, and the detail or the kind's default text.
HttpAnswer
AnswerOfError(const Error& aError, Millis aRetryAfter);

/// Parses an unsigned decimal number; nullopt when malformed or too large.
std::optional<std::uint64_t>
ParseNumber(std::string_view aText);

} // namespace acaciahill
