#pragma once

#include "http/http_message_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <string>

/// Conversions between this package's messages and those of Boost.Beast.
namespace acaciahill::detail {

/// Parses an endpoint such as "10.0.0.1:80"; nullopt when it is not numeric.
std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aAddress);

/// The request without its body.
HttpRequest
ToRequestHead(
  const boost::beast::http::request<boost::beast::http::string_body>& aFrom);

HttpAnswer
ToAnswer(boost::beast::http::response<boost::beast::http::string_body> aFrom);

/// Content-Length is set from the body.
boost::beast::http::request<boost::beast::http::string_body>
ToBeastRequest(HttpRequest aFrom);

/// Content-Length is set from the body.
boost::beast::http::response<boost::beast::http::string_body>
ToBeastResponse(HttpAnswer aFrom, unsigned aVersion);

} // namespace acaciahill::detail
