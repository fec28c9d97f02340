#include "relay/http_framing_func.h"

#include "kernel/error_func.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace acaciahill {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
// More consecutive 1xx answers than this make an answer malformed.
constexpr int kMaxInterimAnswers = 8;
constexpr std::int64_t kMsPerSecond = 1000;

constexpr std::array<std::string_view, 9> kHopByHop = { "Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Connection",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade" };

constexpr std::array<std::string_view, 7> kMethods = {
  "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"
};

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

/// True when an element of a comma-separated list equals the token.
bool
HasToken(std::string_view aList, std::string_view aToken)
{
  while (!aList.empty()) {
    const auto comma = aList.find(',');
    if (IsSameName(Trim(aList.substr(0, comma)), aToken)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      break;
    }
    aList.remove_prefix(comma + 1);
  }
  return false;
}

bool
HasConnectionToken(const HttpHeaders& aHeaders, std::string_view aToken)
{
  return std::any_of(
    aHeaders.begin(), aHeaders.end(), [aToken](const HttpHeader& aHeader) {
      return IsSameName(aHeader.name_, "Connection") &&
             HasToken(aHeader.value_, aToken);
    });
}

/// The fault in the line ends of a head, or empty. HTTP parsers differ in how
/// they treat folded lines and bare CR or LF.
std::string_view
DescribeHeadError(std::string_view aHead)
{
  for (std::size_t i = 0; i < aHead.size(); ++i) {
    const char c = aHead[i];
    if (c == '\0') {
      return "a NUL byte in the head";
    }
    if (c == '\n' && (i == 0 || aHead[i - 1] != '\r')) {
      return "a line of the head ends without CR";
    }
    if (c == '\r' && i + 1 < aHead.size() && aHead[i + 1] != '\n') {
      return "a CR within a line of the head";
    }
    if ((c == ' ' || c == '\t') && i > 0 && aHead[i - 1] == '\n') {
      return "a header line is folded";
    }
  }
  return {};
}

template<typename Fields>
HttpHeaders
CopyHeaders(const Fields& aFields)
{
  HttpHeaders headers;
  headers.reserve(
    static_cast<std::size_t>(std::distance(aFields.begin(), aFields.end())));
  for (const auto& field : aFields) {
    headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return headers;
}

std::string_view
DescribeRequestError(const HttpRequest& aRequest)
{
  if (std::find(kMethods.begin(), kMethods.end(), aRequest.method_) ==
      kMethods.end()) {
    return "the method is not one of GET, HEAD, PUT, DELETE, OPTIONS, POST, "
           "PATCH";
  }
  const auto isVisible = [](char aChar) { return aChar > ' ' && aChar < 127; };
  if (aRequest.target_.empty() || aRequest.target_.front() != '/' ||
      aRequest.target_.find('#') != std::string::npos ||
      !std::all_of(
        aRequest.target_.begin(), aRequest.target_.end(), isVisible)) {
    return "the request target is not an absolute path";
  }
  if (CountHeader(aRequest.headers_, "Host") > 1) {
    return "more than one Host header";
  }
  const auto coding = FindHeader(aRequest.headers_, "Transfer-Encoding");
  if (coding && (!IsSameName(*coding, "chunked") ||
                 CountHeader(aRequest.headers_, "Transfer-Encoding") > 1)) {
    return "the only Transfer-Encoding allowed is chunked";
  }
  if (coding && FindHeader(aRequest.headers_, "Content-Length")) {
    return "both Content-Length and Transfer-Encoding";
  }
  const auto expectation = FindHeader(aRequest.headers_, "Expect");
  if (expectation && !IsSameName(*expectation, "100-continue")) {
    return "the only Expect allowed is 100-continue";
  }
  return {};
}

bool
IsInterim(std::int64_t aStatus)
{
  return aStatus >= 100 && aStatus < 200;
}

} // namespace

struct RequestParser::Impl
{
  HttpLimits limits_;
  http::request_parser<http::string_body> parser_;
  HttpRequest request_;
  bool headDone_ = false;

  Result<FramingStatus> ParseHead(std::string& aBuffer);
  Result<FramingStatus> ParseBody(std::string& aBuffer);
};

RequestParser::RequestParser(HttpLimits aLimits)
  : impl_(std::make_unique<Impl>())
{
  impl_->limits_ = aLimits;
  impl_->parser_.header_limit(
    static_cast<std::uint32_t>(aLimits.maxHeaderBytes_));
  impl_->parser_.body_limit(aLimits.maxBodyBytes_);
  impl_->parser_.eager(false);
}

RequestParser::~RequestParser() = default;

Result<FramingStatus>
RequestParser::Put(std::string& aBuffer)
{
  return impl_->headDone_ ? impl_->ParseBody(aBuffer)
                          : impl_->ParseHead(aBuffer);
}

Result<FramingStatus>
RequestParser::Impl::ParseHead(std::string& aBuffer)
{
  // RFC 9112 asks servers to ignore an empty line before a request.
  if (aBuffer.starts_with("\r\n")) {
    aBuffer.erase(0, 2);
  }
  const auto end = aBuffer.find(kHeadEnd);
  const auto size =
    end == std::string::npos ? aBuffer.size() : end + kHeadEnd.size();
  if (size > limits_.maxHeaderBytes_) {
    return Error{ ErrorKind::RequestTooLarge,
                  "the head is over " +
                    std::to_string(limits_.maxHeaderBytes_) + " bytes" };
  }
  const auto headError =
    DescribeHeadError(std::string_view(aBuffer).substr(0, size));
  if (!headError.empty()) {
    return Error{ ErrorKind::BadRequest, std::string(headError) };
  }
  if (end == std::string::npos) {
    return FramingStatus::NeedMore;
  }
  boost::system::error_code error;
  parser_.put(boost::asio::buffer(aBuffer.data(), size), error);
  if (error == http::error::body_limit) {
    return Error{ ErrorKind::RequestTooLarge,
                  "the body is over " + std::to_string(limits_.maxBodyBytes_) +
                    " bytes" };
  }
  if (error || !parser_.is_header_done()) {
    return Error{ ErrorKind::BadRequest, error.message() };
  }
  aBuffer.erase(0, size);
  auto& head = parser_.get();
  request_.method_ = std::string(head.method_string());
  request_.target_ = std::string(head.target());
  request_.headers_ = CopyHeaders(head);
  request_.keepAlive_ = parser_.keep_alive();
  request_.expectsContinue_ =
    head.version() >= 11 &&
    FindHeader(request_.headers_, "Expect").has_value() && !parser_.is_done();
  // Trailer fields join the parser's fields; they are dropped with it.
  head.clear();
  const auto requestError = DescribeRequestError(request_);
  if (!requestError.empty()) {
    return Error{ ErrorKind::BadRequest, std::string(requestError) };
  }
  headDone_ = true;
  parser_.eager(true);
  return FramingStatus::HeadDone;
}

Result<FramingStatus>
RequestParser::Impl::ParseBody(std::string& aBuffer)
{
  while (!parser_.is_done()) {
    if (aBuffer.empty()) {
      return FramingStatus::NeedMore;
    }
    boost::system::error_code error;
    const auto taken = parser_.put(boost::asio::buffer(aBuffer), error);
    aBuffer.erase(0, taken);
    if (error == http::error::body_limit ||
        (error == http::error::need_more &&
         aBuffer.size() > limits_.maxHeaderBytes_)) {
      return Error{ ErrorKind::RequestTooLarge, "the body is too large" };
    }
    if (error == http::error::need_more) {
      return FramingStatus::NeedMore;
    }
    if (error) {
      return Error{ ErrorKind::BadRequest, error.message() };
    }
  }
  request_.body_ = std::move(parser_.get().body());
  return FramingStatus::Complete;
}

const HttpRequest&
RequestParser::Request() const
{
  return impl_->request_;
}

HttpRequest
RequestParser::TakeRequest()
{
  return std::move(impl_->request_);
}

struct AnswerParser::Impl
{
  HttpLimits limits_;
  bool isHeadRequest_ = false;
  std::optional<http::response_parser<http::string_body>> parser_;
  HttpAnswer answer_;
  bool headDone_ = false;
  int interimAnswers_ = 0;

  void Restart();
  std::optional<Error> TakeHead();
  void Finish();
};

AnswerParser::AnswerParser(HttpLimits aLimits, bool aIsHeadRequest)
  : impl_(std::make_unique<Impl>())
{
  impl_->limits_ = aLimits;
  impl_->isHeadRequest_ = aIsHeadRequest;
  impl_->Restart();
}

AnswerParser::~AnswerParser() = default;

void
AnswerParser::Impl::Restart()
{
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes_));
  parser_->body_limit(limits_.maxBodyBytes_);
  parser_->eager(false);
  parser_->skip(isHeadRequest_);
  headDone_ = false;
}

std::optional<Error>
AnswerParser::Impl::TakeHead()
{
  auto& head = parser_->get();
  answer_.status_ = static_cast<std::int64_t>(head.result_int());
  answer_.reason_ = std::string(head.reason());
  answer_.headers_ = CopyHeaders(head);
  answer_.keepAlive_ = parser_->keep_alive();
  const auto coding = FindHeader(answer_.headers_, "Transfer-Encoding");
  if (coding && !IsSameName(*coding, "chunked")) {
    return Error{ ErrorKind::AnswerMalformed,
                  "a Transfer-Encoding other than chunked" };
  }
  if (answer_.status_ < 100 || answer_.status_ == 101) {
    return Error{ ErrorKind::AnswerMalformed,
                  "status " + std::to_string(answer_.status_) };
  }
  // Such an answer is delimited by the connection's close, so a truncated one
  // would look complete.
  if (parser_->need_eof() && !parser_->is_done()) {
    return Error{ ErrorKind::AnswerMalformed,
                  "neither a Content-Length nor chunks" };
  }
  head.clear();
  headDone_ = true;
  parser_->eager(true);
  return std::nullopt;
}

void
AnswerParser::Impl::Finish()
{
  answer_.body_ = std::move(parser_->get().body());
}

Result<FramingStatus>
AnswerParser::Put(std::string& aBuffer)
{
  for (;;) {
    auto& parser = *impl_->parser_;
    if (impl_->headDone_ && parser.is_done()) {
      if (!IsInterim(impl_->answer_.status_)) {
        impl_->Finish();
        return FramingStatus::Complete;
      }
      if (++impl_->interimAnswers_ > kMaxInterimAnswers) {
        return Error{ ErrorKind::AnswerMalformed, "too many 1xx answers" };
      }
      impl_->Restart();
      continue;
    }
    if (aBuffer.empty()) {
      return FramingStatus::NeedMore;
    }
    boost::system::error_code error;
    const auto taken = parser.put(boost::asio::buffer(aBuffer), error);
    aBuffer.erase(0, taken);
    if (error == http::error::body_limit) {
      return Error{ ErrorKind::AnswerTooLarge, {} };
    }
    if (error == http::error::need_more) {
      if (aBuffer.size() > impl_->limits_.maxHeaderBytes_) {
        return Error{ ErrorKind::AnswerTooLarge, "the head is too large" };
      }
      return FramingStatus::NeedMore;
    }
    if (error) {
      return Error{ ErrorKind::AnswerMalformed, error.message() };
    }
    if (!impl_->headDone_ && parser.is_header_done()) {
      if (const auto fault = impl_->TakeHead()) {
        return *fault;
      }
    }
  }
}

HttpAnswer
AnswerParser::TakeAnswer()
{
  return std::move(impl_->answer_);
}

HttpHeaders
WithoutHopByHop(const HttpHeaders& aHeaders)
{
  HttpHeaders kept;
  for (const auto& header : aHeaders) {
    const bool isHop = std::any_of(
      kHopByHop.begin(), kHopByHop.end(), [&header](std::string_view aName) {
        return IsSameName(header.name_, aName);
      });
    if (!isHop && !IsSameName(header.name_, "Content-Length") &&
        !HasConnectionToken(aHeaders, header.name_)) {
      kept.push_back(header);
    }
  }
  return kept;
}

HttpHeaders
WithoutNames(HttpHeaders aHeaders,
             std::initializer_list<std::string_view> aNames)
{
  std::erase_if(aHeaders, [&aNames](const HttpHeader& aHeader) {
    return std::any_of(
      aNames.begin(), aNames.end(), [&aHeader](std::string_view aName) {
        return IsSameName(aHeader.name_, aName);
      });
  });
  return aHeaders;
}

std::string
RequestHead(const HttpRequest& aRequest, std::size_t aBodySize)
{
  std::string head =
    aRequest.method_ + " " + aRequest.target_ + " HTTP/1.1\r\n";
  for (const auto& header : aRequest.headers_) {
    head += header.name_ + ": " + header.value_ + "\r\n";
  }
  const bool mayHaveBody = aRequest.method_ == "POST" ||
                           aRequest.method_ == "PUT" ||
                           aRequest.method_ == "PATCH";
  if (mayHaveBody || aBodySize > 0) {
    head += "Content-Length: " + std::to_string(aBodySize) + "\r\n";
  }
  return head + "\r\n";
}

std::string
AnswerHead(const HttpAnswer& aAnswer, bool aIsHeadRequest, bool aClose)
{
  std::string head = "HTTP/1.1 " + std::to_string(aAnswer.status_) + " " +
                     aAnswer.reason_ + "\r\n";
  std::optional<std::string> statedLength;
  for (const auto& header : aAnswer.headers_) {
    if (IsSameName(header.name_, "Content-Length")) {
      statedLength = header.value_;
    } else {
      head += header.name_ + ": " + header.value_ + "\r\n";
    }
  }
  const bool hasNoBody = aIsHeadRequest || aAnswer.status_ == 304;
  if (aAnswer.status_ != 204) {
    if (!hasNoBody) {
      head +=
        "Content-Length: " + std::to_string(aAnswer.body_.size()) + "\r\n";
    } else if (statedLength) {
      head += "Content-Length: " + *statedLength + "\r\n";
    }
  }
  if (aClose) {
    head += "Connection: close\r\n";
  }
  return head + "\r\n";
}

HttpAnswer
AnswerOfError(const Error& aError, Millis aRetryAfter)
{
  const auto& row = AnswerOf(aError.kind_);
  const auto outcome = std::string(OutcomeName(row.outcome_));
  const nlohmann::json body = {
    { "error", row.name_ },
    { "outcome", outcome },
    { "detail",
      aError.detail_.empty() ? std::string(row.text_) : aError.detail_ },
  };
  HttpAnswer answer;
  answer.status_ = row.httpStatus_;
  answer.reason_ = std::string(row.name_);
  answer.headers_ = { { "Content-Type", "application/json" },
                      { "Acaciahill-Outcome", outcome } };
  if (row.outcome_ == Outcome::NotRun) {
    const auto seconds = std::max<std::int64_t>(
      1, (aRetryAfter.count() + kMsPerSecond - 1) / kMsPerSecond);
    answer.headers_.push_back({ "Retry-After", std::to_string(seconds) });
  }
  answer.body_ =
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // Set here for answers to HEAD, which have no body to take the length from.
  answer.headers_.push_back(
    { "Content-Length", std::to_string(answer.body_.size()) });
  return answer;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [stop, fault] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || fault != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace acaciahill
