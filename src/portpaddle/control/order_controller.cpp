// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/control/order_controller.h"

#include "portpaddle/base/log.h"
#include "portpaddle/base/name_table.h"
#include "portpaddle/base/socket_address.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/platform.h"
#include "portpaddle/net/checked_client.h"
#include "portpaddle/routing/blackboard.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

constexpr NameTable<OrderKind, 2> orderKindNames{ { "load", "drop" } };
constexpr Millis leaseTime{ 15'000 };
constexpr Millis renewInterval{ 5'000 };
/// An order must be sent this long before the lease ends, or it might reach the engine after an order of the next holder.
constexpr Millis sendMargin{ 2'000 };
/// A new holder sends no orders to engines without fence checks for this long: the longest expected pause of a former
/// holder's process.
constexpr Millis maxHolderPause{ 30'000 };
/// Share of a data centre's upstreams that may be changing at once.
constexpr double changingShare = 0.25;
constexpr Millis orderTimeout{ 1'000 };
constexpr std::size_t maxRecords = 200;

std::string versionedName(const OfferedService &service)
{
    return service.version.empty() ? service.name : service.name + '@' + service.version;
}

std::string_view describe(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::RefusedByFence:
        return "refused: another daemon holds the lease";
    case OrderOutcome::Unknown:
        return "unknown: will be given again";
    }
    return {};
}

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

std::vector<std::string> wantedModels(const CompiledSettings &settings, const UpstreamSettings &upstream)
{
    std::vector<std::string> wanted;
    for (const OfferedService &service : upstream.services) {
        const ServiceSettings *described = settings.service(service.name);
        if (described != nullptr && described->kind == ServiceKind::Model) {
            wanted.push_back(versionedName(service));
        }
    }
    return wanted;
}

/// Returns the order for the first wanted model that is not loaded, else for the first loaded model that is not wanted.
std::optional<EngineOrder> nextOrder(const UpstreamSettings &upstream, const std::vector<std::string> &wanted,
                                     const std::vector<std::string> &loaded)
{
    for (const std::string &subject : wanted) {
        if (!contains(loaded, subject)) {
            return EngineOrder{ upstream.id, upstream.address, OrderKind::Load, subject, 0 };
        }
    }
    for (const std::string &subject : loaded) {
        if (!contains(wanted, subject)) {
            return EngineOrder{ upstream.id, upstream.address, OrderKind::Drop, subject, 0 };
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view nameOf(OrderKind kind)
{
    return orderKindNames[kind];
}

OrderOutcome HttpOrderSender::send(const EngineOrder &order)
{
    const Result<SocketAddress> address = parseSocketAddress(order.address);
    if (!isOk(address)) {
        return OrderOutcome::Unknown;
    }
    CheckedClient client(valueOf(address).host, valueOf(address).port);
    client.set_connection_timeout(orderTimeout);
    client.set_read_timeout(orderTimeout);
    const nlohmann::json body = { { "order", nameOf(order.kind) }, { "subject", order.subject }, { "fence", order.fence } };
    const httplib::Result reply = client.Post("/orders", body.dump(), "application/json");
    if (!reply) {
        return OrderOutcome::Unknown;
    }
    constexpr int accepted = 200;
    constexpr int fenced = 409;
    return reply->status == accepted ? OrderOutcome::Accepted
        : reply->status == fenced    ? OrderOutcome::RefusedByFence
                                     : OrderOutcome::Unknown;
}

OrderLease::OrderLease(KeyValueStore &store, const Clock &clock, std::string dataCentre, std::string daemon)
    : store_(store), clock_(clock), key_("portpaddle/orders/holder/" + dataCentre), daemon_(std::move(daemon))
{
}

void OrderLease::renew()
{
    const std::lock_guard lock(mutex_);
    // The lease is counted from before the call: the platform's count cannot have started earlier.
    const Millis askedAt = clock_.monotonic();
    if (fence_ != 0 && isOk(store_.keepAlive(lease_))) {
        provenUntil_ = askedAt + leaseTime;
        return;
    }
    if (fence_ != 0 && askedAt < provenUntil_) {
        // The platform may only be slow: the lease is still valid, but not beyond the expiry of the last confirmed extension.
        return;
    }
    acquire();
}

std::optional<std::uint64_t> OrderLease::provenFence(Millis margin) const
{
    const std::lock_guard lock(mutex_);
    const bool proved = fence_ != 0 && clock_.monotonic() + margin < provenUntil_;
    return proved ? std::optional{ fence_ } : std::nullopt;
}

void OrderLease::acquire()
{
    fence_ = 0;
    provenUntil_ = Millis{ 0 };
    // Reading first saves the platform two writes for each attempt of a daemon that does not hold the lease.
    const Result<std::optional<KeyValue>> holder = store_.get(key_);
    if (!isOk(holder) || valueOf(holder)) {
        return;
    }
    const Millis askedAt = clock_.monotonic();
    const Result<LeaseGrant> granted = store_.grantLease(leaseTime);
    if (!isOk(granted)) {
        return;
    }
    lease_ = valueOf(granted).id;
    const std::string value = daemon_ + '/' + std::to_string(lease_);
    const Result<std::uint64_t> written = store_.put(key_, value, mustBeAbsent, lease_);
    if (isOk(written)) {
        fence_ = valueOf(written);
    } else if (errorOf(written).run != RunState::NotRun) {
        // The reply was lost: the stored value shows which daemon's write succeeded, and its revision is the fence.
        const Result<std::optional<KeyValue>> stored = store_.get(key_);
        const bool ours = isOk(stored) && valueOf(stored) && valueOf(stored)->value == value;
        fence_ = ours ? valueOf(stored)->revision : 0;
    }
    if (fence_ != 0) {
        provenUntil_ = askedAt + leaseTime;
    }
}

std::vector<EngineOrder> planOrders(const Blackboard &board, const std::map<std::string, EngineHoldings> &holdings, double share)
{
    const std::shared_ptr<const CompiledSettings> settings = board.settings.read();
    std::vector<EngineOrder> orders;
    std::size_t upstreams = 0;
    for (const UpstreamSettings &upstream : settings->upstreams()) {
        if (upstream.dataCentre != settings->place().dataCentre) {
            continue;
        }
        ++upstreams;
        if (upstream.leaving) {
            continue;
        }
        const auto known = holdings.find(upstream.id);
        const EngineHoldings held = known == holdings.end() ? EngineHoldings{} : known->second;
        std::optional<EngineOrder> next = nextOrder(upstream, wantedModels(*settings, upstream), held.loaded);
        if (next) {
            orders.push_back(std::move(*next));
        }
    }
    const double maxOrders = std::max(1.0, std::floor(share * static_cast<double>(upstreams)));
    orders.resize(std::min(orders.size(), static_cast<std::size_t>(maxOrders)));
    return orders;
}

OrderController::OrderController(OrderParts parts)
    : parts_(std::move(parts)), lease_(parts_.store, parts_.clock, parts_.dataCentre, parts_.daemon)
{
}

void OrderController::step()
{
    const Millis now = parts_.clock.monotonic();
    if (!parts_.isCandidate()) {
        return;
    }
    if (now >= renewedAt_ + renewInterval) {
        renewedAt_ = now;
        lease_.renew();
    }
    const std::optional<std::uint64_t> fence = lease_.provenFence(sendMargin);
    if (!fence) {
        return;
    }
    if (*fence != holdingsFence_) {
        // A new holder does not know what engines have loaded. Repeating a load costs an engine nothing.
        holdings_.clear();
        holdingsFence_ = *fence;
        heldSince_ = now;
    }
    for (EngineOrder &order : planOrders(parts_.board, holdings_, changingShare)) {
        order.fence = *fence;
        sendOrder(std::move(order));
    }
}

std::vector<OrderRecord> OrderController::recent() const
{
    const std::lock_guard lock(mutex_);
    return { recent_.rbegin(), recent_.rend() };
}

bool OrderController::holdsLease() const
{
    return lease_.provenFence(Millis{ 0 }).has_value();
}

void OrderController::sendOrder(EngineOrder order)
{
    if (!mayStillSend(order)) {
        return;
    }
    const OrderOutcome outcome = parts_.sender.send(order);
    logEvent(LogEvent::OrderSent,
             { { "upstream", order.upstream }, { "subject", order.subject }, { "outcome", std::string(describe(outcome)) } });
    if (outcome == OrderOutcome::Accepted) {
        std::vector<std::string> &loaded = holdings_[order.upstream].loaded;
        if (order.kind == OrderKind::Load) {
            loaded.push_back(order.subject);
        } else {
            std::erase(loaded, order.subject);
        }
    }
    const std::lock_guard lock(mutex_);
    recent_.push_back(OrderRecord{ parts_.clock.wall().count(), std::move(order), std::string(describe(outcome)) });
    if (recent_.size() > maxRecords) {
        recent_.pop_front();
    }
}

/// Checked right before each order is sent: the process may have been paused since the order was planned.
bool OrderController::mayStillSend(const EngineOrder &order)
{
    const std::optional<std::uint64_t> fence = lease_.provenFence(sendMargin);
    if (!fence || *fence != order.fence) {
        logEvent(LogEvent::OrderWithheld, { { "upstream", order.upstream }, { "subject", order.subject } });
        return false;
    }
    const std::shared_ptr<const RoutingSnapshot> snapshot = parts_.board.routing.read();
    const auto view = std::find_if(snapshot->upstreams.begin(), snapshot->upstreams.end(),
                                   [&](const UpstreamView &candidate) { return candidate.id == order.upstream; });
    const bool checksFence = view != snapshot->upstreams.end() && view->checksFence;
    return checksFence || parts_.clock.monotonic() >= heldSince_ + maxHolderPause;
}

} // namespace Portpaddle
