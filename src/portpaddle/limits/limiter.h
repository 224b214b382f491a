// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Admission by the limits of organisations, without a call on the request path.
#pragma once

#include "portpaddle/limits/slices.h"
#include "portpaddle/settings/compiled.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Portpaddle {

/// How much one organisation asked of this daemon lately.
struct OwnDemand
{
    std::string organisation;
    double requestsPerSecond = 0;
};

/// What the daemons around tell of one organisation.
struct OthersDemand
{
    std::string organisation;
    double requestsPerSecond = 0;
};

class Limiter;

/// Counts as a request in progress until destroyed.
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

/// Thread-safe; one per daemon.
class Limiter
{
public:
    /// A permit, or LimitReached as not run with the time after which another try helps.
    Result<Permit> admit(const std::string &organisation, const RequestPolicy &policy, double tokens, Millis now);
    /// Charges tokens that were generated beyond what admission counted.
    void charge(const std::string &organisation, double tokens);
    /// Updates the slices from what others ask for.
    void update(const std::vector<OthersDemand> &others, unsigned daemons, bool partitioned, Millis now);
    /// The organisations asking now, the busiest first.
    std::vector<OwnDemand> demand(Millis now);
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
        ShareMover share;
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
