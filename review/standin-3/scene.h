#pragma once

#include "deployment.h"
#include "worker.h"

namespace review {

/// What a case needs: the deployment, the record, and whether the disruption
/// is played.
struct Scene
{
  Record& log_;
  bool hasTrouble_ = true;
};

/// Each returns 1 if the rule was broken, 0 if it held and 2 if the case could
/// not run.
int
PlayLateEndOfGang(Scene& aScene);
int
PlayRemovedRoute(Scene& aScene);
int
PlayLateUpkeep(Scene& aScene);
int
PlayLateStart(Scene& aScene);

/// Sends a request of a client or of the operator and records it with its
/// answer.
inline std::optional<Answer>
Send(Record& aLog,
     const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = {},
     std::int64_t aTimeoutMs = 3000)
{
  const auto answer =
    Call(aAddress, aMethod, aPath, "h.example", aBody, aTimeoutMs);
  aLog.Line(aMethod + " " + aPath + " at " + aAddress + " -> " +
            (answer ? std::to_string(answer->status_) + " " + answer->body_
                    : "no answer"));
  return answer;
}

/// Sends it to one node after the other until it is answered with 2xx.
inline bool
SendUntilTaken(Record& aLog,
               const std::vector<std::string>& aNodes,
               const std::string& aMethod,
               const std::string& aPath,
               const std::string& aBody,
               std::int64_t aForMs)
{
  const auto until = NowMs() + aForMs;
  for (std::size_t node = 0; NowMs() < until; ++node) {
    const auto answer =
      Send(aLog, aNodes[node % aNodes.size()], aMethod, aPath, aBody);
    if (answer && answer->status_ / 100 == 2) {
      return true;
    }
    SleepMs(300);
  }
  return false;
}

template<typename F>
bool
WaitUntil(F aCondition, std::int64_t aForMs)
{
  const auto until = NowMs() + aForMs;
  while (!aCondition()) {
    if (NowMs() >= until) {
      return false;
    }
    SleepMs(20);
  }
  return true;
}

/// The state that a client is shown; empty without an answer of 200.
inline std::string
StateOf(Record& aLog, const std::string& aEdge, const std::string& aPath)
{
  const auto answer = Send(aLog, aEdge, "GET", aPath);
  if (!answer || answer->status_ != 200) {
    return "";
  }
  return json::parse(answer->body_, nullptr, false).value("state", "");
}

} // namespace review
