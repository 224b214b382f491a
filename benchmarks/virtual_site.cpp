// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "virtual_site.h"

#include "portpaddle/routing/rendezvous.h"
#include "portpaddle/settings/tree.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

constexpr Millis retryInterval{ 50 };
constexpr Millis epoch{ 1'000'000 };
constexpr std::size_t peakPhases = 3;

/// A request, the times of its progress in milliseconds, and the region that served it.
struct VirtualRequest
{
    std::size_t id = 0;
    std::size_t region = 0;
    std::size_t daemon = 0;
    bool deferrable = false;
    unsigned promptTokens = 0;
    unsigned answerTokens = 0;
    std::uint64_t prefix = 0;
    double arrivedAt = 0;
    double firstTokenAt = -1;
    double finishedAt = -1;
    std::size_t servedIn = 0;
    std::vector<std::string> visited;
};

using RequestPointer = std::shared_ptr<VirtualRequest>;

/// Runs actions in the order of their virtual time, and in the order of their scheduling at the same time.
class EventQueue
{
public:
    void at(double time, std::function<void()> action)
    {
        events_.push(Event{ time, next_++, std::move(action) });
    }

    void run(double end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            Event event = events_.top();
            events_.pop();
            now = event.time;
            event.action();
        }
    }

    double now = 0;

private:
    struct Event
    {
        double time;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    std::priority_queue<Event> events_;
    std::uint64_t next_ = 0;
};

/// An engine with a number of slots and a prefix cache. It reads one prompt at a time and prefers interactive requests.
class VirtualEngine
{
public:
    VirtualEngine(const SiteConfig &config, EventQueue &events) : config_(config), events_(events)
    {
    }

    void submit(const RequestPointer &request, double linkMs, std::function<void()> done)
    {
        waiting_[request->deferrable ? 1 : 0].push_back(Job{ request, linkMs, std::move(done), -1 });
        startNext();
    }

    UpstreamLoad load() const
    {
        return UpstreamLoad{ running_, static_cast<unsigned>(waiting_[0].size()), static_cast<unsigned>(waiting_[1].size()) };
    }

    double prefillMs = 0;
    std::size_t hits = 0;

private:
    struct Job
    {
        RequestPointer request;
        double linkMs;
        std::function<void()> done;
        /// Tokens of the prompt that remain to be read; negative before the first chunk, when the number is unknown.
        double uncached = -1;
    };

    void startNext()
    {
        while (running_ < config_.slots) {
            std::list<Job> &queue = waiting_[0].empty() ? waiting_[1] : waiting_[0];
            if (queue.empty()) {
                return;
            }
            ++running_;
            prefills_[queue.front().request->deferrable ? 1 : 0].push_back(std::move(queue.front()));
            queue.pop_front();
            prefillNext();
        }
    }

    void prefillNext()
    {
        std::list<Job> &queue = prefills_[0].empty() ? prefills_[1] : prefills_[0];
        if (prefilling_ || queue.empty()) {
            return;
        }
        prefilling_ = true;
        Job job = std::move(queue.front());
        queue.pop_front();
        if (job.uncached < 0) {
            job.uncached = uncachedTokens(*job.request);
        }
        const double chunk = config_.prefillChunkTokens > 0 ? std::min(job.uncached, config_.prefillChunkTokens) : job.uncached;
        const double time = 1000 * chunk / config_.prefillTokensPerSecond;
        prefillMs += time;
        job.uncached -= chunk;
        events_.at(events_.now + time, [this, job = std::move(job)]() mutable {
            prefilling_ = false;
            if (job.uncached > 0) {
                prefills_[job.request->deferrable ? 1 : 0].push_front(std::move(job));
                return prefillNext();
            }
            job.request->firstTokenAt = events_.now + job.linkMs;
            const double slowDown = 1 + 0.5 * running_ / config_.slots;
            const double decode = job.request->answerTokens * config_.tokenMs * slowDown;
            events_.at(events_.now + decode, [this, job] { finish(job); });
            prefillNext();
        });
    }

    void finish(const Job &job)
    {
        --running_;
        job.request->finishedAt = events_.now + job.linkMs;
        job.done();
        startNext();
    }

    /// Returns the tokens to read after a look-up in the prefix cache, which evicts the least recently used prefix.
    double uncachedTokens(const VirtualRequest &request)
    {
        const double all = request.promptTokens;
        if (!request.deferrable) {
            return all;
        }
        const auto found = std::find(cache_.begin(), cache_.end(), request.prefix);
        const bool cached = found != cache_.end();
        if (cached) {
            cache_.erase(found);
            ++hits;
        }
        cache_.push_front(request.prefix);
        while (static_cast<double>(cache_.size()) * config_.historyTokens > config_.cacheTokens) {
            cache_.pop_back();
        }
        return cached ? all * 0.1 : all;
    }

    const SiteConfig &config_;
    EventQueue &events_;
    std::list<Job> waiting_[2];
    std::list<Job> prefills_[2];
    std::list<std::uint64_t> cache_;
    unsigned running_ = 0;
    bool prefilling_ = false;
};

/// The deployment: engines, daemons with their delayed view of the engines, and the requests between them.
class VirtualSite
{
public:
    VirtualSite(const SiteConfig &config, Policy policy, Scope scope)
        : config_(config), policy_(policy), scope_(scope), random_(config.seed)
    {
        buildSettings();
        buildDaemons();
    }

    SiteResult run()
    {
        scheduleArrivals();
        scheduleReports();
        const double end = static_cast<double>(config_.duration.count());
        events_.run(end * 3);
        return summarise();
    }

private:
    struct Engine
    {
        std::size_t region;
        std::unique_ptr<VirtualEngine> engine;
        bool leaving = false;
    };

    struct Daemon
    {
        std::size_t region;
        std::shared_ptr<RoutingSnapshot> snapshot = std::make_shared<RoutingSnapshot>();
        std::vector<DispatchCounter> local;
        std::vector<DispatchCounter> remote;
        std::list<RequestPointer> waiting;
        std::size_t nextRoundRobin = 0;
    };

    static std::string regionName(std::size_t region)
    {
        return fmt::format("r{}", region);
    }

    void buildSettings()
    {
        std::string text
            = fmt::format(R"({{"/": {{{}, "token_ms": {}, "prefill_tokens_per_second": {}, "queue_limit_ms": 10000}},)",
                          config_.weights, config_.tokenMs, config_.prefillTokensPerSecond);
        text += R"("/services/short": {}, "/services/long": {"class": "deferrable"},)";
        for (std::size_t region = 0; region < config_.enginesPerRegion.size(); ++region) {
            nlohmann::json links = nlohmann::json::object();
            for (std::size_t other = 0; other < config_.enginesPerRegion.size(); ++other) {
                if (other != region) {
                    links[regionName(other)] = config_.linkMs;
                }
            }
            text += fmt::format(R"("/regions/{0}": {{"link_ms": {1}}}, "/regions/{0}/data_centres/{0}": {{}},)",
                                regionName(region), links.dump());
            for (unsigned index = 0; index < config_.enginesPerRegion[region]; ++index) {
                engines_.push_back(Engine{ region, std::make_unique<VirtualEngine>(config_, events_) });
            }
        }
        text += R"("/organisations/o": {}})";
        tree_ = SettingsTree().with(std::get<SettingsPatch>(parseSettings(text, "virtual")), 1);
    }

    void buildDaemons()
    {
        for (std::size_t region = 0; region < config_.daemonsPerRegion.size(); ++region) {
            for (unsigned index = 0; index < config_.daemonsPerRegion[region]; ++index) {
                auto daemon = std::make_unique<Daemon>();
                daemon->region = region;
                daemon->snapshot->settings = CompiledSettings::compile(tree_, Place{ regionName(region), regionName(region) });
                daemon->snapshot->localDaemons = config_.daemonsPerRegion[region];
                daemon->local = std::vector<DispatchCounter>(config_.enginesPerRegion[region]);
                daemon->remote = std::vector<DispatchCounter>(config_.enginesPerRegion.size());
                fillSnapshot(*daemon);
                daemons_.push_back(std::move(daemon));
            }
        }
    }

    void fillSnapshot(Daemon &daemon)
    {
        RoutingSnapshot &snapshot = *daemon.snapshot;
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            if (engines_[index].region != daemon.region) {
                continue;
            }
            UpstreamView view;
            view.id = fmt::format("e{}", index);
            view.idHash = stableHash(view.id);
            view.slots = config_.slots;
            view.observedAt = epoch;
            const auto position = static_cast<std::uint32_t>(snapshot.upstreams.size());
            for (const char *service : { "short", "long" }) {
                snapshot.routes[service].local.push_back(ServiceCandidate{ position, "" });
            }
            snapshot.upstreams.push_back(view);
            engineOf_[&daemon].push_back(index);
        }
        for (std::size_t region = 0; region < config_.enginesPerRegion.size(); ++region) {
            if (region == daemon.region) {
                continue;
            }
            RemoteView view;
            view.dataCentre = view.region = regionName(region);
            view.capacity = config_.enginesPerRegion[region] * config_.slots;
            view.versions = { "" };
            view.observedAt = epoch;
            view.reachable = true;
            view.daemons = config_.daemonsPerRegion[region];
            view.slot = static_cast<std::uint32_t>(region);
            for (const char *service : { "short", "long" }) {
                snapshot.routes[service].remote.push_back(view);
            }
        }
    }

    /// Returns the arrivals of a region per millisecond. Its peak lasts one third of the run; regions peak one after the other.
    double rateOf(std::size_t region, double time) const
    {
        const double third = static_cast<double>(config_.duration.count()) / peakPhases;
        const bool peak = static_cast<std::size_t>(time / third) % peakPhases == region % peakPhases;
        return config_.requestsPerSecond * (peak ? config_.peakFactor : 1) / 1000;
    }

    void scheduleArrivals()
    {
        for (std::size_t region = 0; region < config_.enginesPerRegion.size(); ++region) {
            std::mt19937_64 engine(config_.seed * 100 + region);
            const double highestRate = config_.requestsPerSecond * config_.peakFactor / 1000;
            std::exponential_distribution<double> gap(highestRate);
            std::uniform_real_distribution<double> uniform(0, 1);
            for (double time = gap(engine); time < static_cast<double>(config_.duration.count()); time += gap(engine)) {
                const double draws[] = { uniform(engine), uniform(engine), uniform(engine), uniform(engine), uniform(engine) };
                if (draws[0] > rateOf(region, time) / highestRate) {
                    continue;
                }
                auto request = std::make_shared<VirtualRequest>();
                request->id = requests_.size();
                request->region = region;
                request->daemon = daemonIn(region, draws[1]);
                request->deferrable = draws[2] < config_.deferrableFraction;
                const auto history = static_cast<std::uint64_t>(draws[3] * config_.historiesPerRegion);
                request->prefix = stableHash(fmt::format("{}/{}", region, request->deferrable ? history : request->id + 1000));
                request->promptTokens = request->deferrable ? static_cast<unsigned>(config_.historyTokens * (0.5 + draws[4]))
                                                            : config_.shortPromptTokens;
                request->answerTokens = request->deferrable ? config_.longAnswerTokens : config_.shortAnswerTokens;
                request->arrivedAt = time;
                requests_.push_back(request);
                events_.at(time, [this, request] { place(request, request->daemon); });
            }
        }
    }

    std::size_t daemonIn(std::size_t region, double draw) const
    {
        std::size_t first = 0;
        for (std::size_t before = 0; before < region; ++before) {
            first += config_.daemonsPerRegion[before];
        }
        return first + static_cast<std::size_t>(draw * config_.daemonsPerRegion[region]);
    }

    bool isFailing(std::size_t region) const
    {
        const double third = static_cast<double>(config_.duration.count()) / peakPhases;
        return config_.failingRegion == static_cast<int>(region) && events_.now >= third && events_.now < 2 * third;
    }

    void scheduleReports()
    {
        const double end = static_cast<double>(config_.duration.count()) * 3;
        for (double time = 1; time < end; time += static_cast<double>(config_.reportInterval.count())) {
            events_.at(time, [this] { reportEngines(); });
        }
        for (double time = 2; time < end; time += static_cast<double>(config_.summaryInterval.count())) {
            events_.at(time, [this] { reportSummaries(); });
        }
        for (double time = 3; time < end; time += static_cast<double>(retryInterval.count())) {
            events_.at(time, [this] { retryWaiting(); });
        }
    }

    void reportEngines()
    {
        const Millis observed = virtualNow();
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            const UpstreamLoad load = engines_[index].engine->load();
            const bool leaving = isFailing(engines_[index].region);
            reported_[index] = load;
            events_.at(events_.now + static_cast<double>(config_.reportLag.count()), [this, index, load, observed, leaving] {
                seen_[index] = load;
                for (auto &daemon : daemons_) {
                    if (daemon->region != engines_[index].region) {
                        continue;
                    }
                    const std::vector<std::size_t> &localEngines = engineOf_[daemon.get()];
                    const auto position = static_cast<std::size_t>(std::find(localEngines.begin(), localEngines.end(), index)
                                                                   - localEngines.begin());
                    UpstreamView &view = daemon->snapshot->upstreams[position];
                    view.load = load;
                    view.observedAt = observed;
                    view.leaving = leaving ? LeavingSignal::OwnReport : LeavingSignal::None;
                    daemon->local[position].reported(observed);
                }
            });
        }
    }

    void reportSummaries()
    {
        const Millis observed = virtualNow();
        for (std::size_t region = 0; region < config_.enginesPerRegion.size(); ++region) {
            unsigned busy = 0;
            unsigned queued = 0;
            for (std::size_t index = 0; index < engines_.size(); ++index) {
                if (engines_[index].region == region) {
                    busy += seen_[index].running;
                    queued += seen_[index].queuedInteractive + seen_[index].queuedDeferrable;
                }
            }
            const unsigned capacity = isFailing(region) ? 0 : config_.enginesPerRegion[region] * config_.slots;
            events_.at(events_.now + static_cast<double>(config_.summaryLag.count()),
                       [this, region, busy, queued, observed, capacity] {
                           for (auto &daemon : daemons_) {
                               for (auto &[service, routes] : daemon->snapshot->routes) {
                                   for (RemoteView &view : routes.remote) {
                                       if (view.slot == region) {
                                           view.busy = busy;
                                           view.queued = queued;
                                           view.capacity = capacity;
                                           view.observedAt = observed;
                                       }
                                   }
                               }
                               if (daemon->region != region) {
                                   daemon->remote[region].reported(observed);
                               }
                           }
                       });
        }
    }

    void retryWaiting()
    {
        for (std::size_t index = 0; index < daemons_.size(); ++index) {
            retryWaitingAt(index);
        }
    }

    void retryWaitingAt(std::size_t index)
    {
        Daemon &daemon = *daemons_[index];
        std::list<RequestPointer> waiting;
        waiting.swap(daemon.waiting);
        waiting.sort([](const RequestPointer &left, const RequestPointer &right) {
            return left->deferrable != right->deferrable ? !left->deferrable : left->arrivedAt < right->arrivedAt;
        });
        for (const RequestPointer &request : waiting) {
            place(request, index);
        }
    }

    void place(const RequestPointer &request, std::size_t daemon)
    {
        if (policy_ == Policy::Decision) {
            placeByDecision(request, daemon);
        } else {
            placeByBaseline(request, daemon);
        }
    }

    void placeByDecision(const RequestPointer &request, std::size_t index)
    {
        Daemon &daemon = *daemons_[index];
        RequestFacts facts;
        facts.organisation = "o";
        facts.service = request->deferrable ? "long" : "short";
        facts.prefixHash = request->prefix;
        facts.promptTokens = request->promptTokens;
        facts.expectedTokens = request->answerTokens;
        facts.arrivedAt = epoch + Millis{ static_cast<std::int64_t>(request->arrivedAt) };
        facts.deadline = facts.arrivedAt + Millis{ 3'600'000 };
        facts.visited = request->visited;
        std::vector<std::uint32_t> local;
        std::vector<std::uint32_t> remote;
        for (const DispatchCounter &counter : daemon.local) {
            local.push_back(counter.count());
        }
        for (const DispatchCounter &counter : daemon.remote) {
            remote.push_back(counter.count());
        }
        const Decision decision = decide(daemon.snapshot, facts, OwnDispatches{ local, remote }, virtualNow(), random_);
        switch (decision.verdict) {
        case Verdict::Serve:
            return serve(request, index, decision.target);
        case Verdict::Forward:
            return forward(request, index, daemon.snapshot->routesOf(facts.service).remote[decision.target].slot);
        case Verdict::Wait:
            daemon.waiting.push_back(request);
            return;
        case Verdict::Refuse:
            ++refusals_;
            events_.at(events_.now + static_cast<double>(decision.retryAfter.value_or(Millis{ 1000 }).count()),
                       [this, request, index] { place(request, index); });
            return;
        }
    }

    void serve(const RequestPointer &request, std::size_t index, std::uint32_t position)
    {
        Daemon &daemon = *daemons_[index];
        const Millis startedAt = virtualNow();
        daemon.local[position].started(startedAt);
        const std::size_t engine = engineOf_[&daemon][position];
        submit(request, engine, [this, index, position, startedAt] {
            daemons_[index]->local[position].ended(startedAt);
            retryWaitingAt(index);
        });
    }

    void forward(const RequestPointer &request, std::size_t index, std::size_t region)
    {
        Daemon &daemon = *daemons_[index];
        daemon.remote[region].started(virtualNow());
        request->visited.push_back(regionName(daemon.region));
        const std::size_t target = daemonIn(region, random_.fraction());
        events_.at(events_.now + config_.linkMs, [this, request, target] { place(request, target); });
    }

    void placeByBaseline(const RequestPointer &request, std::size_t index)
    {
        Daemon &daemon = *daemons_[index];
        std::vector<std::size_t> candidates;
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            const bool usable = !isFailing(engines_[engine].region);
            if (usable && (scope_ == Scope::Everywhere || engines_[engine].region == daemon.region)) {
                candidates.push_back(engine);
            }
        }
        if (candidates.empty()) {
            ++refusals_;
            events_.at(events_.now + 1000, [this, request, index] { place(request, index); });
            return;
        }
        const std::size_t engine = candidates[chooseByBaseline(*request, daemon, candidates)];
        const double link = engines_[engine].region == daemon.region ? 0 : config_.linkMs;
        events_.at(events_.now + link, [this, request, engine] { submit(request, engine, [] {}); });
    }

    std::size_t chooseByBaseline(const VirtualRequest &request, Daemon &daemon, const std::vector<std::size_t> &candidates)
    {
        if (policy_ == Policy::RoundRobin) {
            return daemon.nextRoundRobin++ % candidates.size();
        }
        if (policy_ == Policy::ModuloHash) {
            return request.prefix % candidates.size();
        }
        // The load is the last report plus what this daemon has sent since; ties are broken at random.
        std::size_t best = 0;
        double lowest = 1e18;
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            const std::size_t engine = candidates[position];
            const UpstreamLoad &load = seen_[engine];
            const double busy = load.running + load.queuedInteractive + load.queuedDeferrable + sentSinceReport(daemon, engine)
                + 0.5 * random_.fraction();
            if (busy < lowest) {
                lowest = busy;
                best = position;
            }
        }
        sent_[{ &daemon, candidates[best] }].push_back(events_.now);
        return best;
    }

    double sentSinceReport(Daemon &daemon, std::size_t engine)
    {
        std::list<double> &times = sent_[{ &daemon, engine }];
        const double horizon = events_.now - static_cast<double>((config_.reportInterval + config_.reportLag).count());
        while (!times.empty() && times.front() < horizon) {
            times.pop_front();
        }
        return static_cast<double>(times.size());
    }

    void submit(const RequestPointer &request, std::size_t engine, std::function<void()> done)
    {
        request->servedIn = engines_[engine].region;
        const double link = request->servedIn == request->region ? 0 : config_.linkMs;
        engines_[engine].engine->submit(request, link, std::move(done));
    }

    Millis virtualNow() const
    {
        return epoch + Millis{ static_cast<std::int64_t>(events_.now) };
    }

    SiteResult summarise() const
    {
        SiteResult result;
        std::vector<double> times[2];
        std::size_t away = 0;
        for (const RequestPointer &request : requests_) {
            if (request->finishedAt < 0) {
                continue;
            }
            ++result.finished;
            times[request->deferrable ? 1 : 0].push_back(request->firstTokenAt - request->arrivedAt);
            away += request->servedIn != request->region ? 1 : 0;
        }
        const auto quantileOf = [](std::vector<double> &values, double part) {
            std::sort(values.begin(), values.end());
            return values.empty() ? 0 : values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
        };
        result.interactiveP50 = quantileOf(times[0], 0.5);
        result.interactiveP99 = quantileOf(times[0], 0.99);
        result.deferrableP99 = quantileOf(times[1], 0.99);
        result.requests = requests_.size();
        result.refusals = refusals_;
        result.awayFraction = static_cast<double>(away) / static_cast<double>(std::max<std::size_t>(1, result.finished));
        double prefill = 0;
        double hits = 0;
        for (const Engine &engine : engines_) {
            prefill += engine.engine->prefillMs;
            hits += static_cast<double>(engine.engine->hits);
        }
        result.prefillMsPerRequest = prefill / static_cast<double>(std::max<std::size_t>(1, result.finished));
        result.cacheHitFraction = hits / static_cast<double>(std::max<std::size_t>(1, times[1].size()));
        return result;
    }

    const SiteConfig config_;
    const Policy policy_;
    const Scope scope_;
    SeededRandom random_;
    EventQueue events_;
    SettingsTree tree_;
    std::vector<Engine> engines_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::map<const Daemon *, std::vector<std::size_t>> engineOf_;
    std::map<std::size_t, UpstreamLoad> reported_;
    std::map<std::size_t, UpstreamLoad> seen_;
    std::map<std::pair<const Daemon *, std::size_t>, std::list<double>> sent_;
    std::vector<RequestPointer> requests_;
    std::size_t refusals_ = 0;
};

} // namespace

SiteResult runSite(const SiteConfig &config, Policy policy, Scope scope)
{
    return VirtualSite(config, policy, scope).run();
}

} // namespace Portpaddle
