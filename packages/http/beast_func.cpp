#include "http/beast_func.h"

#include <charconv>

namespace acaciahill::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

template<typename Message>
HttpHeaders
CopyHeaders(const Message& aMessage)
{
  HttpHeaders headers;
  headers.reserve(
    static_cast<std::size_t>(std::distance(aMessage.begin(), aMessage.end())));
  for (const auto& field : aMessage) {
    headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return headers;
}

template<typename Message>
void
SetHeaders(Message& aMessage, const HttpHeaders& aHeaders)
{
  for (const auto& header : aHeaders) {
    aMessage.set(header.name_, header.value_);
  }
}

constexpr unsigned kVersion11 = 11;

} // namespace

std::optional<asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), error);
  std::uint16_t port = 0;
  const auto* end = aAddress.data() + aAddress.size();
  const auto parsed = std::from_chars(aAddress.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

HttpRequest
ToRequestHead(const http::request<http::string_body>& aFrom)
{
  HttpRequest request;
  request.method_ = std::string(aFrom.method_string());
  request.target_ = std::string(aFrom.target());
  request.headers_ = CopyHeaders(aFrom);
  request.keepAlive_ = aFrom.keep_alive();
  return request;
}

HttpAnswer
ToAnswer(http::response<http::string_body> aFrom)
{
  HttpAnswer answer;
  answer.status_ = aFrom.result_int();
  answer.headers_ = CopyHeaders(aFrom);
  answer.keepAlive_ = aFrom.keep_alive();
  answer.body_ = std::move(aFrom.body());
  return answer;
}

http::request<http::string_body>
ToBeastRequest(HttpRequest aFrom)
{
  http::request<http::string_body> request;
  request.version(kVersion11);
  request.method_string(aFrom.method_);
  request.target(aFrom.target_);
  SetHeaders(request, aFrom.headers_);
  request.body() = std::move(aFrom.body_);
  request.prepare_payload();
  return request;
}

http::response<http::string_body>
ToBeastResponse(HttpAnswer aFrom, unsigned aVersion)
{
  http::response<http::string_body> response;
  response.version(aVersion);
  response.result(static_cast<unsigned>(aFrom.status_));
  SetHeaders(response, aFrom.headers_);
  response.body() = std::move(aFrom.body_);
  response.prepare_payload();
  return response;
}

} // namespace acaciahill::detail
