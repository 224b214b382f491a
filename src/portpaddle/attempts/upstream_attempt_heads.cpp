// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Heads of answers, what an upstream sends before its answer, and what is read only to be discarded. Each of it has a bound on
// bytes, on time and on their number, since an upstream in trouble may send without end.

#include "portpaddle/attempts/upstream_attempt.h"
#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/http_status.h"
#include "portpaddle/net/peer_bounds.h"

namespace Portpaddle {

namespace http = boost::beast::http;

Task<bool> UpstreamAttempt::readHead(std::optional<Parser> &parser, const AttemptCallbacks &callbacks, NetError &error)
{
    unsigned interim = 0;
    unsigned late = 0;
    while (interim <= PeerBounds::interimAnswers && late <= PeerBounds::lateAnswers) {
        parser.emplace();
        co_await readOneHead(*parser, error);
        if (!error && interrupted_) {
            error = boost::asio::error::operation_aborted;
        }
        if (error) {
            co_return false;
        }
        if (HttpStatus::isInformational(parser->get().result_int())) {
            ++interim;
            continue;
        }
        const std::string_view id = viewOf(parser->get()[names_.requestId]);
        if (id == request_.id || (id.empty() && isOwnRefusal(*parser, late))) {
            co_return true;
        }
        noteForeignAnswer(*parser, callbacks);
        nameless_ = id.empty();
        if (nameless_) {
            co_return false;
        }
        // This is a late answer to an earlier request on this connection; the answer to the current request follows it.
        ++late;
        const bool whole = co_await discardRest(*parser, PeerBounds::lateAnswerTime, error);
        if (!whole || !parser->keep_alive()) {
            co_return false;
        }
    }
    error = boost::asio::error::message_size;
    co_return false;
}

// Every answer of an upstream names its request, and a surplus one may stand in the place of the one that is due. Of an answer
// that names none it is therefore unknown whose it is, unless no other one can have come on this connection. Even then only a
// proof that nothing ran is taken: a success would reach the caller, and a failure promises nothing that a broken run doesn't.
bool UpstreamAttempt::isOwnRefusal(const Parser &parser, unsigned earlierAnswers) const
{
    return isFresh_ && !remote_ && earlierAnswers == 0 && provesNotRun(parser.get(), names_);
}

void UpstreamAttempt::noteForeignAnswer(const Parser &parser, const AttemptCallbacks &callbacks) const
{
    AnswerNotice notice = readNotice(parser.get(), names_, std::chrono::system_clock::now());
    notice.fromUpstream = false;
    // The answer may have waited on the idle connection for any time.
    notice.load = {};
    callbacks.headReceived(notice);
}

Task<void> UpstreamAttempt::readOneHead(Parser &parser, NetError &error)
{
    parser.header_limit(PeerBounds::answerHeadBytes);
    parser.body_limit(PeerBounds::answerBytes);
    if (request_.message.method() == http::verb::head) {
        parser.skip(true);
    }
    if (connection_->buffer.size() == 0) {
        co_await connection_->socket.async_wait(Socket::wait_read, awaitingInto(error));
        connection_->noteError(error);
        if (error) {
            co_return;
        }
    }
    const ConnectionTimeout timeout(*connection_, PeerBounds::answerHeadTime);
    co_await readAnswerHead(*connection_, parser, error);
    tooSlow_ = tooSlow_ || (error && !connection_->socket.is_open());
}

Task<bool> UpstreamAttempt::discardRest(Parser &parser, std::chrono::milliseconds maxTime, NetError &error)
{
    const ConnectionTimeout timeout(*connection_, maxTime);
    std::size_t discarded = 0;
    while (!parser.is_done()) {
        co_await readMore(*connection_, parser, error);
        discarded += parser.get().body().size();
        parser.get().body().clear();
        if (error || discarded > PeerBounds::discardedBytes) {
            tooSlow_ = tooSlow_ || (error && !connection_->socket.is_open());
            co_return false;
        }
    }
    co_return true;
}

void UpstreamAttempt::addFactsOfHead(AttemptReport &report) const
{
    report.relayedSends = relayedSends_;
    report.turnedAway = turnedAway_;
    if (remote_) {
        report.ranAt = decodeUpstreamKeys(viewOf(head_[ranAtHeader]));
    }
}

// A daemon that does not know the header may have continued the stream anywhere.
bool UpstreamAttempt::namesVersion(const boost::beast::http::fields &fields) const
{
    return !remote_ || !progress_.version || decodeVersionKey(viewOf(fields[streamVersionHeader])) == progress_.version;
}

} // namespace Portpaddle
