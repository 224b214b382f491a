// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What reads bytes of a peer and is given damaged ones.
#pragma once

#include <memory>
#include <string>
#include <vector>

namespace Portpaddle {

class FuzzTarget
{
public:
    FuzzTarget() = default;
    FuzzTarget(const FuzzTarget &) = delete;
    FuzzTarget &operator=(const FuzzTarget &) = delete;
    virtual ~FuzzTarget() = default;

    virtual std::string name() const = 0;
    /// Returns sound messages.
    virtual const std::vector<std::string> &corpus() const = 0;
    /// Reads @p bytes as the daemon does; throws if the daemon would not have borne them.
    virtual void read(const std::string &bytes) = 0;
    /// The share of the inputs that this target gets: one in this many, since its reader takes longer.
    virtual std::size_t oneIn() const
    {
        return 1;
    }
};

using FuzzTargets = std::vector<std::unique_ptr<FuzzTarget>>;

/// Returns the targets that call a decoder.
FuzzTargets decoderTargets();
/// Returns the targets that send the bytes to a gateway, or to a client, over a connection.
FuzzTargets connectionTargets();

} // namespace Portpaddle
