// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// portpaddle-standin: runs one stand-in as a process, which is an engine, a plain service or the platform.

#include "portpaddle/base/system_clock.h"
#include "standins/engine_standin.h"
#include "standins/plain_standin.h"
#include "standins/platform_standin.h"

#include <csignal>
#include <cstdio>
#include <string>

#include <fmt/format.h>
#include <popt.h>

using namespace Portpaddle;

namespace {

struct Options
{
    char *kind = nullptr;
    char *listen = nullptr;
    int slots = 8;
    int tokenMs = 20;
    int prefillRate = 20'000;
    int lagMs = 200;
};

template<typename StandIn>
int runUntilSignal(StandIn &standIn, const SocketAddress &address, const sigset_t &signals)
{
    const Result<SocketAddress> bound = standIn.start(address);
    if (!isOk(bound)) {
        fmt::print(stderr, "{}\n", errorOf(bound).message);
        return 1;
    }
    fmt::print("{}\n", toText(valueOf(bound)));
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    standIn.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    const poptOption table[]
        = { { "kind", 'k', POPT_ARG_STRING, &options.kind, 0, "kind of the stand-in: engine, plain or platform", "KIND" },
            { "listen", 'l', POPT_ARG_STRING, &options.listen, 0, "address to listen on; port 0 takes any free port",
              "HOST:PORT" },
            { "slots", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.slots, 0,
              "requests that an engine runs at the same time", "N" },
            { "token-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.tokenMs, 0, "milliseconds per generated token",
              "MS" },
            { "prefill-rate", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.prefillRate, 0,
              "prompt tokens that an engine reads per second", "N" },
            { "lag-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.lagMs, 0,
              "maximum age of a load report in milliseconds", "MS" },
            POPT_AUTOHELP POPT_TABLEEND };
    poptContext context = poptGetContext("portpaddle-standin", argc, const_cast<const char **>(argv), table, 0);
    const int status = poptGetNextOpt(context);
    const std::string kind = options.kind == nullptr ? "" : options.kind;
    const Result<SocketAddress> address = parseSocketAddress(options.listen == nullptr ? "127.0.0.1:0" : options.listen);
    if (status != -1 || !isOk(address) || (kind != "engine" && kind != "plain" && kind != "platform")) {
        fmt::print(stderr,
                   "portpaddle-standin: --kind must be engine, plain or platform, and --listen an IP address and a port\n");
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const SystemClock clock;
    if (kind == "platform") {
        PlatformStandIn platform(clock);
        return runUntilSignal(platform, valueOf(address), signals);
    }
    if (kind == "plain") {
        PlainStandIn plain;
        return runUntilSignal(plain, valueOf(address), signals);
    }
    EngineStandInConfig config;
    config.slots = static_cast<unsigned>(options.slots);
    config.tokenTime = Millis{ options.tokenMs };
    config.prefillTokensPerSecond = options.prefillRate;
    config.reportLag = Millis{ options.lagMs };
    EngineStandIn engine(config);
    return runUntilSignal(engine, valueOf(address), signals);
}
