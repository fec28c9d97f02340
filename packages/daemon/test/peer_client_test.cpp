#include "daemon/peer_client_base.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

constexpr int kPeers = 8;
constexpr Millis kTimeout{ 40 };
constexpr Millis kHeartbeat{ 10 };
constexpr Millis kDuration{ 3000 };

PeerRaft
Heartbeat()
{
  PeerRaft request;
  request.cluster_ = "test";
  request.from_ = "n1";
  request.message_ = RaftMessage{ "n1", "n2", 1, AppendRequest{} };
  return request;
}

} // namespace

// Guards against gRPC's abort of the process (assertion "prior > 0") when a
// silent connection is replaced while several of its calls end at once.
TEST_CASE("connections to silent peers are replaced again and again")
{
  // The kernel accepts connections for the backlog; nobody ever answers.
  std::vector<std::unique_ptr<Poco::Net::ServerSocket>> silent;
  std::vector<std::string> addresses;
  for (int i = 0; i < kPeers; ++i) {
    silent.push_back(std::make_unique<Poco::Net::ServerSocket>(
      Poco::Net::SocketAddress("127.0.0.1", 0), 1024));
    addresses.push_back(silent.back()->address().toString());
  }
  PeerClient client;
  int replies = 0;
  for (Millis past{ 0 }; past < kDuration; past += kHeartbeat) {
    for (const auto& address : addresses) {
      client.SendRaft(address,
                      Heartbeat(),
                      kTimeout,
                      [&replies](const PeerRaft&) { ++replies; });
    }
    std::this_thread::sleep_for(kHeartbeat);
  }
  client.Stop();
  CHECK(replies == 0);
}
