#pragma once

#include "daemon/peer_type.h"

#include "wire/peer.pb.h"

namespace acaciahill {

wire::RaftEnvelope
ToWire(const PeerRaft& aRaft);

PeerRaft
FromWire(const wire::RaftEnvelope& aEnvelope);

wire::PullRequest
ToWire(const PeerPull& aPull);

PeerPull
FromWire(const wire::PullRequest& aRequest);

wire::PullReply
ToWire(const PeerPullReply& aReply);

PeerPullReply
FromWire(const wire::PullReply& aReply);

} // namespace acaciahill
