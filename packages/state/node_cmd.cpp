#include "state/fleet_editor_base.h"

namespace acaciahill {

namespace {

// Fits a host and port; longer text is an input error.
constexpr std::size_t kMaxAddressBytes = 128;

std::string
RoleOf(const NodeRecord& aNode)
{
  return aNode.voter_ ? "voter" : "entry node without a vote";
}

} // namespace

Refusal
FleetEditor::Check(const Fleet&, const RegisterNode& aCommand)
{
  const auto& node = aCommand.node_;
  return FirstRefusal(
    CheckId("node.id", node.id_),
    CheckId("node.zone", node.zone_),
    CheckText("node.peer_address", node.peerAddress_, kMaxAddressBytes),
    CheckText("node.admin_address", node.adminAddress_, kMaxAddressBytes));
}

std::string
FleetEditor::Apply(const RegisterNode& aCommand)
{
  const auto& node = aCommand.node_;
  const auto known = fleet_.nodes_.find(node.id_);
  if (known != fleet_.nodes_.end() && known->second == node) {
    return Concat("node ", node.id_, " is registered already");
  }
  auto text =
    Concat("node ",
           node.id_,
           known == fleet_.nodes_.end() ? " joined as " : " was updated as ",
           RoleOf(node),
           " in zone ",
           node.zone_,
           ", peers reach it at ",
           node.peerAddress_);
  fleet_.nodes_.insert_or_assign(node.id_, node);
  RecordDecision(Concat("node:", node.id_), text);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const RemoveNode& aCommand)
{
  if (aFleet.Nodes().count(aCommand.node_) != 0) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::UnknownNode,
                "there is no node \"",
                Printable(aCommand.node_),
                "\"");
}

std::string
FleetEditor::Apply(const RemoveNode& aCommand)
{
  fleet_.nodes_.erase(aCommand.node_);
  for (auto& [key, claim] : fleet_.claims_) {
    if (claim.node_ == aCommand.node_ && claim.phase_ == ClaimPhase::Running) {
      claim.phase_ = ClaimPhase::Unknown;
    }
  }
  // The text is part of the replicated state, so it must not contain the number
  // of claims, which a state without claims does not know.
  auto text = Concat("node ",
                     aCommand.node_,
                     " was removed; its running claims are unknown now, so "
                     "their requests never run again");
  RecordDecision(Concat("node:", aCommand.node_), text);
  return text;
}

} // namespace acaciahill
