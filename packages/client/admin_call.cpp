#include "client/admin_client_base.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <iterator>
#include <ostream>
#include <random>

namespace acaciahill {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr Millis kConnectTimeout{ 1000 };

Poco::Timespan
ToTimespan(Millis aTime)
{
  return Poco::Timespan(aTime.count() * 1000);
}

void
SendRequest(HTTPClientSession& aSession,
            const std::string& aAddress,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody)
{
  HTTPRequest request(aMethod, aPath, HTTPRequest::HTTP_1_1);
  request.setHost(aAddress);
  request.setKeepAlive(false);
  if (aMethod == HTTPRequest::HTTP_POST) {
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
  }
  aSession.sendRequest(request) << aBody << std::flush;
}

AdminReply
ReadReply(HTTPClientSession& aSession, std::string& aFault)
{
  HTTPResponse response;
  auto& stream = aSession.receiveResponse(response);
  AdminReply reply;
  reply.status_ = response.getStatus();
  // POCO presents an answer whose connection ended early as a whole one, so
  // the length is compared here; without a length that cannot be done.
  if (!response.hasContentLength()) {
    aFault = "the answer has no Content-Length";
    return reply;
  }
  reply.body_.assign(std::istreambuf_iterator<char>(stream), {});
  const auto length = static_cast<std::size_t>(response.getContentLength64());
  if (reply.body_.size() != length) {
    aFault = "the answer ended after " + std::to_string(reply.body_.size()) +
             " of " + std::to_string(length) + " bytes";
    return reply;
  }
  Poco::UInt64 version = 0;
  if (Poco::NumberParser::tryParseUnsigned64(
        response.get("Acaciahill-Table-Version", ""), version)) {
    reply.tableVersion_ = version;
  }
  return reply;
}

} // namespace

AdminCallOutcome
CallAdmin(const std::string& aAddress,
          const std::string& aMethod,
          const std::string& aPath,
          const std::string& aBody,
          Millis aTimeout)
{
  AdminCallOutcome outcome;
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(aAddress),
                   ToTimespan(std::min(aTimeout, kConnectTimeout)));
    outcome.sent_ = true;
    // A session on a connected socket never connects again by itself, which
    // could send a change twice without this code knowing.
    HTTPClientSession session(socket);
    const auto limit = ToTimespan(aTimeout);
    session.setTimeout(limit, limit, limit);
    SendRequest(session, aAddress, aMethod, aPath, aBody);
    auto reply = ReadReply(session, outcome.fault_);
    if (outcome.fault_.empty()) {
      outcome.reply_ = std::move(reply);
    }
  } catch (const Poco::TimeoutException&) {
    outcome.fault_ = outcome.sent_ ? "no answer within " +
                                       std::to_string(aTimeout.count()) + " ms"
                                   : "no connection in time";
  } catch (const Poco::Exception& error) {
    outcome.fault_ = error.displayText();
  } catch (const std::exception& error) {
    outcome.fault_ = error.what();
  }
  return outcome;
}

std::string
MakeRequestId()
{
  std::random_device random;
  std::string id;
  for (int i = 0; i < 4; ++i) {
    std::array<char, 9> digits{};
    std::snprintf(digits.data(), digits.size(), "%08x", random());
    id += digits.data();
  }
  return id;
}

} // namespace acaciahill
