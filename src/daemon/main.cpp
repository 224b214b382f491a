// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// portpaddled: the daemon that runs on an entry VM.

#include "platform/platform_daemon.h"
#include "portpaddle/base/digest.h"
#include "portpaddle/base/log.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/daemon/daemon.h"
#include "portpaddle/platform/http_platform.h"
#include "portpaddle/platform/memory_platform.h"
#include "portpaddle/settings/settings_log.h"

#include <csignal>
#include <memory>

#include <fmt/format.h>
#include <popt.h>

using namespace Portpaddle;

namespace {

constexpr int exitUsage = 2;

/// Writes the settings and clients of the configuration to the embedded platform.
Status populateEmbedded(MemoryPlatform &platform, const EmbeddedPlatformConfig &config, const Clock &clock)
{
    for (const auto &[key, organisation] : config.clients) {
        platform.setClient(sha256Hex(key), organisation);
    }
    const Result<SettingsPatch> patch = parseSettings(config.settingsText, "settings_file");
    if (!isOk(patch)) {
        return errorOf(patch);
    }
    ChangeProposal proposal;
    proposal.changeId = "initial";
    proposal.author = "settings_file";
    proposal.from = "embedded platform";
    proposal.reason = "initial settings";
    proposal.patch = valueOf(patch);
    const Result<SettingsChange> accepted = SettingsLog(platform, clock).propose(proposal);
    return isOk(accepted) ? success() : Status(errorOf(accepted));
}

Result<std::unique_ptr<Platform>> makePlatform(const DaemonConfig &config, const Clock &clock)
{
    if (config.platform) {
        return std::unique_ptr<Platform>(std::make_unique<HttpPlatform>(*config.platform));
    }
    auto embedded = std::make_unique<MemoryPlatform>(clock);
    const Status seeded = populateEmbedded(*embedded, *config.embedded, clock);
    if (!isOk(seeded)) {
        return errorOf(seeded);
    }
    return std::unique_ptr<Platform>(std::move(embedded));
}

int fail(const Error &error)
{
    logEvent(LogEvent::DaemonStartFailed, { { "message", error.message } });
    return 1;
}

int serve(const DaemonConfig &config, const sigset_t &signals)
{
    const SystemClock clock;
    SeededRandom random(freshSeed());
    const Result<std::unique_ptr<Platform>> platform = makePlatform(config, clock);
    if (!isOk(platform)) {
        return fail(errorOf(platform));
    }
    Daemon daemon(config, *valueOf(platform), clock, random);
    const Result<DaemonAddresses> started = daemon.start();
    if (!isOk(started)) {
        return fail(errorOf(started));
    }
    int received = 0;
    sigwait(&signals, &received);
    daemon.stopGracefully();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    char *settings = nullptr;
    int onPlatform = 0;
    const poptOption table[]
        = { { "platform", 'p', POPT_ARG_NONE, &onPlatform, 0, "run on the users' platform, which writes the configuration",
              nullptr },
            { "settings", 's', POPT_ARG_STRING, &settings, 0, "configuration of this daemon, JSON with comments", "FILE" },
            POPT_AUTOHELP POPT_TABLEEND };
    poptContext context = poptGetContext("portpaddled", argc, const_cast<const char **>(argv), table, 0);
    if (poptGetNextOpt(context) != -1 || (settings == nullptr) == (onPlatform == 0)) {
        fmt::print(stderr, "portpaddled: exactly one of --settings FILE and --platform is required; see --help\n");
        return exitUsage;
    }
    if (onPlatform != 0) {
        signal(SIGPIPE, SIG_IGN);
        return runPlatformDaemon();
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    const Result<DaemonConfig> config = readDaemonConfig(settings);
    if (!isOk(config)) {
        return fail(errorOf(config));
    }
    setLogSource(valueOf(config).id);
    return serve(valueOf(config), signals);
}
