// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/system_clock.h"

namespace Portpaddle {

Millis SystemClock::monotonic() const
{
    return std::chrono::duration_cast<Millis>(BootClock::now().time_since_epoch());
}

Millis SystemClock::wall() const
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
}

std::uint64_t freshSeed()
{
    std::random_device device;
    return (std::uint64_t{ device() } << 32) | device();
}

SeededRandom::SeededRandom(std::uint64_t seed) : engine_(seed)
{
}

std::uint64_t SeededRandom::next()
{
    const std::lock_guard lock(mutex_);
    return engine_();
}

} // namespace Portpaddle
