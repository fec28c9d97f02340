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
// Raft messages in flight to one address.
constexpr int kMaxRaftInFlight = 4;
// Timeouts in a row after which the connection is replaced.
constexpr int kTimeoutsToReplace = 2;
// Time for a pull's way in addition to the wait that it asks for.
constexpr Millis kPullMargin{ 1500 };
// Between looks whether the ending calls have released their channels.
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
  // Without this a new channel would take over the old one's connection.
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
  const bool late = aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
  return { late ? ErrorKind::Timeout : ErrorKind::IoError,
           aAddress + ": " + aStatus.error_message() };
}

} // namespace

struct PeerClient::Impl
{
  using Channels = std::vector<std::shared_ptr<grpc::Channel>>;

  struct Link
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
  std::map<std::string, Link> links_;
  std::set<grpc::ClientContext*> calls_;
  // gRPC 1.51 joins its callback threads when the last channel with
  // asynchronous calls is released. Done by a callback, a thread joins itself
  // and frees the queue that it still reads. So calls never hold a channel's
  // last reference: replaced channels wait here for a thread of our own.
  Channels retired_;
  bool stopped_ = false;

  /// Takes the retired channels that no call holds any more. The caller holds
  /// the mutex, and releases them without it and not in a callback.
  Channels TakeUnused()
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

  /// Ends the use of a link's channel. The caller holds the mutex.
  void Retire(Link& aLink)
  {
    aLink.stub_.reset();
    if (aLink.channel_) {
      retired_.push_back(std::move(aLink.channel_));
    }
  }

  /// The stub to an address. The caller holds the mutex.
  std::shared_ptr<wire::Peer::Stub> StubFor(const std::string& aAddress)
  {
    auto& link = links_[aAddress];
    if (!link.stub_) {
      link.channel_ = MakeChannel(aAddress);
      link.stub_ = wire::Peer::NewStub(link.channel_);
    }
    return link.stub_;
  }

  /// Registers a blocking call, so that Stop can cancel it. Null when stopped.
  std::shared_ptr<wire::Peer::Stub> BeginCall(const std::string& aAddress,
                                              grpc::ClientContext& aContext)
  {
    Channels unused;
    const std::lock_guard lock(mutex_);
    unused = TakeUnused();
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
    CountTimeouts(aAddress, aStub, aStatus);
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

  /// Counts timeouts and replaces a connection that seems to have gone silent.
  /// Calls on an earlier connection tell nothing about the present one.
  void CountTimeouts(const std::string& aAddress,
                     const wire::Peer::Stub* aStub,
                     const grpc::Status& aStatus)
  {
    auto& link = links_[aAddress];
    if (link.stub_.get() != aStub) {
      return;
    }
    if (aStatus.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED) {
      link.timeoutsInARow_ = 0;
      return;
    }
    if (++link.timeoutsInARow_ >= kTimeoutsToReplace) {
      link.timeoutsInARow_ = 0;
      Retire(link);
      LogInfo("replacing a silent connection", { { "peer", aAddress } });
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
  for (auto& [address, link] : impl_->links_) {
    impl_->Retire(link);
  }
  // A callback that has ended its call still holds the channel for a moment.
  while (!impl_->retired_.empty()) {
    auto unused = impl_->TakeUnused();
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
    unused = impl_->TakeUnused();
    auto& link = impl_->links_[aAddress];
    if (impl_->stopped_ || link.raftInFlight_ >= kMaxRaftInFlight) {
      return;
    }
    call->stub_ = impl_->StubFor(aAddress);
    ++link.raftInFlight_;
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
      --impl_->links_[aAddress].raftInFlight_;
      impl_->calls_.erase(&call->context_);
      impl_->CountTimeouts(aAddress, call->stub_.get(), aStatus);
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
