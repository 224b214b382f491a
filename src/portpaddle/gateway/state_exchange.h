// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Hands on what the store last told, between daemons: to one that starts or goes on while the store does not answer it.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/fleet/change_feed.h"
#include "portpaddle/interfaces/platform.h"

#include <functional>
#include <string>
#include <vector>

namespace Portpaddle {

/// Larger states are refused; a configuration of some hundred routes has a tenth of this.
inline constexpr std::size_t largestStateBytes = 8 * 1024 * 1024;

/// All @p items that daemon @p daemon knows; @p news says of what revision they are at least.
std::string encodeState(const std::string &daemon, const std::vector<KeyValue> &items, const FeedUpdate &news);
/// The changes of @p news.
std::string encodeChanges(const std::string &daemon, const FeedUpdate &news);
/// Decodes either of them; BadRequest if @p bytes is neither. Ages count back from @p now.
Result<FeedUpdate> decodeChanges(const std::string &bytes, SteadyTime now);

/// Asks other daemons. Calls block.
class PeerStateClient
{
public:
    /// @p peers gives the link addresses to ask, the likeliest first.
    explicit PeerStateClient(std::function<std::vector<std::string>()> peers);

    /// The items of the first peer that has any; PeerUnreachable when there is none.
    Result<std::vector<KeyValue>> fetch() const;

private:
    std::function<std::vector<std::string>()> peers_;
};

} // namespace Portpaddle
