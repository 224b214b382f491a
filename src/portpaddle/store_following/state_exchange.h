// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Transfers the last known state of the store between daemons, for one that starts or continues while the store does not answer
/// it.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/fleet/change_feed.h"
#include "portpaddle/fleet/store_replica.h"
#include "portpaddle/interfaces/platform.h"

#include <functional>
#include <string>
#include <vector>

namespace Portpaddle {

/// Encodes all @p items that @p daemon knows; @p update has the minimum revision of their state.
std::string encodeState(const std::string &daemon, const std::vector<KeyValue> &items, const FeedUpdate &update);
/// Encodes the changes of @p update.
std::string encodeChanges(const std::string &daemon, const FeedUpdate &update);
/// Decodes the result of either function; BadRequest if @p bytes is malformed. Ages count back from @p now.
Result<FeedUpdate> decodeChanges(const std::string &bytes, SteadyTime now);

/// What another daemon knows of the store.
struct PeerState
{
    /// Link address of that daemon.
    std::string address;
    StoreState state;
    /// Whether the store confirmed this state to that daemon recently.
    bool confirmed = false;
};

/// Whether the store confirmed @p update recently.
bool isConfirmed(const FeedUpdate &update, SteadyTime now);

/// Returns the items whose keys begin with @p prefix, as the daemon at the link address @p address knows them. Blocks.
Result<PeerState> fetchItems(const std::string &address, const std::string &prefix);

/// Fetches the state of the store from other daemons. Calls block.
class PeerStateClient
{
public:
    /// @p peers returns the link addresses to ask, the most promising first.
    explicit PeerStateClient(std::function<std::vector<std::string>()> peers);

    /// Returns the state of the first peer that has any items; PeerUnreachable when there is none. After the first one, no
    /// further peer is asked once @p isOver returns true.
    Result<PeerState> fetch(const std::function<bool()> &isOver = [] { return false; }) const;

private:
    std::function<std::vector<std::string>()> peers_;
};

} // namespace Portpaddle
