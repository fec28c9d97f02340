#include "daemon/peer_client_base.h"

#include "daemon/peer_codec_func.h"
#include "kernel/log_func.h"
#include "state/fleet_base.h"

#include "wire/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <iterator>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace acaciahill {

namespace {

constexpr int kMaxMessageBytes = 64 * 1024 * 1024;
constexpr int kKeepaliveMs = 5000;
constexpr int kKeepaliveTimeoutMs = 2000;
constexpr int kMinReconnectMs = 200;
constexpr int kMaxReconnectMs = 1000;
// Limit of the Raft messages in flight to one address.
constexpr int kMaxRaftInFlight = 4;
// Number of consecutive timeouts after which the connection is replaced.
constexpr int kMaxTimeoutsInARow = 2;
// Timeout of a pull in addition to its requested wait, for the network delay.
constexpr Millis kPullMargin{ 1500 };
// Interval of the checks whether ending calls have released their channels.
constexpr Millis kReleasePause{ 1 };

std::shared_ptr<grpc::Channel>
MakeChannel(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetMaxSendMessageSize(kMaxMessageBytes);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  // Otherwise a new channel would reuse the connection of the old one.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return grpc::CreateCustomChannel(
    aAddress, grpc::InsecureChannelCredentials(), arguments);
}

void
SetTimeout(grpc::ClientContext& aContext, Millis aTimeout)
{
  aContext.set_deadline(std::chrono::system_clock::now() + aTimeout);
}

Error
ToError(const std::string& aAddress, const grpc::Status& aStatus)
{
  const bool isTimeout =
    aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
  return { isTimeout ? ErrorKind::Timeout : ErrorKind::IoError,
           aAddress + ": " + aStatus.error_message() };
}

} // namespace

struct PeerClient::Impl
{
  using Channels = std::vector<std::shared_ptr<grpc::Channel>>;

  struct Connection
  {
    std::shared_ptr<grpc::Channel> channel_;
    std::shared_ptr<wire::Peer::Stub> stub_;
    int raftInFlight_ = 0;
    int timeoutsInARow_ = 0;
  };

  /// One asynchronous Raft call; it lives until its callback has run.
  struct RaftCall
  {
    grpc::ClientContext context_;
    wire::RaftEnvelope request_;
    wire::RaftEnvelope reply_;
    std::shared_ptr<wire::Peer::Stub> stub_;
  };

  const ControlMeter* meter_ = nullptr;
  std::mutex mutex_;
  std::condition_variable idle_;
  std::map<std::string, Connection> connections_;
  std::set<grpc::ClientContext*> calls_;
  // gRPC 1.51 joins its callback threads when the last channel with
  // asynchronous calls is released. If a callback releases it, the thread joins
  // itself and frees the queue that it still reads. Replaced channels are
  // therefore kept here, so that a call never holds a channel's last reference,
  // and are released outside callbacks.
  Channels retired_;
  bool stopped_ = false;

  /// Removes and returns the retired channels that no call uses any more. The
  /// caller holds the mutex. It must destroy the channels after unlocking it
  /// and not in a callback.
  Channels RemoveUnused()
  {
    const auto used = std::partition(
      retired_.begin(), retired_.end(), [](const auto& aChannel) {
        return aChannel.use_count() > 1;
      });
    Channels unused(std::make_move_iterator(used),
                    std::make_move_iterator(retired_.end()));
    retired_.erase(used, retired_.end());
    return unused;
  }

  /// Moves a connection's channel to the retired ones. The caller holds the
  /// mutex.
  void Retire(Connection& aConnection)
  {
    aConnection.stub_.reset();
    if (aConnection.channel_) {
      retired_.push_back(std::move(aConnection.channel_));
    }
  }

  /// Returns the stub for an address; creates the channel if there is none. The
  /// caller holds the mutex.
  std::shared_ptr<wire::Peer::Stub> StubFor(const std::string& aAddress)
  {
    auto& connection = connections_[aAddress];
    if (!connection.stub_) {
      connection.channel_ = MakeChannel(aAddress);
      connection.stub_ = wire::Peer::NewStub(connection.channel_);
    }
    return connection.stub_;
  }

  /// Registers a blocking call, so that Stop can cancel it. Null after Stop.
  std::shared_ptr<wire::Peer::Stub> BeginCall(const std::string& aAddress,
                                              grpc::ClientContext& aContext)
  {
    Channels unused;
    const std::lock_guard lock(mutex_);
    unused = RemoveUnused();
    if (stopped_) {
      return nullptr;
    }
    calls_.insert(&aContext);
    return StubFor(aAddress);
  }

  void EndCall(const std::string& aAddress,
               const wire::Peer::Stub* aStub,
               grpc::ClientContext& aContext,
               const grpc::Status& aStatus)
  {
    const std::lock_guard lock(mutex_);
    calls_.erase(&aContext);
    CountTimeout(aAddress, aStub, aStatus);
    idle_.notify_all();
  }

  /// Counts the bytes of a call that has ended.
  template<typename Request, typename Reply>
  void Meter(const char* aRpc,
             const Request& aRequest,
             const Reply& aReply,
             const grpc::Status& aStatus) const
  {
    if (meter_ != nullptr) {
      meter_->Count(aRpc,
                    aRequest.ByteSizeLong(),
                    aStatus.ok() ? aReply.ByteSizeLong() : 0);
    }
  }

  /// Counts consecutive timeouts and replaces a connection without replies.
  /// Ignores calls on an earlier connection to the address.
  void CountTimeout(const std::string& aAddress,
                    const wire::Peer::Stub* aStub,
                    const grpc::Status& aStatus)
  {
    auto& connection = connections_[aAddress];
    if (connection.stub_.get() != aStub) {
      return;
    }
    if (aStatus.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED) {
      connection.timeoutsInARow_ = 0;
      return;
    }
    if (++connection.timeoutsInARow_ >= kMaxTimeoutsInARow) {
      connection.timeoutsInARow_ = 0;
      Retire(connection);
      LogInfo("replacing a connection on which calls time out",
              { { "peer", aAddress } });
    }
  }
};

PeerClient::PeerClient(const ControlMeter* aMeter)
  : impl_(std::make_unique<Impl>())
{
  impl_->meter_ = aMeter;
}

PeerClient::~PeerClient()
{
  Stop();
  std::unique_lock lock(impl_->mutex_);
  impl_->idle_.wait(lock, [this] { return impl_->calls_.empty(); });
  for (auto& [address, connection] : impl_->connections_) {
    impl_->Retire(connection);
  }
  // A callback still holds the channel for a moment after it removed its call.
  while (!impl_->retired_.empty()) {
    auto unused = impl_->RemoveUnused();
    lock.unlock();
    unused.clear();
    std::this_thread::sleep_for(kReleasePause);
    lock.lock();
  }
}

void
PeerClient::SendRaft(const std::string& aAddress,
                     const PeerRaft& aRequest,
                     Millis aTimeout,
                     std::function<void(const PeerRaft&)> aOnReply)
{
  auto call = std::make_shared<Impl::RaftCall>();
  call->request_ = ToWire(aRequest);
  SetTimeout(call->context_, aTimeout);
  Impl::Channels unused;
  {
    const std::lock_guard lock(impl_->mutex_);
    unused = impl_->RemoveUnused();
    auto& connection = impl_->connections_[aAddress];
    if (impl_->stopped_ || connection.raftInFlight_ >= kMaxRaftInFlight) {
      return;
    }
    call->stub_ = impl_->StubFor(aAddress);
    ++connection.raftInFlight_;
    impl_->calls_.insert(&call->context_);
  }
  auto* stub = call->stub_.get();
  stub->async()->Raft(
    &call->context_,
    &call->request_,
    &call->reply_,
    [this, call, aAddress, onReply = std::move(aOnReply)](
      const grpc::Status& aStatus) {
      impl_->Meter("raft", call->request_, call->reply_, aStatus);
      if (aStatus.ok()) {
        onReply(FromWire(call->reply_));
      }
      const std::lock_guard lock(impl_->mutex_);
      --impl_->connections_[aAddress].raftInFlight_;
      impl_->calls_.erase(&call->context_);
      impl_->CountTimeout(aAddress, call->stub_.get(), aStatus);
      impl_->idle_.notify_all();
    });
}

Result<PeerPullReply>
PeerClient::Pull(const std::string& aAddress, const PeerPull& aRequest)
{
  grpc::ClientContext context;
  SetTimeout(context, aRequest.wait_ + kPullMargin);
  const auto stub = impl_->BeginCall(aAddress, context);
  if (!stub) {
    return Error{ ErrorKind::NodeStopping, "" };
  }
  wire::PullReply reply;
  const auto request = ToWire(aRequest);
  const auto status = stub->Pull(&context, request, &reply);
  impl_->Meter("pull", request, reply, status);
  impl_->EndCall(aAddress, stub.get(), context, status);
  if (!status.ok()) {
    return ToError(aAddress, status);
  }
  return FromWire(reply);
}

Result<CommandResult>
PeerClient::Propose(const std::string& aAddress, const PeerPropose& aRequest)
{
  grpc::ClientContext context;
  SetTimeout(context, aRequest.timeout_);
  wire::ProposeRequest request;
  request.set_cluster(aRequest.cluster_);
  request.set_command(EncodeEnvelope(aRequest.envelope_));
  request.set_timeout_ms(static_cast<std::uint32_t>(aRequest.timeout_.count()));
  request.set_hops(aRequest.hops_);
  const auto stub = impl_->BeginCall(aAddress, context);
  if (!stub) {
    return Error{ ErrorKind::NodeStopping, "" };
  }
  wire::ProposeReply reply;
  const auto status = stub->Propose(&context, request, &reply);
  impl_->Meter("propose", request, reply, status);
  impl_->EndCall(aAddress, stub.get(), context, status);
  if (!status.ok()) {
    return Error{ ErrorKind::ProposalLost,
                  "no answer from the leader at " + aAddress + ": " +
                    status.error_message() };
  }
  return DecodeResult(reply.result());
}

Result<PeerStatus>
PeerClient::Status(const std::string& aAddress,
                   const PeerStatusRequest& aRequest,
                   Millis aTimeout)
{
  grpc::ClientContext context;
  SetTimeout(context, aTimeout);
  const auto stub = impl_->BeginCall(aAddress, context);
  if (!stub) {
    return Error{ ErrorKind::NodeStopping, "" };
  }
  wire::StatusRequest request;
  request.set_cluster(aRequest.cluster_);
  if (aRequest.candidate_) {
    request.mutable_candidate()->set_node(aRequest.candidate_->node_);
    request.mutable_candidate()->set_disk(aRequest.candidate_->disk_);
  }
  wire::StatusReply reply;
  const auto status = stub->Status(&context, request, &reply);
  impl_->EndCall(aAddress, stub.get(), context, status);
  if (!status.ok()) {
    return ToError(aAddress, status);
  }
  return PeerStatus{ reply.leader(), reply.term(), reply.last_index() };
}

void
PeerClient::Stop()
{
  const std::lock_guard lock(impl_->mutex_);
  impl_->stopped_ = true;
  for (auto* context : impl_->calls_) {
    context->TryCancel();
  }
}

} // namespace acaciahill
