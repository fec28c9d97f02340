#pragma once

#include "kernel/time_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciahill {

struct HttpHeader
{
  std::string name_;
  std::string value_;

  bool operator==(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// A request with its complete body. Trailer fields are dropped.
struct HttpRequest
{
  std::string method_;
  /// As on the request line, beginning with "/".
  std::string target_;
  HttpHeaders headers_;
  std::string body_;
  /// Whether the connection stays open for further requests.
  bool keepAlive_ = true;
  bool expectsContinue_ = false;
  /// Time since the kernel received the last byte of the request, when a
  /// listener passes it to its handler: how long the process was too busy, or
  /// frozen, to read it.
  Millis waited_{ 0 };

  bool operator==(const HttpRequest&) const = default;
};

/// A final answer (not 1xx) with its complete body. Trailer fields are dropped.
struct HttpAnswer
{
  std::int64_t status_ = 0;
  std::string reason_;
  HttpHeaders headers_;
  std::string body_;
  bool keepAlive_ = true;

  bool operator==(const HttpAnswer&) const = default;
};

/// Limits of one message, in bytes. Whatever a peer sends that is neither
/// header nor body (trailer fields, sizes and extensions of chunks) may take as
/// much as the header.
struct HttpLimits
{
  std::size_t maxHeaderBytes_ = std::size_t{ 16 } * 1024;
  std::size_t maxBodyBytes_ = std::size_t{ 1024 } * 1024;

  bool operator==(const HttpLimits&) const = default;
};

} // namespace acaciahill
