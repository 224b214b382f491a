// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Sends a request once, to an upstream or to another daemon, and forwards the answer.
#pragma once

#include "portpaddle/attempts/answer_reading.h"
#include "portpaddle/attempts/upstream_connection.h"
#include "portpaddle/callers/caller_request.h"
#include "portpaddle/callers/caller_writer.h"
#include "portpaddle/interfaces/attempt_target.h"
#include "portpaddle/net/answer_framing.h"
#include "portpaddle/net/received_body.h"
#include "portpaddle/store_following/service_map.h"
#include "portpaddle/streams/event_splitter.h"
#include "portpaddle/upstream_notices/answer_notice.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>

#include <functional>
#include <optional>

namespace Portpaddle {

/// Between daemons, on an answer: no upstream ran the request and none will.
inline constexpr const char *relayOutcomeHeader = "X-Portpaddle-Outcome";
inline constexpr const char *relayNotRun = "not_run";
/// Between daemons, on a request: milliseconds since the request reached the first daemon.
inline constexpr const char *relayAgeHeader = "X-Portpaddle-Age-Ms";
/// Between daemons: number of times that the request was sent to an upstream. On a request the sends so far, on an answer the
/// sends by the answering daemon.
inline constexpr const char *relaySendsHeader = "X-Portpaddle-Sends";
/// Between daemons, on a refusal: the answering daemon does not reach the upstreams.
inline constexpr const char *relayCutOffHeader = "X-Portpaddle-Cut-Off";
/// Between daemons, on a request: number of events of the stream that the caller has received.
inline constexpr const char *relayEventsHeader = "X-Portpaddle-Events";
/// Maximum number of events that is believed of another daemon.
inline constexpr unsigned maxReportedEvents = 1'000'000;
/// Maximum number of sends that is believed of another daemon; routes allow only a few sends of one request.
inline constexpr unsigned maxReportedSends = 100;
/// Between daemons, on a request: the organisation whose key the first daemon has checked.
inline constexpr const char *relayOrganisationHeader = "X-Portpaddle-Organisation";

/// How much of a stream has reached the caller; kept across the attempts of one request.
struct StreamProgress
{
    /// The head was sent to the caller.
    bool begun = false;
    EventSplitter splitter;
    /// The version whose upstream wrote the first event; no value before that event, or where it is not known.
    std::optional<VersionKey> version;
};

/// What an answer tells the daemon that forwarded the request.
struct RelayReport
{
    /// Number of sends by the answering daemon.
    unsigned sends = 0;
    /// Those of its upstreams that may have run the request.
    UpstreamKeys ranAt;
};
/// Adds the headers of @p report to those of an answer.
void setRelayReport(boost::beast::http::fields &fields, const RelayReport &report);

/// The target of one attempt and the values of the headers that the attempt sets.
struct AttemptPlan
{
    /// Key of the target in the connection pool.
    std::string peer;
    std::string address;
    /// Set for an upstream: the incarnation that is to run the request.
    std::string expectedUpstream;
    /// Its version; another daemon names the version in its answer.
    std::optional<VersionKey> upstreamVersion;
    std::chrono::milliseconds connectTimeout{ 500 };
    std::chrono::milliseconds timeLeft{ 0 };
    /// The source from which the memory of this run was moved; empty for a run that starts anew.
    std::string memoryFrom;
    /// The continuation that another daemon is to resume.
    std::optional<Continuation> continuation;
    /// Address of the engine from which cached parts of the prompt are to be fetched.
    std::string fetchFrom;
    /// Set for another daemon: the age of the request when it arrives there.
    std::optional<std::chrono::milliseconds> age;
    /// Set for another daemon: the configuration under which the request is sent.
    std::optional<ConfigurationStamp> acceptedUnder;
    /// Number of times that the request was sent to an upstream before.
    unsigned earlierSends = 0;
    /// Set for another daemon: number of events of the stream that the caller has received.
    std::size_t eventsSeen = 0;
    /// Set for another daemon: the upstreams that may have run the request.
    UpstreamKeys ranAt;
    /// Set if the answer goes to another daemon.
    std::optional<RelayReport> relayReport;
    unsigned priority = 5;
    bool streamed = false;
    /// Id of the last event that the caller has of a stream which it takes up; empty if it takes up none.
    std::string takenUpAfter;
    /// The attempt is made beside another one, which a failure must not replace.
    bool besideAnother = false;
    /// The organisation that the request belongs to; empty if no key is needed.
    std::string organisation;
    /// The caller's key is not forwarded.
    bool removesAuthorization = false;
};

/// How an attempt ended.
struct AttemptReport
{
    AttemptEnd end = AttemptEnd::Complete;
    Error error;
    /// What delimits the answer that was received.
    BodyFraming framing = BodyFraming::None;
    /// A complete answer that was not streamed; the caller receives it unless another attempt follows.
    std::optional<WholeAnswer> bufferedAnswer;
    /// The request was sent by this daemon.
    bool sent = false;
    /// The connection ended before the answer was complete, and this daemon did not close it.
    bool connectionBroke = false;
    /// No process listens at the address.
    bool connectionRefused = false;
    /// Another incarnation answered at the address, so the expected one is gone.
    bool incarnationEnded = false;
    /// The target asked this daemon to back off, whether or not it ran the request.
    bool turnedAway = false;
    /// The connection was open, but the request was not sent because the target no longer accepts requests.
    bool withheld = false;
    /// What came in place of the rest of a stream is none: its events do not go on where the caller's end.
    bool isRestOutOfOrder = false;
    /// The target is a daemon that refused the request because it does not reach the upstreams.
    bool peerCutOff = false;
    /// The target is a daemon that refused the request because its configuration is older.
    bool peerOlder = false;
    /// Number of times that another daemon says it sent the request to an upstream.
    std::optional<unsigned> relayedSends;
    /// The upstreams that may have run the request, as another daemon names them.
    UpstreamKeys ranAt;
    /// Where the stream can be continued if another daemon stops before its end.
    std::optional<Continuation> continuation;
};

/// Callbacks for the progress of an attempt; all of them must be set, except connected and streamBegins.
struct AttemptCallbacks
{
    /// A new connection was opened.
    std::function<void()> connected = [] {};
    /// Whether the target still accepts requests; called once the connection is open, as this may have changed meanwhile.
    std::function<bool()> maySend;
    /// The request is about to be sent.
    std::function<void()> sending;
    /// The head of an answer arrived, possibly of a late answer to an earlier request.
    std::function<void(const AnswerNotice &notice)> headReceived;
    /// The head of an answer arrived that is to be received: no refusal, no failure, and the rest of a stream that has begun.
    std::function<void()> answerBegins = [] {};
    /// The first event of a stream is about to be passed on, and the version that wrote it is known as far as it can be.
    std::function<void()> streamBegins = [] {};
    /// The first bytes of a stream arrived.
    std::function<void()> firstEvent;
    /// This number of complete events of a stream arrived.
    std::function<void(std::size_t)> eventsReceived;
    /// Bytes of a stream arrived.
    std::function<void()> bytesReceived;
};

/// Runs one attempt.
class UpstreamAttempt
{
public:
    /// Complete answers are held within @p answerMemory until their end.
    UpstreamAttempt(ConnectionPool &pool, MemoryBudget &answerMemory, const HeaderNames &names, const CallerRequest &request,
                    CallerWriter &writer, StreamProgress &progress);

    /// Performs the whole attempt: start(), and receive() if that has left an answer to receive.
    Task<AttemptReport> run(const AttemptPlan &plan, const AttemptCallbacks &callbacks);
    /// Sends the request and reads the head of the answer, of which nothing reaches the caller yet. Returns the report of an
    /// attempt that has ended with it; no value if receive() is to follow.
    Task<std::optional<AttemptReport>> start(const AttemptPlan &plan, const AttemptCallbacks &callbacks);
    /// Passes on the answer whose head start() has read.
    Task<AttemptReport> receive(const AttemptCallbacks &callbacks);
    /// Closes the connection at once; a call in progress returns soon after.
    void interrupt();
    /// Gives up the answer whose head start() has read; nothing is received.
    void discard();
    /// Whether bytes of the answer are being written to the caller, who may be slow.
    bool isPassingOn() const;
    /// Ends the connection after an exception has left start() or receive(); returns whether the request may have been sent.
    bool abandon();

private:
    using Message = boost::beast::http::request<boost::beast::http::span_body<const char>>;
    using Parser = AnswerParser;

    Task<bool> openConnection(const AttemptPlan &plan, const AttemptCallbacks &callbacks, AttemptReport &report);
    Message composeRequest(const AttemptPlan &plan) const;
    void releaseConnection();
    Task<std::optional<AttemptReport>> sendRequest(const AttemptPlan &plan, const AttemptCallbacks &callbacks);
    /// Reads the rest of a refusal and reports it.
    Task<AttemptReport> discardRefusal(const AttemptPlan &plan);
    /// Returns why the answer with this head must not take the place of another attempt's; no value if it may.
    std::optional<AttemptReport> unfitToReplace() const;
    Task<AttemptReport> receiveAnswer(const AttemptCallbacks &callbacks);
    /// Reads heads until one belongs to this request; returns false, with @p error set if reading failed, if none does.
    Task<bool> readHead(std::optional<Parser> &parser, const AttemptCallbacks &callbacks, NetError &error);
    /// Whether the answer with this head, which names no request, can only be that of this request: a refusal that is the first
    /// answer of its connection.
    bool isOwnRefusal(const Parser &parser, unsigned earlierAnswers) const;
    /// Passes on what the head of an answer that belongs to another request, or to none, tells about its upstream.
    void noteForeignAnswer(const Parser &parser, const AttemptCallbacks &callbacks) const;
    /// Whether the answer with this head to a streamed request is a stream, or the rest of the one that has begun.
    bool isStream(const Parser &parser) const;
    Task<AttemptReport> forwardStream(Parser &parser, const AttemptCallbacks &callbacks);
    Task<AttemptReport> readWholeAnswer(Parser &parser, const AttemptCallbacks &callbacks);
    /// Passes an answer for which there is no memory on to the caller as it arrives.
    Task<AttemptReport> passOn(Parser &parser);
    /// Returns why the answer with this head must not reach the caller; no value if it may.
    std::optional<AttemptReport> rejectionOf(const Parser &parser) const;
    AttemptReport brokenConnection(std::string message) const;
    /// Adds what the head of the answer tells about the attempt, whichever way it ended.
    void addFactsOfHead(AttemptReport &report) const;
    /// Reads the next head.
    Task<void> readOneHead(Parser &parser, NetError &error);
    /// Reads a short body to its end within @p maxTime; returns false if it is cut, too long or too slow.
    Task<bool> discardRest(Parser &parser, std::chrono::milliseconds maxTime, NetError &error);
    /// Whether the head of a stream in progress names its version, where another daemon continues it.
    bool namesVersion(const boost::beast::http::fields &fields) const;
    /// Sends the head to the caller; returns false if the caller is gone.
    Task<bool> beginStream(const Parser &parser, const AttemptCallbacks &callbacks);
    /// Reports that the answer is no rest of the stream, as @p event shows.
    AttemptReport noRest(const EventOutOfOrder &event);
    /// @p ended tells whether @p bytes are the last ones of the stream.
    Task<bool> forwardEvents(Parser &parser, std::string_view bytes, bool ended, const AttemptCallbacks &callbacks);
    AttemptReport evaluateWholeAnswer(Parser &parser, MemoryShare memory) const;
    /// Returns the fields of the answer that the caller receives.
    boost::beast::http::fields fieldsForCaller(const Parser &parser) const;
    void updateReusable(Parser &parser, bool whole);

    ConnectionPool &pool_;
    MemoryBudget &answerMemory_;
    const HeaderNames &names_;
    const CallerRequest &request_;
    CallerWriter &writer_;
    StreamProgress &progress_;
    std::unique_ptr<UpstreamConnection> connection_;
    UpstreamConnection *opening_ = nullptr;
    bool interrupted_ = false;
    bool isPassingOn_ = false;
    /// The connection had carried nothing when the request was written.
    bool isFresh_ = false;
    /// An answer that names no request came in the place of the one that is due.
    bool nameless_ = false;
    /// The request was sent, or is about to be.
    bool sending_ = false;
    /// The connection was closed because what came on it took too long.
    bool tooSlow_ = false;
    /// Key of the target in the connection pool.
    std::string peer_;
    bool streamed_ = false;
    std::string takenUpAfter_;
    /// The answer that is being read.
    std::optional<Parser> parser_;
    /// The fields of its head. The parser adds those of the trailer to its own, where they would count as headers.
    boost::beast::http::fields head_;
    std::optional<unsigned> relayedSends_;
    bool turnedAway_ = false;
    std::optional<RelayReport> relayReport_;
    std::optional<VersionKey> upstreamVersion_;
    /// The peer is another daemon.
    bool remote_ = false;
    /// The answer was complete and the connection can serve another request.
    bool reusable_ = false;
};

/// Returns the report of an attempt that was sent and failed.
AttemptReport failedAttempt(AttemptEnd end, ErrorCode code, std::string message);
/// Returns the headers of an answer that may be forwarded.
boost::beast::http::fields forwardableFields(const boost::beast::http::fields &fields);

} // namespace Portpaddle
