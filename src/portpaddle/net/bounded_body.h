// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Collects the body of an answer that may have no end.
#pragma once

#include "portpaddle/interfaces/clock.h"

#include <cstddef>
#include <string>

namespace Portpaddle {

/// Holds a body up to a length in bytes and until a time, whichever is reached first.
class BoundedBody
{
public:
    BoundedBody(std::size_t maxBytes, SteadyTime until);

    /// Appends @p size bytes at @p data; returns false if the answer is to be given up.
    bool append(const char *data, std::size_t size);
    const std::string &bytes() const;

private:
    std::size_t maxBytes_;
    SteadyTime until_;
    std::string bytes_;
};

} // namespace Portpaddle
