// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Damages messages at random, repeatably by a seed.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Portpaddle {

class ByteMutator
{
public:
    explicit ByteMutator(std::uint64_t seed);

    /// Returns one of @p corpus with one to four damages; now and then unchanged.
    std::string next(const std::vector<std::string> &corpus);
    /// Returns a number below @p bound, which must not be zero.
    std::size_t below(std::size_t bound);

private:
    void damage(std::string &bytes, const std::vector<std::string> &corpus);
    /// Replaces a run of digits by an extreme number.
    void replaceNumber(std::string &bytes);
    /// Repeats, moves or removes a part.
    void editPart(std::string &bytes);
    /// Goes on with the end of another message.
    void splice(std::string &bytes, const std::string &other);

    std::mt19937_64 random_;
};

} // namespace Portpaddle
