#pragma once

#include <string>

namespace acaciahill {

/// The part of "host:port" before the port; all of it without one.
std::string
HostOfAddress(const std::string& aAddress);

/// The port of "host:port"; empty without one.
std::string
PortOfAddress(const std::string& aAddress);

/// "host:port".
std::string
JoinAddress(std::string aHost, const std::string& aPort);

} // namespace acaciahill
