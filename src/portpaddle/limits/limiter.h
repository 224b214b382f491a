// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Admits requests within the limits of their organisations, without a remote call on the request path.
#pragma once

#include "portpaddle/limits/limit_share.h"
#include "portpaddle/settings/compiled.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// The recent demand of one organisation at this daemon.
struct OwnDemand
{
    std::string organisation;
    double requestsPerSecond = 0;
};

/// The demand of one organisation that other daemons reported.
struct OthersDemand
{
    std::string organisation;
    double requestsPerSecond = 0;
};

class Limiter;

/// Counts as a request in progress until it is destroyed.
class Permit
{
public:
    Permit() = default;
    Permit(Limiter &limiter, std::string organisation);
    Permit(Permit &&other) noexcept;
    Permit &operator=(Permit &&other) noexcept;
    ~Permit();

private:
    Limiter *limiter_ = nullptr;
    std::string organisation_;
};

/// Limits the requests of each organisation. Thread-safe; one per daemon.
class Limiter
{
public:
    /// Returns a permit, or the error LimitReached (not run) with the time after which a retry may succeed.
    Result<Permit> admit(const std::string &organisation, const RequestPolicy &policy, double tokens, Millis now);
    /// Charges tokens that were generated beyond those counted on admission.
    void charge(const std::string &organisation, double tokens);
    /// Updates the shares of this daemon from the demand at other daemons.
    void update(const std::vector<OthersDemand> &others, unsigned daemons, bool partitioned, Millis now);
    /// Returns the organisations with demand now, in descending order of demand.
    std::vector<OwnDemand> demand(Millis now);
    /// Returns the share, in (0, 1], of the limit of @p organisation that this daemon may spend.
    double shareOf(const std::string &organisation);

private:
    friend class Permit;

    struct Bucket
    {
        double level = 0;
        bool started = false;

        void refill(double rate, double seconds);
    };
    struct State
    {
        ShareController share;
        Bucket requests;
        Bucket tokens;
        unsigned running = 0;
        double arrivals = 0;
        double demand = 0;
        Millis refilledAt{ 0 };
        Millis measuredAt{ 0 };
    };

    State &stateOf(const std::string &organisation, Millis now);
    void release(const std::string &organisation);

    std::mutex mutex_;
    std::unordered_map<std::string, State> states_;
    unsigned daemons_ = 1;
    bool partitioned_ = false;
};

} // namespace Portpaddle
