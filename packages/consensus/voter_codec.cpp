#include "consensus/raft_base.h"

#include "consensus/log_codec_func.h"

namespace acaciahill {

std::string
EncodeVoters(const VoterSet& aVoters)
{
  return detail::ToBytes(detail::ToJson(aVoters));
}

VoterSet
DecodeVoters(const std::string& aData)
{
  return detail::FromBytes(aData, detail::ToVoterSet).value_or(VoterSet{});
}

} // namespace acaciahill
