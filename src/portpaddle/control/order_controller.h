// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Orders to engines: one holder per data centre by a lease of the platform, every order fenced by the lease's revision.
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

/// What an engine may be ordered to do.
enum class OrderKind { Load, Drop };
std::string_view nameOf(OrderKind kind);

/// One order as it goes to an engine.
struct EngineOrder
{
    std::string upstream;
    std::string address;
    OrderKind kind = OrderKind::Load;
    /// What to load or drop.
    std::string subject;
    /// The revision of the lease's key; engines refuse lower ones.
    std::uint64_t fence = 0;
};

/// How an order ended.
enum class OrderOutcome { Accepted, RefusedByFence, Unknown };

/// Hands an order to an engine.
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

/// The right to give orders in one data centre.
class OrderLease
{
public:
    OrderLease(KeyValueStore &store, const Clock &clock, std::string dataCentre, std::string daemon);

    /// Acquires or keeps the lease; called every few seconds.
    void renew();
    /// The fence, if the lease is proved to hold for at least @p margin more by this daemon's own clock.
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

/// What an engine has acknowledged so far.
struct EngineHoldings
{
    std::vector<std::string> loaded;
};

/// Decides the next orders: loads before drops, at most @p changingShare of the upstreams at once. Pure.
std::vector<EngineOrder> planOrders(const Blackboard &board, const std::map<std::string, EngineHoldings> &holdings,
                                    double changingShare);

/// What the order controller works with; all must outlive it.
struct OrderParts
{
    Blackboard &board;
    const Clock &clock;
    KeyValueStore &store;
    OrderSender &sender;
    std::string dataCentre;
    std::string daemon;
    /// Whether this daemon should try to hold the lease: only a few per data centre do, to spare the platform.
    std::function<bool()> isCandidate;
};

/// One order that was given, for operators.
struct OrderRecord
{
    std::int64_t wallMs = 0;
    EngineOrder order;
    std::string outcome;
};

/// Owns no thread: step() is called by the daemon's housekeeping.
class OrderController
{
public:
    explicit OrderController(OrderParts parts);

    void step();
    /// Orders given lately, newest first.
    std::vector<OrderRecord> recent() const;
    bool holdsLease() const;

private:
    void give(EngineOrder order);
    bool mayStillSend(const EngineOrder &order);

    OrderParts parts_;
    OrderLease lease_;
    /// Touched by step() alone.
    std::map<std::string, EngineHoldings> holdings_;
    mutable std::mutex mutex_;
    std::deque<OrderRecord> recent_;
    std::uint64_t holdingsFence_ = 0;
    Millis renewedAt_{ 0 };
    Millis heldSince_{ 0 };
};

} // namespace Portpaddle
