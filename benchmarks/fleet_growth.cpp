// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Measures what one daemon spends on knowing the fleet, for fleets of several sizes with ten upstreams for each daemon in three
// regions. Runs the product's classes without a network and prints one JSON object for each size.

#include "platform/fleet_listener.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/base/system_clock.h"
#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/fleet/role_ranking.h"
#include "portpaddle/gateway/gateway.h"
#include "portpaddle/net/spawn.h"
#include "portpaddle/placement/load_digest.h"
#include "portpaddle/store_following/daemon_registration.h"
#include "portpaddle/store_following/fleet_registry.h"
#include "portpaddle/store_following/state_exchange.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <ctime>
#include <map>
#include <memory>

#include <malloc.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr unsigned upstreamsPerDaemon = 10;
const std::array<std::string, 3> regionNames{ "north", "south", "west" };
const std::string ownDaemon = "d0";
// Share of the upstreams that have a request in progress, as in a fleet with much room.
constexpr double busyShare = 0.1;

double cpuMs()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

double heapMb()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / (1024.0 * 1024.0);
}

std::string upstreamText(unsigned index, unsigned revision)
{
    const nlohmann::json json = { { "service", "pool" },
                                  { "address", fmt::format("127.0.0.{}:1", 1 + index % 200) },
                                  { "zone", regionNames.at(index % regionNames.size()) + "-1" },
                                  { "version", "1.0" },
                                  { "slots", 24 },
                                  { "state", "ready" },
                                  { "coldRemainingMs", 0 },
                                  { "sequence", revision },
                                  { "born", 1'796'000'000'000LL + index } };
    return json.dump();
}

KeyValue upstreamItem(unsigned index, unsigned revision)
{
    return { fmt::format("servers/engine-{:08x}", index), upstreamText(index, revision), revision };
}

std::vector<KeyValue> storeItems(unsigned daemons)
{
    std::vector<KeyValue> items;
    for (unsigned index = 0; index < daemons; ++index) {
        DaemonRecord record;
        record.id = fmt::format("d{}", index);
        record.region = regionNames.at(index % regionNames.size());
        record.dataCentre = record.region + "-1";
        record.entryAddress = "10.0.0.1:8144";
        record.linkAddress = fmt::format("10.{}.{}.1:7660", index / 200, index % 200);
        record.cpuCores = index % 16 == 0 ? 0.5 : 0.12;
        items.push_back({ daemonRecordPrefix + record.id, encodeDaemonRecord(record), 1 });
    }
    for (unsigned index = 0; index < daemons * upstreamsPerDaemon; ++index) {
        items.push_back(upstreamItem(index, 1));
    }
    return items;
}

std::map<std::string, std::string> regionOfDataCentre()
{
    std::map<std::string, std::string> result;
    for (const std::string &region : regionNames) {
        result[region + "-1"] = region;
    }
    return result;
}

std::shared_ptr<const ServiceMap> configuration()
{
    auto map = std::make_shared<ServiceMap>();
    map->version = 1;
    Route route;
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/";
    route.kind = RouteKind::Idempotent;
    // Ends before the daemon has tried all of a subset.
    route.timeout = 20ms;
    route.targetLatency = 1'000ms;
    route.attempts = 2;
    route.services = { { "pool", 1 } };
    map->routes.push_back(route);
    ServiceSpec spec;
    spec.name = "pool";
    spec.connectionLimit = 1'900;
    spec.memoryTokens = 590'928;
    map->services.emplace(spec.name, spec);
    map->index();
    return map;
}

/// The connection of a caller that ignores its answer.
class NullConnection : public CallerConnection
{
public:
    const std::string &requestId() const override
    {
        return requestId_;
    }
    Task<bool> sendContinue() override
    {
        co_return true;
    }
    Task<bool> sendWhole(WholeAnswer) override
    {
        co_return true;
    }
    Task<bool> sendHead(unsigned, boost::beast::http::fields) override
    {
        co_return true;
    }
    Task<bool> sendChunk(std::string_view) override
    {
        co_return true;
    }
    Task<bool> sendEnd() override
    {
        co_return true;
    }
    Task<bool> sendEndWithTrailer(const char *, const std::string &) override
    {
        co_return true;
    }
    void abandon() override
    {
    }

private:
    std::string requestId_;
};

/// One daemon with its registry and listener.
class DaemonUnderTest
{
public:
    DaemonUnderTest()
    {
        gateway.viewChanged();
    }

    /// Reads the view if a newer one was published.
    void catchUp()
    {
        if (published) {
            published = false;
            gateway.viewChanged();
        }
    }

    /// Returns the processor time of one choice with an attempt that no upstream accepts, in milliseconds.
    double choiceMs()
    {
        HttpRequest message;
        message.method(boost::beast::http::verb::get);
        message.target("/x");
        message.set(boost::beast::http::field::host, "h");
        message.set("X-Request-Id", "a");
        const double begin = cpuMs();
        NullConnection connection;
        CallerWriter writer(connection);
        std::function<void()> abandoned;
        spawnTask(loop.get_executor(), "request", [&]() -> Task<void> {
            co_await gateway.serve(decodeRequest(std::move(message), gateway.names(), BootClock::now()), writer, abandoned);
        });
        loop.restart();
        loop.run();
        return (cpuMs() - begin) / static_cast<double>(metrics.value(Counter::RepeatsUnseen) + 1);
    }

    boost::asio::io_context loop{ 1 };
    RcuCell<FleetView> view;
    SeededRandom random{ 7 };
    Metrics metrics;
    Gateway gateway{
        loop.get_executor(), { ownDaemon, regionNames.front(), regionNames.front() + "-1" }, HeaderNames{}, view, random, metrics
    };
    bool published = false;
    FleetRegistry registry{ view, [this] { published = true; } };
    StoreReplica replica;
    FleetListener listener{ registry, regionOfDataCentre() };
};

/// Bytes a second that the daemons of one region send and receive as load digests.
struct DigestTraffic
{
    double busiestSentKb = 0;
    double middleReceivedKb = 0;
    double busiestMessages = 0;
};

DigestTraffic measureDigests(const std::shared_ptr<const FleetView> &view)
{
    struct Daemon
    {
        UpstreamLoads loads;
        RegionTable regions;
        std::unique_ptr<OrganisationLimits> limits;
        std::unique_ptr<LoadAggregation> aggregation;
        double sent = 0;
        double received = 0;
        double messages = 0;
    };
    SteadyTime now{ 1h };
    std::map<std::string, std::unique_ptr<Daemon>> byAddress;
    std::vector<Daemon *> daemons;
    std::vector<std::string> ids;
    for (const DaemonRecord &record : view->daemons) {
        if (record.region != regionNames.front()) {
            continue;
        }
        auto daemon = std::make_unique<Daemon>();
        daemon->limits = std::make_unique<OrganisationLimits>(
            record.id, record.region, [](std::uint32_t, SteadyTime) { return false; },
            [](const std::string &, SteadyTime) { return false; });
        daemon->aggregation
            = std::make_unique<LoadAggregation>(record.id, record.region, daemon->loads, daemon->regions, *daemon->limits);
        daemon->regions.setOwnRegion(record.region);
        daemon->regions.setDaemons(*view, now);
        daemon->loads.keepOnly(*view);
        daemon->aggregation->setView(view);
        daemons.push_back(daemon.get());
        ids.push_back(record.id);
        byAddress.emplace(record.linkAddress, std::move(daemon));
    }
    SeededRandom random(3);
    ServiceSpec spec;
    spec.memoryTokens = 590'928;
    for (const auto &[id, record] : view->upstreams) {
        if (record.region == regionNames.front() && random.fraction() < busyShare) {
            (void)daemons[random.below(daemons.size())]->loads.sent(record, spec, PromptFacts{}, Placement{}, now);
        }
    }
    constexpr std::size_t turns = 24;
    for (std::size_t turn = 0; turn < turns; ++turn, now += digestInterval) {
        for (std::size_t index = 0; index < daemons.size(); ++index) {
            Wire::LoadDigestT header;
            header.daemon = ids[index];
            header.region = regionNames.front();
            header.sequence = turn + 1;
            for (const OutgoingDigest &outgoing : daemons[index]->aggregation->due(
                     turn, header, [](Wire::LoadDigestT &) {}, now)) {
                const auto bytes = static_cast<double>(encodeDigest(outgoing.digest).size());
                for (const std::string &to : outgoing.to) {
                    daemons[index]->sent += bytes;
                    ++daemons[index]->messages;
                    const auto receiver = byAddress.find(to);
                    if (receiver == byAddress.end()) {
                        continue;
                    }
                    receiver->second->received += bytes;
                    ++receiver->second->messages;
                    receiver->second->regions.applyDigest(outgoing.digest, now);
                    receiver->second->aggregation->take(outgoing.digest, now);
                }
            }
        }
    }
    const double seconds = std::chrono::duration<double>(digestInterval * static_cast<int>(turns)).count();
    DigestTraffic traffic;
    std::vector<double> received;
    for (const Daemon *daemon : daemons) {
        traffic.busiestSentKb = std::max(traffic.busiestSentKb, daemon->sent / seconds / 1'024);
        traffic.busiestMessages = std::max(traffic.busiestMessages, daemon->messages / seconds);
        received.push_back(daemon->received / seconds / 1'024);
    }
    std::nth_element(received.begin(), received.begin() + static_cast<std::ptrdiff_t>(received.size() / 2), received.end());
    traffic.middleReceivedKb = received[received.size() / 2];
    return traffic;
}

nlohmann::json measure(unsigned daemonCount)
{
    const std::vector<KeyValue> items = storeItems(daemonCount);
    const double heapBefore = heapMb();
    DaemonUnderTest daemon;
    daemon.registry.onStoreAvailable(BootClock::now());
    double begin = cpuMs();
    daemon.replica.replace(items, 1);
    daemon.listener.listed(daemon.replica.items());
    daemon.registry.takeConfiguration(configuration());
    daemon.catchUp();
    const double listingMs = cpuMs() - begin;
    const double heap = heapMb() - heapBefore;

    constexpr unsigned changes = 50;
    begin = cpuMs();
    for (unsigned index = 0; index < changes; ++index) {
        const std::uint64_t revision = index + 2;
        daemon.listener.changed(
            daemon.replica.apply({ { upstreamItem(index * regionNames.size(), revision), false } }, revision));
        daemon.catchUp();
    }
    const double changeMs = (cpuMs() - begin) / changes;

    constexpr unsigned ticks = 50;
    begin = cpuMs();
    for (unsigned index = 0; index < ticks; ++index) {
        daemon.gateway.tick();
        (void)daemon.gateway.dueFleetDigests(index);
    }
    const double tickMs = (cpuMs() - begin) / ticks;

    FeedUpdate update;
    const std::string state = encodeState(ownDaemon, daemon.replica.items(), update);
    // Before the digests of a whole region, whose freed memory would be tidied up within the time of the choice.
    const double choiceMs = daemon.choiceMs();
    const DigestTraffic traffic = measureDigests(daemon.gateway.view());
    return { { "daemons", daemonCount },
             { "upstreams", daemonCount * upstreamsPerDaemon },
             { "listing_ms", listingMs },
             { "memory_mb", heap },
             { "state_kb", static_cast<double>(state.size()) / 1'024 },
             { "change_ms", changeMs },
             { "tick_ms", tickMs },
             { "choice_ms", choiceMs },
             { "aggregator_sent_kb_per_s", traffic.busiestSentKb },
             { "aggregator_messages_per_s", traffic.busiestMessages },
             { "received_kb_per_s", traffic.middleReceivedKb } };
}

} // namespace

int main()
{
    for (const unsigned daemons : { 100U, 300U, 1'000U, 2'000U }) {
        fmt::print("{}\n", measure(daemons).dump());
        std::fflush(stdout);
    }
    return 0;
}
