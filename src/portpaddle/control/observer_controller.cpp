// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/control/observer_controller.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/base/socket_address.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/net/checked_client.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

constexpr Millis pollTimeout{ 500 };
/// Minimum mean time between the polls of a daemon, however many upstreams it observes.
constexpr Millis minPollSpacing{ 400 };
constexpr unsigned maxCount = 65'535;

unsigned readCount(const nlohmann::json &json, const char *name)
{
    const bool present = json.contains(name) && json[name].is_number_unsigned();
    return present ? static_cast<unsigned>(std::min<std::uint64_t>(json[name].get<std::uint64_t>(), maxCount)) : 0;
}

} // namespace

UpstreamReport fetchLoad(const std::string &upstream, const std::string &address, std::uint64_t sequence, const Clock &clock)
{
    UpstreamReport report;
    report.upstream = upstream;
    report.sequence = sequence;
    report.observedAt = clock.monotonic();
    report.reachable = false;
    const Result<SocketAddress> parsed = parseSocketAddress(address);
    if (!isOk(parsed)) {
        return report;
    }
    CheckedClient client(valueOf(parsed).host, valueOf(parsed).port);
    client.set_connection_timeout(pollTimeout);
    client.set_read_timeout(pollTimeout);
    const httplib::Result reply = client.Get("/load");
    const nlohmann::json json = reply ? parseJson(reply->body) : nlohmann::json();
    if (!json.is_object()) {
        return report;
    }
    report.reachable = true;
    report.load.running = readCount(json, "running");
    report.load.queuedInteractive = readCount(json, "queued_interactive");
    report.load.queuedDeferrable = readCount(json, "queued_deferrable");
    report.leaving = json.contains("leaving") && json["leaving"] == true;
    // The engine's figures lag behind; the report contains their age.
    report.observedAt = clock.monotonic() - Millis{ readCount(json, "age_ms") };
    return report;
}

ObserverController::ObserverController(ObserverParts parts) : parts_(std::move(parts))
{
}

ObserverController::~ObserverController()
{
    stop();
}

void ObserverController::start()
{
    thread_ = Thread("observer", [this] { run(); });
}

void ObserverController::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        wake_.notify_all();
    }
    thread_.join();
}

void ObserverController::run()
{
    while (true) {
        const std::size_t observed = pollAll();
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, std::max(parts_.interval, minPollSpacing * static_cast<int>(observed)),
                       [this] { return stopping_; });
        if (stopping_) {
            return;
        }
    }
}

std::size_t ObserverController::pollAll()
{
    std::size_t observed = 0;
    const std::shared_ptr<const CompiledSettings> settings = parts_.board.settings.read();
    for (const UpstreamSettings &upstream : settings->upstreams()) {
        if (upstream.dataCentre != settings->place().dataCentre || !parts_.observes(upstream.id)) {
            continue;
        }
        // Wall time orders the reports of successive observers. After a clock jumps back, the lower sequences are accepted once
        // the last report is some seconds old.
        std::uint64_t &last = sequences_[upstream.id];
        last = std::max(last + 1, static_cast<std::uint64_t>(parts_.clock.wall().count()));
        const UpstreamReport report = fetchLoad(upstream.id, upstream.address, last, parts_.clock);
        parts_.board.upstreams.takeReport(report);
        parts_.announce(report);
        ++observed;
    }
    parts_.onChanged();
    return observed;
}

} // namespace Portpaddle
