#include "hostile/hostile_support.h"

#include "wire/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

/// Memory of a control node's machine.
constexpr std::size_t kControlMegabytes = 128;
constexpr std::size_t kClients = 4;

/// Sends a message of that size as a node of another cluster does.
grpc::StatusCode
SendMessage(const std::string& aAddress, std::size_t aMegabytes)
{
  const auto stub = wire::Peer::NewStub(
    grpc::CreateChannel(aAddress, grpc::InsecureChannelCredentials()));
  wire::ProposeRequest request;
  request.set_cluster("none");
  request.set_command(std::string(aMegabytes * kMegabyte, 'a'));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kStartTimeout);
  wire::ProposeReply reply;
  return stub->Propose(&context, request, &reply).error_code();
}

} // namespace

// Guards against large messages of who is no peer: the limit of one message was
// half of a control node's memory.
TEST_CASE("memory of a control node stays bounded with large messages to its "
          "peers' port")
{
  NodePair nodes;
  std::vector<std::thread> crowd;
  for (std::size_t i = 0; i < kClients; ++i) {
    crowd.emplace_back(
      [address = nodes.Door("peers")] { SendMessage(address, 60); });
  }
  for (auto& client : crowd) {
    client.join();
  }
  CHECK(nodes.AllRun());
  CheckPeak("large messages to the peers' port",
            nodes.Control().Pid(),
            kControlMegabytes);
  CHECK(nodes.SubmitJob());
}

// Guards against a bound that keeps out the messages of peers, of which a
// snapshot is the largest.
TEST_CASE("a single large message to the peers' port is taken in calm")
{
  NodePair nodes;
  CHECK(SendMessage(nodes.Door("peers"), 24) ==
        grpc::StatusCode::FAILED_PRECONDITION);
  CHECK(nodes.AllRun());
  CheckPeak("one large message to the peers' port",
            nodes.Control().Pid(),
            kControlMegabytes);
}
