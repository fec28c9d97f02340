#pragma once

#include <string>

namespace acaciahill {

/// The host of "host:port"; the whole text when it has no port.
std::string
HostOfAddress(const std::string& aAddress);

/// The port of "host:port"; empty when there is none.
std::string
PortOfAddress(const std::string& aAddress);

/// Joins a host and a port to "host:port".
std::string
JoinAddress(std::string aHost, const std::string& aPort);

} // namespace acaciahill
