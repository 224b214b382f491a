// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Complete daemons in the test process, with stand-ins for all other components, on free loopback ports.
#pragma once

#include "portpaddle/base/digest.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/daemon/daemon.h"
#include "portpaddle/platform/http_platform.h"
#include "standins/engine_standin.h"
#include "standins/plain_standin.h"
#include "standins/platform_standin.h"
#include "support/eventually.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <httplib.h>

namespace Portpaddle {

/// Builds settings, upstreams and daemons step by step; a region and its data centre have the same name, such as "north".
class TestSite
{
public:
    TestSite()
    {
        platformAddress_ = valueOf(platform.start());
        platform.platform().setClient(sha256Hex("shop-key"), "shop");
        platform.platform().setClient(sha256Hex("bound-key"), "bound");
        settings["/"] = { { "queue_limit_ms", 60000 } };
        settings["/services/m"] = nlohmann::json::object();
        settings["/services/desk"]
            = { { "kind", "plain" }, { "path_prefix", "/desk/" }, { "at_most_once", { "POST /desk/confirm" } } };
        settings["/organisations/shop"] = nlohmann::json::object();
    }

    ~TestSite()
    {
        for (auto &engine : engines) {
            engine->holdAt(std::nullopt);
        }
        for (auto &plain : plains) {
            plain->setFault(PlainFault::None);
        }
        daemons.clear();
        platform.stop();
    }

    void addRegion(const std::string &region, nlohmann::json links = nlohmann::json::object())
    {
        settings["/regions/" + region] = { { "link_ms", std::move(links) } };
        settings["/regions/" + region + "/data_centres/" + region] = nlohmann::json::object();
    }

    EngineStandIn &addEngine(const std::string &region, const std::string &id, EngineStandInConfig config = {})
    {
        engines.push_back(std::make_unique<EngineStandIn>(config));
        const SocketAddress address = valueOf(engines.back()->start());
        settings[upstreamPath(region, id)]
            = { { "address", toText(address) }, { "services", { "m" } }, { "slots", config.slots } };
        return *engines.back();
    }

    PlainStandIn &addPlain(const std::string &region, const std::string &id)
    {
        plains.push_back(std::make_unique<PlainStandIn>());
        const SocketAddress address = valueOf(plains.back()->start());
        settings[upstreamPath(region, id)] = { { "address", toText(address) }, { "services", { "desk" } }, { "slots", 32 } };
        return *plains.back();
    }

    static std::string upstreamPath(const std::string &region, const std::string &id)
    {
        return "/regions/" + region + "/data_centres/" + region + "/upstreams/" + id;
    }

    /// Proposes the settings built so far.
    void applySettings()
    {
        ChangeProposal proposal;
        proposal.changeId = "site-" + std::to_string(++changes_);
        proposal.author = "test";
        proposal.reason = "test";
        proposal.patch = valueOf(parseSettings(settings.dump(), "site"));
        const Result<SettingsChange> accepted = SettingsLog(platform.platform(), clock).propose(proposal);
        if (!isOk(accepted)) {
            throw std::runtime_error(errorOf(accepted).message);
        }
    }

    Daemon &addDaemon(const std::string &id, const std::string &region)
    {
        DaemonConfig config;
        config.id = id;
        config.place = Place{ region, region };
        config.clusterKey = "cluster-key-for-tests";
        config.operatorKey = "operator-key-for-tests";
        config.seeds = seeds_;
        config.gossipConfig.probePeriod = Millis{ 200 };
        config.gossipConfig.ackTimeout = Millis{ 80 };
        config.gossipConfig.pushInterval = Millis{ 50 };
        config.gossipConfig.bytesPerSecond = 100'000;
        config.settingsWatch = Millis{ 100 };
        // One client per daemon, so that cutting one daemon off does not affect the others.
        platformClients_.push_back(std::make_unique<HttpPlatform>(platformAddress_));
        daemons.push_back(std::make_unique<Daemon>(config, *platformClients_.back(), clock, random));
        const Result<DaemonAddresses> started = daemons.back()->start();
        if (!isOk(started)) {
            throw std::runtime_error(errorOf(started).message);
        }
        addresses.push_back(valueOf(started));
        seeds_.push_back(valueOf(started).gossip);
        return *daemons.back();
    }

    /// Waits until every daemon knows all others, the newest settings and all upstreams' reports.
    bool settle()
    {
        const std::uint64_t newest = valueOf(SettingsLog(platform.platform(), clock).after(0)).size();
        return eventually([&] {
            for (auto &daemon : daemons) {
                const std::shared_ptr<const MemberTable> table = daemon->board().members.read();
                const auto alive = std::count_if(table->members.begin(), table->members.end(),
                                                 [](const MemberView &member) { return member.alive && !member.suspected; });
                const std::shared_ptr<const RoutingSnapshot> snapshot = daemon->board().routing.read();
                const bool observed = std::all_of(snapshot->upstreams.begin(), snapshot->upstreams.end(),
                                                  [](const UpstreamView &view) { return view.observedAt != Millis{ 0 }; });
                const bool complete = static_cast<std::size_t>(alive) == daemons.size() && daemon->settings().version() == newest
                    && observed && snapshot->settings->version() == newest && knowsOtherRegions(*daemon, *snapshot);
                if (!complete) {
                    return false;
                }
            }
            return true;
        });
    }

    httplib::Client caller(std::size_t daemon, const std::string &key = "shop-key") const
    {
        httplib::Client client("127.0.0.1", addresses.at(daemon).entry.port);
        client.set_read_timeout(60);
        client.set_bearer_token_auth(key);
        return client;
    }

    static std::string chatBody(const std::string &prompt, unsigned tokens, bool streamed)
    {
        return nlohmann::json{
            { "model", "m" },
            { "stream", streamed },
            { "max_tokens", tokens },
            { "messages", { { { "role", "user" }, { "content", prompt } } } }
        }.dump();
    }

    /// Returns the text inside the events of a streamed answer.
    static std::string textOf(const std::string &events)
    {
        std::string text;
        const std::string mark = "\"content\":\"";
        for (std::size_t at = events.find(mark); at != std::string::npos; at = events.find(mark, at)) {
            at += mark.size();
            text += events.substr(at, events.find('"', at) - at);
        }
        return text;
    }

    SystemClock clock;
    SeededRandom random{ 11 };
    PlatformStandIn platform{ clock };
    nlohmann::json settings = nlohmann::json::object();
    std::vector<std::unique_ptr<EngineStandIn>> engines;
    std::vector<std::unique_ptr<PlainStandIn>> plains;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<DaemonAddresses> addresses;

private:
    /// A data centre that serves the model must be known to the daemons of the others.
    bool knowsOtherRegions(Daemon &daemon, const RoutingSnapshot &snapshot) const
    {
        std::size_t expected = 0;
        for (const std::string &dataCentre : snapshot.settings->dataCentres()) {
            const auto &upstreams = snapshot.settings->upstreams();
            const bool serves = std::any_of(upstreams.begin(), upstreams.end(), [&](const UpstreamSettings &upstream) {
                return upstream.dataCentre == dataCentre && upstream.services.front().name == "m";
            });
            const bool staffed = std::any_of(daemons.begin(), daemons.end(), [&](const std::unique_ptr<Daemon> &other) {
                return other->config().place.dataCentre == dataCentre;
            });
            expected += serves && staffed && dataCentre != daemon.config().place.dataCentre ? 1 : 0;
        }
        return snapshot.routesOf("m").remote.size() >= expected;
    }

    SocketAddress platformAddress_;
    std::vector<std::unique_ptr<HttpPlatform>> platformClients_;
    std::vector<SocketAddress> seeds_;
    int changes_ = 0;
};

} // namespace Portpaddle
