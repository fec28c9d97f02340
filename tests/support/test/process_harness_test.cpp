#include "support/cluster_fixture.h"
#include "support/process_harness.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <sstream>

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

constexpr Millis kTimeout{ 5000 };

} // namespace

// Guards against processes that survive their test.
TEST_CASE("a child process ends with its object")
{
  TemporaryFolder folder;
  pid_t pid = 0;
  {
    ChildProcess child("/bin/sleep", { "1000" }, folder.Path());
    pid = child.Pid();
    CHECK(child.IsRunning());
  }
  CHECK(kill(pid, 0) != 0);
}

TEST_CASE("a child process runs in its folder and reports output and exit")
{
  TemporaryFolder folder;
  const auto run = RunProgram("/bin/sh",
                              { "-c", "pwd; echo error >&2; exit 7" },
                              folder.Path(),
                              kTimeout);
  CHECK(run.exitCode_ == 7);
  CHECK(run.output_ == folder.Path() + "\nerror\n");
  ChildProcess child("/bin/sleep", { "1000" }, folder.Path());
  CHECK(child.Terminate(kTimeout) == 128 + SIGTERM);
}

// Guards against output of an earlier start that satisfies a later wait.
TEST_CASE("output is that of the present start")
{
  TemporaryFolder folder;
  RunProgram("/bin/echo", { "ready" }, folder.Path(), kTimeout);
  ChildProcess child("/bin/sleep", { "1000" }, folder.Path());
  CHECK_FALSE(child.WaitForOutput("ready", Millis(100)));
  child.Kill();
  CHECK_FALSE(child.WaitForOutput("ready", kTimeout));
}

TEST_CASE("free ports are not handed out twice")
{
  CHECK(FreePort() != FreePort());
}

// Guards against another test program that takes the port of a process which
// was killed and is to be started again.
TEST_CASE("a port stays reserved while nobody listens on it")
{
  const auto port = FreePort();
  const Poco::Net::SocketAddress address("127.0.0.1", port);
  Poco::Net::DatagramSocket mark(Poco::Net::SocketAddress::IPv4);
  CHECK_THROWS_AS(mark.bind(address, false, false), Poco::Exception);
}

// Guards against settings that name addresses past the fault proxies.
TEST_CASE("cluster settings lead through the proxies")
{
  ClusterSettings settings;
  settings.nodes_ = 4;
  settings.proxies_ = PeerProxies::PerPair;
  settings.platform_ = false;
  Cluster cluster(settings);
  std::ifstream in(cluster.Node("n4").folder_ + "/acaciahill.ini");
  std::stringstream text;
  text << in.rdbuf();
  CHECK(text.str().find("role = entry") != std::string::npos);
  CHECK(text.str().find("n1@" + cluster.PairProxy("n4", "n1").Address()) !=
        std::string::npos);
  CHECK(
    text.str().find("advertise_peers = " + cluster.PeerProxy("n4").Address()) !=
    std::string::npos);
  CHECK(text.str().find("zone = z1\n") != std::string::npos);
}
