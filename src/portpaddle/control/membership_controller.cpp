// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/control/membership_controller.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/routing/snapshot_builder.h"

#include <array>

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Portpaddle {

namespace {

constexpr Millis tickInterval{ 50 };
/// Interval at which summaries and demand are announced and the slices of rate limits are updated.
constexpr Millis announceInterval{ 1'000 };
/// Datagrams received between two ticks, so that a flood of them cannot delay the ticks.
constexpr int maxBatch = 256;

LogEvent eventFor(const MemberView &view)
{
    if (!view.alive) {
        return LogEvent::MemberDied;
    }
    return view.suspected ? LogEvent::MemberSuspected : LogEvent::MemberJoined;
}

void logMemberChanges(const MemberTable &before, const MemberTable &after)
{
    for (const MemberView &view : after.members) {
        const auto known = std::find_if(before.members.begin(), before.members.end(),
                                        [&](const MemberView &other) { return other.id == view.id; });
        const bool changed = known == before.members.end() || known->alive != view.alive || known->suspected != view.suspected;
        if (changed) {
            logEvent(eventFor(view), { { "member", view.id }, { "data_centre", view.dataCentre } });
        }
    }
}

} // namespace

MembershipController::MembershipController(MembershipParts parts) : parts_(std::move(parts))
{
}

MembershipController::~MembershipController()
{
    stop();
    if (socket_ >= 0) {
        close(socket_);
    }
}

Result<SocketAddress> MembershipController::bindTo(const SocketAddress &address)
{
    socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in native = toNative(address);
    if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0) {
        return Error{ ErrorCode::Internal, fmt::format("cannot bind gossip to {}", toText(address)), RunState::NotRun,
                      std::nullopt };
    }
    socklen_t length = sizeof native;
    getsockname(socket_, reinterpret_cast<sockaddr *>(&native), &length);
    return fromNative(native);
}

void MembershipController::start(const MemberUpdate &self, std::vector<SocketAddress> seeds)
{
    const Millis now = parts_.clock.monotonic();
    node_ = std::make_unique<GossipNode>(parts_.config, self, parts_.clusterKey, parts_.random, now);
    node_->setSeeds(std::move(seeds));
    node_->setSettingsVersion(settingsVersion_);
    parts_.board.members.publish(std::make_shared<MemberTable>(node_->memberTable(now)));
    thread_ = Thread("gossip", [this] { run(); });
}

void MembershipController::stop()
{
    stopping_ = true;
    thread_.join();
}

void MembershipController::setSeeds(std::vector<SocketAddress> seeds)
{
    const std::lock_guard lock(mutex_);
    if (node_) {
        node_->setSeeds(std::move(seeds));
    }
}

void MembershipController::leave()
{
    const std::lock_guard lock(mutex_);
    if (node_) {
        node_->leave();
    }
}

void MembershipController::setSettingsVersion(std::uint64_t version)
{
    const std::lock_guard lock(mutex_);
    settingsVersion_ = version;
    if (node_) {
        node_->setSettingsVersion(version);
    }
}

void MembershipController::announceUpstream(const UpstreamReport &report)
{
    const std::lock_guard lock(mutex_);
    if (node_) {
        node_->announceUpstream(report);
    }
}

bool MembershipController::isResponsibleFor(const std::string &subject, unsigned places) const
{
    const std::lock_guard lock(mutex_);
    return node_ == nullptr || node_->isResponsibleFor(subject, places);
}

bool MembershipController::isAlone() const
{
    const std::lock_guard lock(mutex_);
    return node_ == nullptr || node_->members().records().size() <= 1;
}

void MembershipController::run()
{
    while (!stopping_) {
        pollfd waiting{ socket_, POLLIN, 0 };
        if (poll(&waiting, 1, static_cast<int>(tickInterval.count())) > 0) {
            receiveAll();
        }
        const Millis now = parts_.clock.monotonic();
        std::vector<Datagram> out;
        GossipUpdates updates;
        {
            const std::lock_guard lock(mutex_);
            announcePeriodically(now);
            out = node_->tick(now);
            updates = node_->takeUpdates();
        }
        send(out);
        publish(updates, now);
    }
}

void MembershipController::receiveAll()
{
    std::array<char, maxDatagramBytes + 1> buffer{};
    for (int count = 0; count < maxBatch; ++count) {
        sockaddr_in native{};
        socklen_t length = sizeof native;
        const ssize_t size = recvfrom(socket_, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&native), &length);
        if (size <= 0) {
            return;
        }
        parts_.metrics.count(Counter::GossipBytesReceived, static_cast<std::uint64_t>(size));
        std::vector<Datagram> out;
        {
            const std::lock_guard lock(mutex_);
            const std::uint64_t rejectedBefore = node_->rejectedDatagrams();
            out = node_->receive(fromNative(native), std::string_view(buffer.data(), static_cast<std::size_t>(size)),
                                 parts_.clock.monotonic());
            parts_.metrics.count(Counter::PeersRejected, node_->rejectedDatagrams() - rejectedBefore);
        }
        send(out);
    }
}

void MembershipController::send(const std::vector<Datagram> &datagrams)
{
    for (const Datagram &datagram : datagrams) {
        const sockaddr_in native = toNative(datagram.to);
        sendto(socket_, datagram.bytes.data(), datagram.bytes.size(), 0, reinterpret_cast<const sockaddr *>(&native),
               sizeof native);
        parts_.metrics.count(Counter::GossipMessagesSent);
        parts_.metrics.count(Counter::GossipBytesSent, datagram.bytes.size());
    }
}

void MembershipController::announcePeriodically(Millis now)
{
    if (now < announcedAt_ + announceInterval) {
        return;
    }
    announcedAt_ = now;
    node_->announceSummaries(summarise(*parts_.board.routing.read(), now), now);
    node_->announceDemand(parts_.board.limiter.demand(now), now);
    const MemberTable table = node_->memberTable(now);
    parts_.board.limiter.update(node_->othersDemand(now), std::max(1U, table.counted), table.partitioned, now);
}

void MembershipController::applyDigests(const std::vector<UpstreamDigest> &digests)
{
    if (digests.empty()) {
        return;
    }
    const std::shared_ptr<const RoutingSnapshot> snapshot = parts_.board.routing.read();
    std::unordered_map<std::uint32_t, const std::string *> names;
    for (const UpstreamView &view : snapshot->upstreams) {
        names[shortKey(view.id)] = &view.id;
    }
    for (const UpstreamDigest &digest : digests) {
        const auto name = names.find(digest.key);
        // Digests of upstreams that the settings here do not contain yet are dropped: later ones will follow.
        if (name != names.end()) {
            parts_.board.upstreams.takeReport(
                UpstreamReport{ *name->second, digest.sequence, digest.observedAt,
                                UpstreamLoad{ digest.running, digest.queuedInteractive, digest.queuedDeferrable }, digest.leaving,
                                digest.reachable });
        }
    }
}

std::shared_ptr<SummaryTable>
MembershipController::resolveSummaries(const std::map<std::string, DataCentreSummary> &summaries) const
{
    const std::shared_ptr<const CompiledSettings> settings = parts_.board.settings.read();
    std::unordered_map<std::uint32_t, std::string> names;
    for (const ServiceSettings &service : settings->services()) {
        names[shortKey(service.name)] = service.name;
    }
    std::unordered_map<std::uint32_t, std::string> versions;
    for (const UpstreamSettings &upstream : settings->upstreams()) {
        for (const OfferedService &service : upstream.services) {
            versions[shortKey(service.version)] = service.version;
        }
    }
    auto table = std::make_shared<SummaryTable>();
    for (const auto &[dataCentre, summary] : summaries) {
        for (const ServiceFigures &figures : summary.services) {
            const auto name = names.find(figures.key);
            if (name == names.end()) {
                continue;
            }
            SummaryEntry entry{ dataCentre,     name->second, summary.sequence,  figures.capacity, figures.busy,
                                figures.queued, {},           summary.observedAt };
            for (const std::uint32_t version : { figures.version, figures.otherVersion }) {
                const auto known = versions.find(version);
                if (known != versions.end()) {
                    entry.versions.push_back(known->second);
                }
            }
            table->entries.push_back(std::move(entry));
        }
    }
    return table;
}

void MembershipController::publish(const GossipUpdates &updates, Millis now)
{
    applyDigests(updates.upstreams);
    if (updates.settingsVersion > 0) {
        parts_.onNewerSettings(updates.settingsPeer, updates.settingsVersion);
    }
    std::shared_ptr<MemberTable> table;
    std::shared_ptr<SummaryTable> summaries;
    {
        const std::lock_guard lock(mutex_);
        table = std::make_shared<MemberTable>(node_->memberTable(now));
        summaries = updates.summariesChanged ? resolveSummaries(node_->summaries()) : nullptr;
    }
    const std::shared_ptr<const MemberTable> before = parts_.board.members.read();
    const bool reachabilityChanged = table->partitioned != before->partitioned;
    const bool membersChanged = updates.membersChanged || reachabilityChanged || table->members.size() != before->members.size();
    if (membersChanged) {
        logMemberChanges(*before, *table);
        parts_.board.members.publish(table);
    }
    if (summaries) {
        parts_.board.summaries.publish(summaries);
    }
    if (membersChanged || summaries || !updates.upstreams.empty()) {
        parts_.onChanged();
    }
}

} // namespace Portpaddle
