// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Measures the processor time, memory and traffic that the control tasks of a daemon need. It runs the real controllers over
// in-process links that count bytes, and prints JSON.

#include "portpaddle/base/metrics.h"
#include "portpaddle/control/observer_controller.h"
#include "portpaddle/control/settings_controller.h"
#include "portpaddle/platform/memory_platform.h"
#include "portpaddle/routing/decision.h"
#include "portpaddle/routing/rendezvous.h"
#include "portpaddle/routing/snapshot_builder.h"
#include "portpaddle/settings/settings_log.h"
#include "standins/engine_standin.h"
#include "support/gossip_network.h"

#include <array>
#include <ctime>

#include <malloc.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace Portpaddle;

namespace {

double cpuSeconds(clockid_t clock)
{
    timespec now{};
    clock_gettime(clock, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// The daemons and engines of one data centre.
struct DataCentreSize
{
    unsigned daemons;
    unsigned engines;
};

/// Returns the planned deployment: 350 daemons and 900 engines in 13 data centres, whose sizes differ more than tenfold.
std::vector<DataCentreSize> plannedSizes()
{
    return { { 90, 232 }, { 60, 154 }, { 45, 116 }, { 35, 90 }, { 25, 64 }, { 20, 51 }, { 16, 41 },
             { 14, 36 },  { 12, 31 },  { 10, 26 },  { 9, 23 },  { 8, 20 },  { 6, 16 } };
}

constexpr unsigned serviceCount = 9;
constexpr unsigned plannedOrganisations = 260;

/// Measures gossip at one size of the fleet, with load digests and service summaries announced every second as in operation.
class GossipMeasurement
{
public:
    explicit GossipMeasurement(std::vector<DataCentreSize> sizes) : sizes_(std::move(sizes))
    {
    }

    nlohmann::json run()
    {
        const double heapBefore = heapBytes();
        join();
        const double heapAfter = heapBytes();
        constexpr Millis window{ 20'000 };
        const auto bytesBefore = network_.bytesBySender;
        const std::uint64_t messagesBefore = network_.messages;
        const double cpuBefore = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID);
        double ageSum = 0;
        double ageCount = 0;
        for (Millis passed{ 0 }; passed < window; passed += Millis{ 1'000 }) {
            announceAll();
            network_.pass(Millis{ 1'000 });
            collectDigestAges(ageSum, ageCount);
        }
        const double cpu = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID) - cpuBefore;
        const double seconds = static_cast<double>(window.count()) / 1000;
        const double members = static_cast<double>(network_.nodes().size());
        double largest = 0;
        double sum = 0;
        for (const auto &[id, bytes] : network_.bytesBySender) {
            const double sent = static_cast<double>(bytes - bytesBefore.at(id)) / seconds;
            largest = std::max(largest, sent);
            sum += sent;
        }
        nlohmann::json json = { { "members", members },
                                { "largest_data_centre", sizes_.front().daemons },
                                { "sent_bytes_per_s", sum / members },
                                { "sent_bytes_per_s_highest", largest },
                                { "messages_per_s", static_cast<double>(network_.messages - messagesBefore) / seconds / members },
                                { "cpu_ms_per_s", 1000 * cpu / seconds / members },
                                { "heap_bytes", (heapAfter - heapBefore) / members },
                                { "digest_age_ms", ageCount > 0 ? ageSum / ageCount : 0 } };
        json["spread_periods"] = measureSpread();
        json["detect_periods"] = measureDetection();
        return json;
    }

private:
    static std::string nameOf(unsigned dataCentre, unsigned index)
    {
        return fmt::format("vm-{:02}-{:03}", dataCentre, index);
    }

    void join()
    {
        for (unsigned dataCentre = 0; dataCentre < sizes_.size(); ++dataCentre) {
            for (unsigned index = 0; index < sizes_[dataCentre].daemons; ++index) {
                network_.add(nameOf(dataCentre, index), fmt::format("dc-{:02}", dataCentre));
            }
        }
        constexpr Millis checkInterval{ 1'000 };
        while (!network_.allSeeAllAlive()) {
            network_.pass(checkInterval);
        }
        network_.pass(Millis{ 30'000 });
    }

    void announceAll()
    {
        ++sequence_;
        for (unsigned dataCentre = 0; dataCentre < sizes_.size(); ++dataCentre) {
            const DataCentreSize &size = sizes_[dataCentre];
            for (unsigned engine = 0; engine < size.engines; ++engine) {
                UpstreamReport report;
                report.upstream = fmt::format("engine-{:02}-{:03}", dataCentre, engine);
                report.sequence = sequence_;
                report.observedAt = network_.now;
                report.load.running = engine % 8;
                network_.node(nameOf(dataCentre, engine % size.daemons)).announceUpstream(report);
            }
            std::vector<SummaryEntry> summaries;
            for (unsigned service = 0; service < serviceCount; ++service) {
                SummaryEntry entry;
                entry.dataCentre = fmt::format("dc-{:02}", dataCentre);
                entry.service = fmt::format("model-{}", service);
                entry.capacity = size.engines * 8;
                entry.versions = { "1" };
                summaries.push_back(entry);
            }
            for (unsigned index = 0; index < size.daemons; ++index) {
                network_.node(nameOf(dataCentre, index)).announceSummaries(summaries, network_.now);
            }
        }
    }

    /// Adds the ages of the load digests that have arrived at a daemon of the largest data centre.
    void collectDigestAges(double &sum, double &count)
    {
        for (const UpstreamDigest &report : network_.node(nameOf(0, 0)).takeUpdates().upstreams) {
            sum += static_cast<double>((network_.now - report.observedAt).count());
            count += 1;
        }
    }

    double toProbePeriods(Millis time) const
    {
        return static_cast<double>(time.count()) / static_cast<double>(network_.config.probePeriod.count());
    }

    /// Returns the probe periods until every daemon knows that one daemon leaves.
    double measureSpread()
    {
        const Millis begin = network_.now;
        network_.node(nameOf(0, 1)).leave();
        network_.passUntil(Millis{ 120'000 }, [&] { return network_.allSee(nameOf(0, 1), MemberState::Leaving); });
        return toProbePeriods(network_.now - begin);
    }

    /// Returns the probe periods until another daemon of the data centre no longer takes a crashed daemon for alive.
    double measureDetection()
    {
        const Millis begin = network_.now;
        network_.remove(nameOf(0, 2));
        network_.passUntil(Millis{ 120'000 }, [&] {
            return network_.node(nameOf(0, 0)).members().find(nameOf(0, 2))->update.state != MemberState::Alive;
        });
        return toProbePeriods(network_.now - begin);
    }

    std::vector<DataCentreSize> sizes_;
    GossipNetwork network_;
    std::uint64_t sequence_ = 0;
};

nlohmann::json measureGossip()
{
    nlohmann::json rows = nlohmann::json::array();
    rows.push_back(GossipMeasurement({ { 3, 4 }, { 3, 4 }, { 2, 4 } }).run());
    rows.push_back(GossipMeasurement({ { 30, 77 } }).run());
    rows.push_back(GossipMeasurement({ { 90, 232 } }).run());
    rows.push_back(GossipMeasurement(plannedSizes()).run());
    return rows;
}

SettingsTree makeSettingsTree(unsigned organisations, unsigned services, const std::vector<DataCentreSize> &sizes)
{
    nlohmann::json json = { { "/", { { "latency_weight", 2 } } } };
    for (unsigned service = 0; service < services; ++service) {
        json[fmt::format("/services/model-{}", service)] = { { "kind", "model" }, { "queue_limit_ms", 2000 } };
    }
    for (unsigned index = 0; index < sizes.size(); ++index) {
        const std::string region = fmt::format("/regions/region-{}", index / 2);
        const std::string dataCentre = fmt::format("{}/data_centres/dc-{:02}", region, index);
        json[region] = nlohmann::json::object();
        json[dataCentre] = nlohmann::json::object();
        for (unsigned engine = 0; engine < sizes[index].engines; ++engine) {
            json[fmt::format("{}/upstreams/engine-{:02}-{:03}", dataCentre, index, engine)] = {
                { "address", "127.0.0.1:8000" }, { "services", { fmt::format("model-{}@1", engine % services) } }, { "slots", 64 }
            };
        }
    }
    for (unsigned organisation = 0; organisation < organisations; ++organisation) {
        json[fmt::format("/organisations/organisation-{:03}", organisation)]
            = { { "max_requests_per_second", 50 }, { "residency", { "region-0" } } };
    }
    return SettingsTree().with(std::get<SettingsPatch>(parseSettings(json.dump(), "slopes")), 1);
}

nlohmann::json measureSettings()
{
    nlohmann::json rows = nlohmann::json::array();
    for (const unsigned organisations : { 16U, 65U, 130U, plannedOrganisations }) {
        const SettingsTree tree = makeSettingsTree(organisations, serviceCount, plannedSizes());
        constexpr int rounds = 10;
        const double heapBefore = heapBytes();
        const double cpuBefore = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID);
        std::shared_ptr<const CompiledSettings> compiled;
        for (int round = 0; round < rounds; ++round) {
            compiled = CompiledSettings::compile(tree, Place{ "region-0", "dc-00" });
        }
        const double cpu = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID) - cpuBefore;
        SettingsChange change;
        change.version = 2;
        change.changeId = "0123456789abcdef";
        change.author = change.from = change.reason = "sixteen-letters-";
        change.patch = change.before = { PatchEntry{ "/organisations/organisation-001", "max_requests_per_second", 60 } };
        rows.push_back({ { "organisations", organisations },
                         { "apply_cpu_ms", 1000 * cpu / rounds },
                         { "heap_bytes", heapBytes() - heapBefore },
                         { "snapshot_bytes", tree.toSnapshot().dump().size() },
                         { "change_bytes", changeToText(change).size() } });
    }
    return rows;
}

std::shared_ptr<RoutingSnapshot> makeSnapshot(unsigned engines)
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->settings = CompiledSettings::compile(makeSettingsTree(4, 1, { { 3, 0 } }), Place{ "region-0", "dc-00" });
    for (unsigned index = 0; index < engines; ++index) {
        UpstreamView view;
        view.id = fmt::format("engine-{}", index);
        view.idHash = stableHash(view.id);
        view.slots = 64;
        view.load.running = index * 7 % 60;
        snapshot->routes["model-0"].local.push_back(ServiceCandidate{ index, "1" });
        snapshot->upstreams.push_back(view);
    }
    return snapshot;
}

nlohmann::json measureDecision()
{
    nlohmann::json rows = nlohmann::json::array();
    for (const unsigned engines : { 12U, 100U, 300U }) {
        const std::shared_ptr<RoutingSnapshot> snapshot = makeSnapshot(engines);
        SeededRandom random(1);
        RequestFacts facts;
        facts.organisation = "organisation-001";
        facts.service = "model-0";
        facts.promptTokens = 500;
        const std::vector<std::uint32_t> dispatches(engines, 1);
        constexpr int rounds = 20'000;
        const double before = cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
        for (int round = 0; round < rounds; ++round) {
            facts.prefixHash = static_cast<std::uint64_t>(round);
            decide(snapshot, facts, OwnDispatches{ dispatches, {} }, Millis{ 1'000 }, random);
        }
        rows.push_back({ { "engines", engines }, { "cpu_us", 1e6 * (cpuSeconds(CLOCK_THREAD_CPUTIME_ID) - before) / rounds } });
    }
    return rows;
}

/// Forwards one connection to a server and counts the bytes in both directions.
class CountingRelay
{
public:
    explicit CountingRelay(const SocketAddress &server) : server_(server), listening_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in native = toNative(SocketAddress{});
        bind(listening_, reinterpret_cast<const sockaddr *>(&native), sizeof native);
        listen(listening_, 1);
        socklen_t length = sizeof native;
        getsockname(listening_, reinterpret_cast<sockaddr *>(&native), &length);
        address_ = fromNative(native);
        thread_ = Thread("relay", [this] { run(); });
    }

    ~CountingRelay()
    {
        thread_.join();
        close(listening_);
    }

    const SocketAddress &address() const
    {
        return address_;
    }

    /// Waits until the connection has ended and returns the bytes of both directions.
    std::size_t bytes()
    {
        thread_.join();
        return bytes_;
    }

private:
    void run()
    {
        const int client = accept(listening_, nullptr, nullptr);
        const int server = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in native = toNative(server_);
        connect(server, reinterpret_cast<const sockaddr *>(&native), sizeof native);
        std::array<pollfd, 2> ends{ { { client, POLLIN, 0 }, { server, POLLIN, 0 } } };
        std::array<char, 4096> buffer{};
        for (bool open = true; open;) {
            poll(ends.data(), ends.size(), -1);
            for (std::size_t end = 0; end < ends.size() && open; ++end) {
                if (ends[end].revents != 0) {
                    const ssize_t size = recv(ends[end].fd, buffer.data(), buffer.size(), 0);
                    open
                        = size > 0 && send(ends[1 - end].fd, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) == size;
                    bytes_ += size > 0 ? static_cast<std::size_t>(size) : 0;
                }
            }
        }
        close(client);
        close(server);
    }

    const SocketAddress server_;
    const int listening_;
    SocketAddress address_;
    std::size_t bytes_ = 0;
    Thread thread_;
};

nlohmann::json measureObserver()
{
    const SystemClock clock;
    EngineStandIn engine;
    const SocketAddress address = std::get<SocketAddress>(engine.start());
    CountingRelay relay(address);
    fetchLoad("e", toText(relay.address()), 1, clock);
    const std::size_t bytesPerPoll = relay.bytes();
    constexpr int rounds = 300;
    const double before = cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
    for (int round = 0; round < rounds; ++round) {
        fetchLoad("e", toText(address), static_cast<std::uint64_t>(round), clock);
    }
    const double cpu = cpuSeconds(CLOCK_THREAD_CPUTIME_ID) - before;
    return { { "cpu_us_per_poll", 1e6 * cpu / rounds }, { "bytes_per_poll", bytesPerPoll } };
}

nlohmann::json measureSnapshots()
{
    nlohmann::json rows = nlohmann::json::array();
    for (const unsigned engines : { 16U, 100U, 232U }) {
        const SystemClock clock;
        Blackboard board;
        RemoteDispatches remotes;
        SnapshotBuilder builder(board, clock, remotes);
        board.settings.publish(
            CompiledSettings::compile(makeSettingsTree(16, serviceCount, { { 90, engines } }), Place{ "region-0", "dc-00" }));
        constexpr int rounds = 200;
        const double heapBefore = heapBytes();
        const double before = cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
        for (int round = 0; round < rounds; ++round) {
            builder.rebuild();
        }
        rows.push_back({ { "engines", engines },
                         { "cpu_us", 1e6 * (cpuSeconds(CLOCK_THREAD_CPUTIME_ID) - before) / rounds },
                         { "heap_bytes", heapBytes() - heapBefore } });
    }
    return rows;
}

nlohmann::json measureLimiter()
{
    nlohmann::json rows = nlohmann::json::array();
    for (const unsigned organisations : { 16U, 65U, plannedOrganisations }) {
        Limiter limiter;
        RequestPolicy policy;
        policy.maxRequestsPerSecond = 50;
        std::vector<OthersDemand> others;
        const double heapBefore = heapBytes();
        for (unsigned index = 0; index < organisations; ++index) {
            const std::string name = fmt::format("organisation-{:03}", index);
            limiter.admit(name, policy, 0, Millis{ 1'000 });
            others.push_back(OthersDemand{ name, 3 });
        }
        constexpr int rounds = 200;
        const double heapAfter = heapBytes();
        const double before = cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
        for (int round = 0; round < rounds; ++round) {
            limiter.demand(Millis{ 1'000 + round * 1'000 });
            limiter.update(others, 350, false, Millis{ 1'000 + round * 1'000 });
        }
        rows.push_back({ { "organisations", organisations },
                         { "cpu_us", 1e6 * (cpuSeconds(CLOCK_THREAD_CPUTIME_ID) - before) / rounds },
                         { "heap_bytes", heapAfter - heapBefore } });
    }
    return rows;
}

nlohmann::json measureTraces()
{
    const std::shared_ptr<RoutingSnapshot> snapshot = makeSnapshot(232);
    SeededRandom random(1);
    RequestFacts facts;
    facts.organisation = "organisation-001";
    facts.service = "model-0";
    const double before = heapBytes();
    std::vector<Decision> decisions;
    constexpr int rounds = 500;
    for (int round = 0; round < rounds; ++round) {
        decisions.push_back(decide(snapshot, facts, OwnDispatches{}, Millis{ 1'000 }, random));
    }
    return { { "engines", 232 }, { "heap_bytes_per_decision", (heapBytes() - before) / rounds }, { "kept", 2048 } };
}

} // namespace

int main()
{
    const nlohmann::ordered_json result
        = { { "gossip", measureGossip() },     { "settings", measureSettings() },  { "decision", measureDecision() },
            { "observer", measureObserver() }, { "snapshot", measureSnapshots() }, { "limiter", measureLimiter() },
            { "traces", measureTraces() } };
    fmt::print("{}\n", result.dump(2));
    return 0;
}
