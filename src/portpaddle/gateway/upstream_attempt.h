// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// One sending of a request to an upstream or to a daemon of another region, and the passing on of what it answers.
#pragma once

#include "portpaddle/gateway/caller_request.h"
#include "portpaddle/gateway/caller_writer.h"
#include "portpaddle/gateway/event_splitter.h"
#include "portpaddle/gateway/service_map.h"
#include "portpaddle/gateway/upstream_connection.h"
#include "portpaddle/interfaces/attempt_target.h"
#include "portpaddle/upstream_notices/answer_notice.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>

#include <functional>
#include <optional>

namespace Portpaddle {

/// Between daemons: says on an answer that no upstream ran the request and none will.
inline constexpr const char *relayOutcomeHeader = "X-Portpaddle-Outcome";
inline constexpr const char *relayNotRun = "not_run";
/// Between daemons: milliseconds that the request has spent on its way so far.
inline constexpr const char *relayAgeHeader = "X-Portpaddle-Age-Ms";
/// Between daemons: upstreams that the request was sent to. On a request those before, on an answer those of the answering
/// daemon.
inline constexpr const char *relaySendsHeader = "X-Portpaddle-Sends";
/// Routes allow a few upstreams for one request; a larger number is not believed.
inline constexpr unsigned maxToldSends = 100;
/// Between daemons: the organisation whose key the first daemon has seen.
inline constexpr const char *relayOrganisationHeader = "X-Portpaddle-Organisation";

/// What of a stream has reached the caller.
struct StreamProgress
{
    bool begun = false;
    EventSplitter events;
};

/// Whom to ask and how.
struct AttemptPlan
{
    /// Key in the connection pool.
    std::string peer;
    std::string address;
    /// Set for an upstream: the life that shall run it.
    std::string expectedUpstream;
    std::chrono::milliseconds connectTimeout{ 500 };
    std::chrono::milliseconds timeLeft{ 0 };
    /// Where the memory of this run was moved from.
    std::string memoryFrom;
    /// The same for a daemon of another region.
    std::optional<Continuation> continuation;
    /// Address of the engine from which kept parts of the prompt are to be fetched.
    std::string fetchFrom;
    /// Set for a daemon of another region: how old the request will be there.
    std::optional<std::chrono::milliseconds> age;
    /// Upstreams that it was sent to before.
    unsigned earlierSends = 0;
    /// Set where the answer goes to another daemon: what it says of the upstreams asked here.
    std::optional<unsigned> toldSends;
    unsigned priority = 5;
    bool streamed = false;
    /// Whose request it is; empty where nobody's key is needed.
    std::string organisation;
    /// The caller's key ends here.
    bool dropsKey = false;
};

/// How an attempt ended; the answer is kept where it was whole but failed.
struct AttemptReport
{
    AttemptEnd end = AttemptEnd::Complete;
    Error error;
    std::optional<WholeAnswer> failedAnswer;
    /// The request left this daemon.
    bool sent = false;
    /// The connection ended in the middle, and this daemon did not end it.
    bool connectionBroke = false;
    /// Nobody listens at the address.
    bool connectionRefused = false;
    /// Another life answered at the address: the one that was asked is gone.
    bool incarnationEnded = false;
    /// The target asked for time, whatever became of the request.
    bool turnedAway = false;
    /// Not sent, as the target takes nothing now; the connection was there.
    bool withheld = false;
    /// Upstreams that a daemon of another region says it sent the request to.
    std::optional<unsigned> relayedSends;
    /// A daemon of another region ends before its stream, which can go on there.
    std::optional<Continuation> continuation;
};

/// Told of what an attempt shows of its target.
struct AttemptEvents
{
    /// Asked once there is a connection, as the target may have changed its mind meanwhile.
    std::function<bool()> maySend;
    std::function<void()> sending;
    /// The head of an answer came, also of a late one to an earlier request.
    std::function<void(const AnswerNotice &notice)> answered;
    std::function<void()> firstEvent;
    /// So many whole events of a stream arrived.
    std::function<void(std::size_t)> streamed;
    /// Bytes of the answer arrived.
    std::function<void()> heard;
};

/// Lives for one attempt.
class UpstreamAttempt
{
public:
    UpstreamAttempt(ConnectionPool &pool, const HeaderNames &names, const CallerRequest &request, CallerWriter &writer,
                    StreamProgress &progress);

    Task<AttemptReport> run(const AttemptPlan &plan, const AttemptEvents &events);
    /// Ends the connection now; run() comes back soon.
    void interrupt();

private:
    using Message = boost::beast::http::request<boost::beast::http::span_body<const char>>;
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    Task<bool> open(const AttemptPlan &plan, AttemptReport &report);
    Message compose(const AttemptPlan &plan) const;
    Task<AttemptReport> talk(const AttemptPlan &plan, const AttemptEvents &events);
    /// Reads heads until one belongs to this request; false with the error set.
    Task<bool> readHead(std::optional<Parser> &parser, const AttemptEvents &events, NetError &error);
    Task<AttemptReport> passStream(Parser &parser, const AttemptEvents &events);
    Task<AttemptReport> readWhole(Parser &parser);
    AttemptReport brokenConnection(std::string message) const;
    Task<bool> readRest(Parser &parser, std::string &body, NetError &error);
    Task<bool> passEvents(Parser &parser, std::string_view bytes, const AttemptEvents &events);
    AttemptReport judgeWhole(Parser &parser, std::string body) const;
    void settle(Parser &parser, bool whole);

    ConnectionPool &pool_;
    const HeaderNames &names_;
    const CallerRequest &request_;
    CallerWriter &writer_;
    StreamProgress &progress_;
    std::unique_ptr<UpstreamConnection> connection_;
    UpstreamConnection *opening_ = nullptr;
    bool interrupted_ = false;
    std::optional<unsigned> toldSends_;
    /// The peer is a daemon of another region.
    bool remote_ = false;
    /// The answer ended as it should and nothing follows it.
    bool reusable_ = false;
};

/// Headers of an answer that may be passed on.
boost::beast::http::fields passableFields(const boost::beast::http::fields &fields);

} // namespace Portpaddle
