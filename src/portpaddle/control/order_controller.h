// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Orders to engines. A platform lease allows one sender per data centre; its revision is the fencing token of each order.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/base/thread.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

class Blackboard;
class Clock;
class KeyValueStore;

/// The actions that an engine can be ordered to take.
enum class OrderKind { Load, Drop };
std::string_view nameOf(OrderKind kind);

/// One order to an engine.
struct EngineOrder
{
    std::string upstream;
    std::string address;
    OrderKind kind = OrderKind::Load;
    /// The model to load or drop, as "name" or "name@version".
    std::string subject;
    /// The fencing token: the revision of the lease's key. Engines refuse lower ones.
    std::uint64_t fence = 0;
};

/// The outcome of an order.
enum class OrderOutcome { Accepted, RefusedByFence, Unknown };

/// Interface for sending an order to an engine.
class OrderSender
{
public:
    virtual ~OrderSender() = default;
    virtual OrderOutcome send(const EngineOrder &order) = 0;
};

/// Sends orders over HTTP.
class HttpOrderSender : public OrderSender
{
public:
    OrderOutcome send(const EngineOrder &order) override;
};

/// The lease that permits one daemon of a data centre to send orders.
class OrderLease
{
public:
    OrderLease(KeyValueStore &store, const Clock &clock, std::string dataCentre, std::string daemon);

    /// Acquires or extends the lease; to be called every few seconds.
    void renew();
    /// Returns the fencing token if by this daemon's clock the lease is certain to hold for at least @p margin.
    std::optional<std::uint64_t> provenFence(Millis margin) const;

private:
    void acquire();

    KeyValueStore &store_;
    const Clock &clock_;
    const std::string key_;
    const std::string daemon_;
    mutable std::mutex mutex_;
    std::uint64_t lease_ = 0;
    std::uint64_t fence_ = 0;
    Millis provenUntil_{ 0 };
};

/// The models that an engine has acknowledged as loaded.
struct EngineHoldings
{
    std::vector<std::string> loaded;
};

/// Returns the next orders: loads before drops, and for at most @p changingShare of the upstreams at once. Pure.
std::vector<EngineOrder> planOrders(const Blackboard &board, const std::map<std::string, EngineHoldings> &holdings,
                                    double changingShare);

/// The dependencies of the order controller; the referenced objects must outlive it.
struct OrderParts
{
    Blackboard &board;
    const Clock &clock;
    KeyValueStore &store;
    OrderSender &sender;
    std::string dataCentre;
    std::string daemon;
    /// Whether this daemon should compete for the lease: only a few per data centre do, to limit the load on the platform.
    std::function<bool()> isCandidate;
};

/// A sent order and its outcome, for operators.
struct OrderRecord
{
    std::int64_t wallMs = 0;
    EngineOrder order;
    std::string outcome;
};

/// Sends due orders while this daemon holds the lease. Owns no thread: the daemon's housekeeping calls step().
class OrderController
{
public:
    explicit OrderController(OrderParts parts);

    void step();
    /// Returns the recently sent orders, newest first.
    std::vector<OrderRecord> recent() const;
    bool holdsLease() const;

private:
    void sendOrder(EngineOrder order);
    bool mayStillSend(const EngineOrder &order);

    OrderParts parts_;
    OrderLease lease_;
    /// Accessed by step() only.
    std::map<std::string, EngineHoldings> holdings_;
    mutable std::mutex mutex_;
    std::deque<OrderRecord> recent_;
    std::uint64_t holdingsFence_ = 0;
    Millis renewedAt_{ 0 };
    Millis heldSince_{ 0 };
};

} // namespace Portpaddle
