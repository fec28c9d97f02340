#include "daemon/peer_server_base.h"

#include "daemon/peer_codec_func.h"
#include "kernel/error_func.h"
#include "state/fleet_base.h"

#include "wire/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace acaciahill {

namespace {

constexpr int kMaxMessageBytes = 64 * 1024 * 1024;
// Shortest interval of keepalive pings that is accepted from clients; it must
// be below kKeepaliveMs of the client.
constexpr int kMinPingIntervalMs = 1000;
constexpr std::chrono::seconds kStopTimeout{ 1 };

class PeerService final : public wire::Peer::Service
{
public:
  PeerService(PeerHandler& aHandler,
              std::string aCluster,
              const ControlMeter* aMeter)
    : handler_(aHandler)
    , cluster_(std::move(aCluster))
    , meter_(aMeter)
  {
  }

  grpc::Status Raft(grpc::ServerContext*,
                    const wire::RaftEnvelope* aRequest,
                    wire::RaftEnvelope* aReply) override
  {
    if (aRequest->cluster() != cluster_) {
      return WrongCluster();
    }
    *aReply = ToWire(handler_.HandleRaft(FromWire(*aRequest)));
    Meter("raft", *aRequest, *aReply);
    return grpc::Status::OK;
  }

  grpc::Status Pull(grpc::ServerContext*,
                    const wire::PullRequest* aRequest,
                    wire::PullReply* aReply) override
  {
    if (aRequest->cluster() != cluster_) {
      return WrongCluster();
    }
    *aReply = ToWire(handler_.HandlePull(FromWire(*aRequest)));
    Meter("pull", *aRequest, *aReply);
    return grpc::Status::OK;
  }

  grpc::Status Propose(grpc::ServerContext*,
                       const wire::ProposeRequest* aRequest,
                       wire::ProposeReply* aReply) override
  {
    if (aRequest->cluster() != cluster_) {
      return WrongCluster();
    }
    const auto envelope = DecodeEnvelope(aRequest->command());
    if (!IsOk(envelope)) {
      return { grpc::StatusCode::INVALID_ARGUMENT,
               Describe(ErrorOf(envelope)) };
    }
    const auto result = handler_.HandlePropose({ aRequest->cluster(),
                                                 ValueOf(envelope),
                                                 Millis(aRequest->timeout_ms()),
                                                 aRequest->hops() });
    aReply->set_result(EncodeResult(result));
    Meter("propose", *aRequest, *aReply);
    return grpc::Status::OK;
  }

  grpc::Status Status(grpc::ServerContext*,
                      const wire::StatusRequest* aRequest,
                      wire::StatusReply* aReply) override
  {
    if (aRequest->cluster() != cluster_) {
      return WrongCluster();
    }
    PeerStatusRequest request{ aRequest->cluster(), std::nullopt };
    if (aRequest->has_candidate()) {
      request.candidate_ =
        VoterId{ aRequest->candidate().node(), aRequest->candidate().disk() };
    }
    const auto status = handler_.HandleStatus(request);
    aReply->set_leader(status.leader_);
    aReply->set_term(status.term_);
    aReply->set_last_index(status.lastIndex_);
    return grpc::Status::OK;
  }

private:
  static grpc::Status WrongCluster()
  {
    return { grpc::StatusCode::FAILED_PRECONDITION,
             "this node belongs to another cluster" };
  }

  template<typename Request, typename Reply>
  void Meter(const char* aRpc,
             const Request& aRequest,
             const Reply& aReply) const
  {
    if (meter_ != nullptr) {
      meter_->Count(aRpc, aReply.ByteSizeLong(), aRequest.ByteSizeLong());
    }
  }

  PeerHandler& handler_;
  std::string cluster_;
  const ControlMeter* meter_;
};

} // namespace

struct PeerServer::Impl
{
  Impl(PeerHandler& aHandler, const ControlMeter* aMeter)
    : handler_(aHandler)
    , meter_(aMeter)
  {
  }

  PeerHandler& handler_;
  const ControlMeter* meter_;
  std::unique_ptr<PeerService> service_;
  std::unique_ptr<grpc::Server> server_;
};

PeerServer::PeerServer(PeerHandler& aHandler, const ControlMeter* aMeter)
  : impl_(std::make_unique<Impl>(aHandler, aMeter))
{
}

PeerServer::~PeerServer()
{
  Stop();
}

Result<Done>
PeerServer::Start(const std::string& aAddress,
                  const std::string& aCluster,
                  std::size_t aMaxBufferedBytes)
{
  impl_->service_ =
    std::make_unique<PeerService>(impl_->handler_, aCluster, impl_->meter_);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(aAddress, grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(
    GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, kMinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.SetMaxSendMessageSize(kMaxMessageBytes);
  grpc::ResourceQuota quota("peers");
  quota.Resize(aMaxBufferedBytes);
  builder.SetResourceQuota(quota);
  builder.RegisterService(impl_->service_.get());
  impl_->server_ = builder.BuildAndStart();
  if (!impl_->server_ || port == 0) {
    return Error{ ErrorKind::IoError, "cannot listen on " + aAddress };
  }
  return Done{};
}

void
PeerServer::Stop()
{
  if (impl_->server_) {
    impl_->server_->Shutdown(std::chrono::system_clock::now() + kStopTimeout);
    impl_->server_->Wait();
    impl_->server_.reset();
  }
}

} // namespace acaciahill
