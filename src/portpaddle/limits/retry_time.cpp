// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/limits/retry_time.h"

#include <algorithm>
#include <cmath>

namespace Portpaddle {

namespace {

// A request is admitted for its fraction of this period. A tenth of it is 0.4 s, which exceeds the differences of the daemons'
// clocks and what callers deviate from Retry-After; over a longer period fractions change too much to keep the time that was
// told.
constexpr double periodSeconds = 4;
// Callers honour a Retry-After of at most this part of their time left.
constexpr int timeLeftParts = 3;
// Requests that are told a time, as a fraction of those admitted at once: each of them takes the place of another request.
constexpr double toldPart = 0.15;
// Position in the time of admission at which a request returns. The rest of that time allows for a fraction that falls.
constexpr double aim = 0.1;
// No time is told below this fraction: its time of admission is 0.2 s, of which 0.02 s pass before the aim.
constexpr double minFraction = 0.05;
// Times beyond the deadline differ by up to this fraction of the time left.
constexpr double beyondSpread = 0.5;
// Time over which fractions rise again: fractions of small organisations vary from one second to the next.
constexpr double riseSeconds = 6;
// A fraction that falls below this part of its value has not found its level for fallTime: the average of the demand that it is
// computed from takes a second to follow.
constexpr double fall = 0.9;
constexpr std::chrono::milliseconds fallTime{ 1'500 };

std::uint64_t mixed(std::uint64_t value)
{
    // The finaliser of SplitMix64: other decisions use the same hash of the request.
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::chrono::milliseconds milliseconds(double seconds)
{
    return std::chrono::milliseconds(std::llround(seconds * 1'000));
}

} // namespace

double admissionChance(std::uint64_t requestHash, std::chrono::milliseconds wall)
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    const double start = static_cast<double>(mixed(requestHash) >> 11) * scale;
    const double position = start + std::fmod(std::chrono::duration<double>(wall).count(), periodSeconds) / periodSeconds;
    return position - std::floor(position);
}

std::chrono::milliseconds retryTime(const RefusedAsk &ask, double spread)
{
    const std::chrono::milliseconds time = milliseconds((1 - ask.chance + aim * ask.steadyFraction) * periodSeconds);
    const bool isTold = ask.steadyFraction >= minFraction && 1 - ask.chance <= toldPart * ask.steadyFraction;
    if (isTold && time <= ask.timeLeft / timeLeftParts) {
        return time;
    }
    const double left = std::chrono::duration<double>(ask.timeLeft).count();
    return ask.timeLeft + std::chrono::milliseconds(1) + milliseconds(beyondSpread * left * spread);
}

void SteadyFractions::update(const ByLimitClass &fractions, SteadyTime now)
{
    const double rise = 1 - std::exp(-inSeconds(now - updatedAt_) / riseSeconds);
    updatedAt_ = now;
    for (std::size_t index = 0; index < limitClassCount; ++index) {
        double &value = values_.at(index);
        fellAt_.at(index) = fractions.at(index) < fall * value ? now : fellAt_.at(index);
        value = std::min(fractions.at(index), value + rise * (fractions.at(index) - value));
    }
}

ByLimitClass SteadyFractions::values(SteadyTime now) const
{
    ByLimitClass result = values_;
    for (std::size_t index = 0; index < limitClassCount; ++index) {
        result.at(index) = now - fellAt_.at(index) < fallTime ? 0 : result.at(index);
    }
    return result;
}

} // namespace Portpaddle
