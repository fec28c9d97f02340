#include "kernel/address_func.h"

namespace acaciahill {

std::string
HostOfAddress(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

std::string
PortOfAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  return colon == std::string::npos ? "" : aAddress.substr(colon + 1);
}

std::string
JoinAddress(std::string aHost, const std::string& aPort)
{
  return aHost.append(":").append(aPort);
}

} // namespace acaciahill
