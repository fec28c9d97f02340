#include "daemon/peer_client_base.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <future>
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

/// Accepts HTTP/2 connections, so that the client considers them established,
/// but never answers a call.
class UnansweringServer
{
public:
  UnansweringServer()
    : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
    , thread_([this] { Run(); })
  {
  }
  UnansweringServer(const UnansweringServer&) = delete;
  UnansweringServer& operator=(const UnansweringServer&) = delete;
  ~UnansweringServer()
  {
    stopping_ = true;
    thread_.join();
  }

  std::string Address() const { return socket_.address().toString(); }
  int Accepted() const { return accepted_; }

private:
  void Run()
  {
    constexpr std::array<char, 9> kEmptySettings{ 0, 0, 0, 4 };
    std::vector<Poco::Net::StreamSocket> open;
    while (!stopping_) {
      if (socket_.poll({ 0, 10000 }, Poco::Net::Socket::SELECT_READ)) {
        open.push_back(socket_.acceptConnection());
        open.back().sendBytes(kEmptySettings.data(), kEmptySettings.size());
        ++accepted_;
      }
    }
  }

  Poco::Net::ServerSocket socket_;
  std::atomic<bool> stopping_{ false };
  std::atomic<int> accepted_{ 0 };
  std::thread thread_;
};

PeerPropose
Proposal(Millis aTimeout)
{
  return { "test", { "request", 0, RemoveVm{} }, aTimeout, 0 };
}

} // namespace

// Guards against late timeouts of calls on a replaced connection that are
// counted for the new connection, which is then replaced as well.
TEST_CASE("late timeouts of a replaced connection leave its successor alone")
{
  const UnansweringServer server;
  PeerClient client;
  const auto propose = [&](Millis aTimeout) {
    return IsOk(client.Propose(server.Address(), Proposal(aTimeout)));
  };
  const auto call = [&] {
    client.SendRaft(server.Address(), Heartbeat(), 10s, [](const auto&) {});
  };
  // Four calls on the first connection: two time out soon, so that it is
  // replaced, and two when the new connection is in use.
  const auto late = [&] { return propose(800ms); };
  auto first = std::async(std::launch::async, late);
  auto second = std::async(std::launch::async, late);
  CHECK_FALSE(propose(200ms));
  CHECK_FALSE(propose(100ms));
  call();
  CHECK_FALSE(first.get());
  CHECK_FALSE(second.get());
  call();
  std::this_thread::sleep_for(300ms);
  CHECK(server.Accepted() == 2);
  client.Stop();
}

// Guards against an abort in gRPC (assertion "prior > 0") when a connection
// without replies is replaced while several of its calls end at once.
TEST_CASE("connections to silent peers are replaced again and again")
{
  // The kernel accepts connections up to the backlog; no process answers them.
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
