// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Tells other daemons which version began a stream, and asks them.
#pragma once

#include "portpaddle/fleet/load_aggregation.h"
#include "portpaddle/net/asio.h"
#include "portpaddle/stream_versions/begun_streams.h"
#include "portpaddle/stream_versions/stream_holders.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

/// Belongs to one event loop. Digests are sent at once, because a stream may be taken up as soon as its caller has its first
/// event.
class StreamVersions
{
public:
    using Send = std::function<void(const OutgoingDigest &digest)>;
    using SoleAnswer = std::function<void(std::optional<VersionKey> version)>;
    /// Answers with the one version at which all streams of a service began, now or later; no value if that is not certain.
    using SoleVersion = std::function<void(std::uint64_t service, const SoleAnswer &answer)>;

    StreamVersions(Executor executor, std::string ownId, std::string ownRegion);

    void setSend(Send send);
    /// Sets the proof by which streams are known of which nothing was told.
    void setSoleVersion(SoleVersion soleVersion);
    void setDaemons(const SharedList<DaemonRecord> &daemons);
    /// Records that @p version began @p stream, here and at the daemons that hold the stream.
    void announce(const StreamKey &stream, VersionKey version, SteadyTime now);
    /// Returns the version that began @p stream of @p service, given by the hash of its name. Asks the daemons of the own region,
    /// and those of others unless @p sole is set: the version of all streams, unless a daemon knows better. No value if no daemon
    /// knows.
    Task<std::optional<VersionKey>> find(StreamKey stream, std::uint64_t service, std::optional<VersionKey> sole);
    /// Applies a StreamVersions digest.
    void take(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Returns the number of streams of which something is recorded.
    std::size_t size() const;

private:
    /// A question to other daemons that is under way.
    struct Lookup
    {
        explicit Lookup(Executor executor) : answered(executor)
        {
        }

        SteadyTimer answered;
        /// Link addresses of the daemons that have not answered yet.
        std::vector<std::string> awaited;
    };

    /// Asks the daemons that hold the stream of @p query and waits until one knows it, all have answered, or @p maxWait has
    /// passed.
    Task<void> ask(const Wire::StreamQuery &query, Lookup &lookup, StreamHolders::Reach reach, Millis maxWait);
    void answerQueries(const Wire::LoadDigestT &digest, SteadyTime now);
    /// Answers the daemon at @p link; no version if none is known.
    void answer(const std::string &link, const StreamKey &stream, std::optional<VersionKey> version) const;
    Wire::LoadDigestT emptyDigest() const;

    Executor executor_;
    std::string ownId_;
    Send send_ = [](const OutgoingDigest &) {};
    SoleVersion soleVersion_ = [](std::uint64_t, const SoleAnswer &answer) { answer(std::nullopt); };
    StreamHolders holders_;
    BegunStreams begun_;
    std::multimap<StreamKey, std::shared_ptr<Lookup>> lookups_;
};

} // namespace Portpaddle
