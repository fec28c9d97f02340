#include "node_meter.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace acaciahill::bench {

namespace {

constexpr std::uint32_t kEstablished = 1U << 1U;
constexpr std::size_t kBufferBytes = 65536;

/// Inodes of the sockets that a process holds.
std::set<std::uint32_t>
SocketInodes(pid_t aPid)
{
  std::set<std::uint32_t> inodes;
  std::error_code error;
  const auto folder = "/proc/" + std::to_string(aPid) + "/fd";
  for (const auto& item : std::filesystem::directory_iterator(folder, error)) {
    const auto link = std::filesystem::read_symlink(item.path(), error);
    const auto text = link.string();
    if (!error && text.rfind("socket:[", 0) == 0) {
      inodes.insert(static_cast<std::uint32_t>(
        std::stoul(text.substr(std::string("socket:[").size()))));
    }
  }
  return inodes;
}

struct SocketTotals
{
  std::uint16_t local_ = 0;
  std::uint16_t remote_ = 0;
  std::uint32_t inode_ = 0;
  tcp_info info_{};
};

void
SendQuery(int aSocket, std::uint8_t aFamily)
{
  struct
  {
    nlmsghdr head_;
    inet_diag_req_v2 body_;
  } query{};
  query.head_.nlmsg_len = sizeof(query);
  query.head_.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.head_.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
  query.body_.sdiag_family = aFamily;
  query.body_.sdiag_protocol = IPPROTO_TCP;
  query.body_.idiag_ext = 1U << (INET_DIAG_INFO - 1U);
  query.body_.idiag_states = kEstablished;
  if (send(aSocket, &query, sizeof(query), 0) < 0) {
    throw std::runtime_error("socket diagnosis is not available");
  }
}

SocketTotals
ReadSocket(const nlmsghdr* aHead)
{
  const auto* message = static_cast<const inet_diag_msg*>(NLMSG_DATA(aHead));
  SocketTotals totals;
  totals.local_ = ntohs(message->id.idiag_sport);
  totals.remote_ = ntohs(message->id.idiag_dport);
  totals.inode_ = message->idiag_inode;
  auto left = aHead->nlmsg_len - NLMSG_LENGTH(sizeof(*message));
  const auto* attribute = reinterpret_cast<const nlattr*>(message + 1);
  while (left >= sizeof(nlattr) && attribute->nla_len >= sizeof(nlattr) &&
         attribute->nla_len <= left) {
    if (attribute->nla_type == INET_DIAG_INFO) {
      const auto length = attribute->nla_len - sizeof(nlattr);
      std::memcpy(&totals.info_,
                  attribute + 1,
                  std::min<std::size_t>(length, sizeof(totals.info_)));
    }
    const auto step = NLA_ALIGN(attribute->nla_len);
    if (static_cast<std::size_t>(step) >= left) {
      break;
    }
    left -= static_cast<unsigned>(step);
    attribute = reinterpret_cast<const nlattr*>(
      reinterpret_cast<const char*>(attribute) + step);
  }
  return totals;
}

/// All established TCP connections of the machine, one entry for each end.
std::vector<SocketTotals>
ReadSockets(std::uint8_t aFamily)
{
  std::vector<SocketTotals> sockets;
  const int handle = socket(AF_NETLINK, SOCK_DGRAM, NETLINK_SOCK_DIAG);
  if (handle < 0) {
    throw std::runtime_error("socket diagnosis is not available");
  }
  SendQuery(handle, aFamily);
  alignas(nlmsghdr) std::array<char, kBufferBytes> buffer{};
  for (bool done = false; !done;) {
    auto length = recv(handle, buffer.data(), buffer.size(), 0);
    if (length <= 0) {
      break;
    }
    for (auto* head = reinterpret_cast<nlmsghdr*>(buffer.data());
         NLMSG_OK(head, length);
         head = NLMSG_NEXT(head, length)) {
      if (head->nlmsg_type == NLMSG_DONE || head->nlmsg_type == NLMSG_ERROR) {
        done = true;
        break;
      }
      sockets.push_back(ReadSocket(head));
    }
  }
  close(handle);
  return sockets;
}

} // namespace

double
ProcessCpuSeconds(pid_t aPid)
{
  // /proc/PID/stat counts in steps of 10 ms, too coarse for a nearly idle
  // process.
  clockid_t clock{};
  timespec time{};
  if (clock_getcpuclockid(aPid, &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    return 0;
  }
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

std::int64_t
ProcessResidentBytes(pid_t aPid)
{
  std::ifstream in("/proc/" + std::to_string(aPid) + "/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  in >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

NodeMeter::NodeMeter(std::set<std::uint16_t> aPeerPorts)
  : ports_(std::move(aPeerPorts))
{
}

std::map<pid_t, NodeTotals>
NodeMeter::Read(const std::set<pid_t>& aPids)
{
  std::map<pid_t, NodeTotals> totals;
  std::map<std::uint32_t, pid_t> owners;
  for (const auto pid : aPids) {
    totals[pid].cpuSeconds_ = ProcessCpuSeconds(pid);
    totals[pid].residentBytes_ = ProcessResidentBytes(pid);
    for (const auto inode : SocketInodes(pid)) {
      owners[inode] = pid;
    }
  }
  for (const auto family : { AF_INET, AF_INET6 }) {
    for (const auto& item : ReadSockets(static_cast<std::uint8_t>(family))) {
      const auto owner = owners.find(item.inode_);
      if (owner == owners.end() ||
          (!ports_.contains(item.local_) && !ports_.contains(item.remote_))) {
        continue;
      }
      auto& sum = totals[owner->second];
      sum.sentBytes_ += item.info_.tcpi_bytes_acked;
      sum.receivedBytes_ += item.info_.tcpi_bytes_received;
      sum.segments_ += item.info_.tcpi_segs_out + item.info_.tcpi_segs_in;
    }
  }
  return totals;
}

} // namespace acaciahill::bench
