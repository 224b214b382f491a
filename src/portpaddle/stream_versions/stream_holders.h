// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which daemons are told of a stream, the same for all daemons that know the same fleet.
#pragma once

#include "portpaddle/store_following/fleet_view.h"
#include "portpaddle/stream_versions/stream_key.h"

#include <map>
#include <string>
#include <vector>

namespace Portpaddle {

/// Two daemons of each region hold a stream: those whose hashes follow that of the stream. A look-up takes the time of a search
/// in a sorted list, however many daemons there are.
class StreamHolders
{
public:
    enum class Reach { OwnRegion, AllRegions };

    StreamHolders(std::string ownId, std::string ownRegion);

    void setDaemons(const SharedList<DaemonRecord> &daemons);
    /// Returns the link addresses of the daemons that hold @p stream, without this daemon.
    std::vector<std::string> links(const StreamKey &stream, Reach reach) const;
    /// Returns the link address of a daemon; empty if it is not known.
    std::string linkOf(const std::string &daemon) const;

private:
    struct Placed
    {
        std::uint64_t hash;
        std::string id;
        std::string link;
    };

    void addLinks(const std::vector<Placed> &region, std::uint64_t stream, std::vector<std::string> &links) const;

    std::string ownId_;
    std::string ownRegion_;
    /// By region, in the order of the hashes.
    std::map<std::string, std::vector<Placed>> regions_;
    std::map<std::string, std::string> links_;
};

} // namespace Portpaddle
