// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/daemon/admin_server.h"

#include "portpaddle/base/digest.h"
#include "portpaddle/base/json_text.h"
#include "portpaddle/base/log.h"
#include "portpaddle/daemon/daemon.h"
#include "portpaddle/entry/caller_answers.h"
#include "portpaddle/settings/schema.h"

#include <fmt/format.h>
#include <httplib.h>

namespace Portpaddle {

namespace {

constexpr std::size_t adminThreads = 16;
constexpr std::size_t maxProposalBytes = 4 * 1024 * 1024;
constexpr std::size_t defaultLimit = 50;
constexpr std::size_t maxLimit = 10'000;

void answer(httplib::Response &response, const nlohmann::json &json)
{
    response.set_content(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

void respondWithError(httplib::Response &response, const Error &error)
{
    writeError(error, "", response);
}

Error badRequest(std::string message)
{
    return Error{ ErrorCode::BadRequest, std::move(message), RunState::NotRun, std::nullopt };
}

std::optional<std::uint64_t> numberParameter(const httplib::Request &request, const char *name)
{
    constexpr std::size_t maxDigits = 18;
    const std::string text = request.get_param_value(name);
    if (text.empty() || text.size() > maxDigits || text.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::stoull(text);
}

std::size_t limitParameter(const httplib::Request &request)
{
    return std::min<std::size_t>(numberParameter(request, "limit").value_or(defaultLimit), maxLimit);
}

/// Returns the paths whose values apply at @p path. For an organisation's service they include the service and the place.
std::vector<std::string> settingsChainOf(const std::string &path, NodeKind kind, const Place &place)
{
    if (kind != NodeKind::OrganisationService) {
        return inheritanceChain(path);
    }
    const std::string organisationPath = parentPath(path);
    const auto lastName = [](const std::string &text) { return text.substr(text.rfind('/') + 1); };
    return requestChain(lastName(organisationPath), lastName(path), place);
}

nlohmann::json describeChange(const SettingsChange &change)
{
    return { { "version", change.version },
             { "change_id", change.changeId },
             { "author", change.author },
             { "from", change.from },
             { "reason", change.reason },
             { "time_ms", change.wallMs },
             { "patch", patchToJson(change.patch) },
             { "before", patchToJson(change.before) } };
}

/// Reads the members that all proposals have; an error names the first missing one.
Result<ChangeProposal> proposalFrom(const nlohmann::json &json, const std::string &from)
{
    if (!json.is_object()) {
        return badRequest("the request must be a JSON object");
    }
    for (const char *name : { "author", "reason", "change_id" }) {
        if (!json.contains(name) || !json[name].is_string() || json[name].get_ref<const std::string &>().empty()) {
            return badRequest(fmt::format("'{}' must be a non-empty string", name));
        }
    }
    ChangeProposal proposal;
    proposal.author = json["author"].get<std::string>();
    proposal.reason = json["reason"].get<std::string>();
    proposal.changeId = json["change_id"].get<std::string>();
    proposal.from = from;
    if (json.contains("expected_version") && json["expected_version"].is_number_unsigned()) {
        proposal.expectedVersion = json["expected_version"].get<std::uint64_t>();
    }
    return proposal;
}

} // namespace

AdminServer::AdminServer(Daemon &daemon)
    : daemon_(daemon), server_("admin", HttpServerLimits{ .maximumThreads = adminThreads, .maximumBodyBytes = maxProposalBytes })
{
    addRoutes();
}

Result<SocketAddress> AdminServer::start(const SocketAddress &address)
{
    return server_.start(address);
}

void AdminServer::stop()
{
    server_.stop();
}

void AdminServer::addRoutes()
{
    const auto bind = [this](Route route) {
        return [this, route](const httplib::Request &request, httplib::Response &response) {
            handleAuthenticated(request, response, route);
        };
    };
    httplib::Server &routes = server_.routes();
    routes.Get("/admin/status", bind(&AdminServer::status));
    routes.Get("/admin/members", bind(&AdminServer::members));
    routes.Get("/admin/upstreams", bind(&AdminServer::upstreams));
    routes.Get("/admin/settings", bind(&AdminServer::showSettings));
    routes.Post("/admin/settings", bind(&AdminServer::proposeSettings));
    routes.Post("/admin/settings/revert", bind(&AdminServer::revertSettings));
    routes.Get("/admin/history", bind(&AdminServer::history));
    routes.Get("/admin/audit", bind(&AdminServer::audit));
    routes.Get("/admin/explain", bind(&AdminServer::explainRequest));
    routes.Get("/admin/orders", bind(&AdminServer::orders));
    routes.Post("/admin/drain", bind(&AdminServer::drain));
    routes.Get("/metrics", bind(&AdminServer::metrics));
}

void AdminServer::handleAuthenticated(const httplib::Request &request, httplib::Response &response, Route route)
{
    const std::string expected = "Bearer " + daemon_.config().operatorKey;
    if (!equalInConstantTime(request.get_header_value("Authorization"), expected)) {
        return respondWithError(
            response, Error{ ErrorCode::Unauthenticated, "the operator key is required", RunState::NotRun, std::nullopt });
    }
    (this->*route)(request, response);
}

void AdminServer::status(const httplib::Request &, httplib::Response &response)
{
    Blackboard &board = daemon_.board();
    const std::shared_ptr<const MemberTable> table = board.members.read();
    const auto alive
        = std::count_if(table->members.begin(), table->members.end(), [](const MemberView &member) { return member.alive; });
    answer(response,
           { { "daemon", daemon_.config().id },
             { "region", daemon_.config().place.region },
             { "data_centre", daemon_.config().place.dataCentre },
             { "settings_version", board.settings.read()->version() },
             { "platform_reachable", board.platform.read()->reachable },
             { "draining", board.draining.load() },
             { "cut_off", table->partitioned },
             { "daemons_alive", alive },
             { "requests_in_progress", daemon_.requestsInProgress() },
             { "audit_entries_waiting", daemon_.audit().waiting() } });
}

void AdminServer::members(const httplib::Request &, httplib::Response &response)
{
    nlohmann::json list = nlohmann::json::array();
    for (const MemberView &member : daemon_.board().members.read()->members) {
        const char *state = !member.alive ? "dead" : member.leaving ? "leaving" : member.suspected ? "suspected" : "alive";
        list.push_back({ { "id", member.id },
                         { "region", member.region },
                         { "data_centre", member.dataCentre },
                         { "entry", member.entryAddress },
                         { "state", state } });
    }
    answer(response, { { "members", list } });
}

void AdminServer::upstreams(const httplib::Request &, httplib::Response &response)
{
    const std::shared_ptr<const RoutingSnapshot> snapshot = daemon_.board().routing.read();
    nlohmann::json list = nlohmann::json::array();
    for (const UpstreamView &view : snapshot->upstreams) {
        list.push_back({ { "id", view.id },
                         { "address", view.address },
                         { "slots", view.slots },
                         { "running", view.load.running },
                         { "queued_interactive", view.load.queuedInteractive },
                         { "queued_deferrable", view.load.queuedDeferrable },
                         { "healthy", view.healthy },
                         { "admitted", view.admitted },
                         { "leaving", nameOf(view.leaving) } });
    }
    nlohmann::json remote = nlohmann::json::array();
    for (const auto &[service, routes] : snapshot->routes) {
        for (const RemoteView &view : routes.remote) {
            remote.push_back({ { "service", service },
                               { "data_centre", view.dataCentre },
                               { "region", view.region },
                               { "capacity", view.capacity },
                               { "busy", view.busy },
                               { "queued", view.queued },
                               { "reachable", view.reachable } });
        }
    }
    answer(response, { { "upstreams", list }, { "remote", remote } });
}

void AdminServer::showSettings(const httplib::Request &request, httplib::Response &response)
{
    const SettingsTree tree = daemon_.settings().tree();
    const std::string path = request.get_param_value("path");
    if (path.empty()) {
        return answer(response, tree.toSnapshot());
    }
    const std::optional<NodeKind> kind = kindOfPath(path);
    if (!kind) {
        return respondWithError(response, badRequest(fmt::format("'{}' is not a path of the settings", path)));
    }
    const std::vector<std::string> chain = settingsChainOf(path, *kind, daemon_.config().place);
    nlohmann::json values = nlohmann::json::array();
    for (const KeyDescription &key : settingsSchema()) {
        if ((key.allowedAt & bitOf(*kind)) == 0) {
            continue;
        }
        const ResolvedValue resolved = tree.resolve(chain, std::string(key.name));
        values.push_back(
            { { "key", key.name }, { "value", resolved.value }, { "set_at", resolved.path }, { "version", resolved.version } });
    }
    answer(
        response,
        { { "path", path }, { "exists", tree.nodes().count(path) != 0 }, { "version", tree.version() }, { "values", values } });
}

void AdminServer::proposeSettings(const httplib::Request &request, httplib::Response &response)
{
    propose(request, response, [](const nlohmann::json &json, ChangeProposal &proposal) -> Status {
        const Result<SettingsPatch> patch = parseSettings(json.value("patch", nlohmann::json()).dump(), "patch");
        if (!isOk(patch)) {
            return errorOf(patch);
        }
        proposal.patch = valueOf(patch);
        return success();
    });
}

void AdminServer::revertSettings(const httplib::Request &request, httplib::Response &response)
{
    propose(request, response, [this](const nlohmann::json &json, ChangeProposal &proposal) -> Status {
        if (!json.contains("version") || !json["version"].is_number_unsigned()) {
            return badRequest("'version' must name the version to restore");
        }
        const SettingsTree present = daemon_.settings().tree();
        const Result<SettingsPatch> patch = daemon_.settingsLog().patchRestoring(json["version"].get<std::uint64_t>(), present);
        if (!isOk(patch)) {
            return errorOf(patch);
        }
        proposal.patch = valueOf(patch);
        // The patch was computed against this version: without the check it could undo concurrent changes unnoticed.
        proposal.expectedVersion = present.version();
        return success();
    });
}

void AdminServer::propose(const httplib::Request &request, httplib::Response &response, const ProposalFiller &fill)
{
    const Result<nlohmann::json> parsed = parseJsonWithComments(request.body, "request");
    if (!isOk(parsed)) {
        return respondWithError(response, errorOf(parsed));
    }
    Result<ChangeProposal> proposal = proposalFrom(valueOf(parsed), request.remote_addr);
    if (!isOk(proposal)) {
        return respondWithError(response, errorOf(proposal));
    }
    const Status filled = fill(valueOf(parsed), valueOf(proposal));
    if (!isOk(filled)) {
        return respondWithError(response, errorOf(filled));
    }
    const Result<SettingsChange> accepted = daemon_.proposeSettings(valueOf(proposal));
    if (!isOk(accepted)) {
        return respondWithError(response, errorOf(accepted));
    }
    answer(response, describeChange(valueOf(accepted)));
}

void AdminServer::history(const httplib::Request &request, httplib::Response &response)
{
    const std::uint64_t newest = daemon_.settings().version();
    const std::size_t limit = limitParameter(request);
    SettingsLog log = daemon_.settingsLog();
    const Result<std::vector<SettingsChange>> changes = log.after(newest > limit ? newest - limit : 0, limit);
    if (!isOk(changes)) {
        return respondWithError(response, errorOf(changes));
    }
    nlohmann::json list = nlohmann::json::array();
    for (const SettingsChange &change : valueOf(changes)) {
        list.push_back(describeChange(change));
    }
    answer(response, { { "changes", list } });
}

void AdminServer::audit(const httplib::Request &request, httplib::Response &response)
{
    const Result<std::vector<AuditEntry>> entries = daemon_.audit().newest(limitParameter(request));
    if (!isOk(entries)) {
        return respondWithError(response, errorOf(entries));
    }
    nlohmann::json list = nlohmann::json::array();
    for (const AuditEntry &entry : valueOf(entries)) {
        list.push_back(toJson(entry));
    }
    answer(response, { { "entries", list } });
}

void AdminServer::explainRequest(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = request.get_param_value("request");
    const std::optional<std::string> text = daemon_.findExplanation(id);
    if (!text) {
        return respondWithError(response,
                                Error{ ErrorCode::NotFound,
                                       "there is no trace of the request; it may be too old, its daemon may be gone, or its data "
                                       "may not leave its region",
                                       RunState::NotRun, std::nullopt });
    }
    response.set_content(*text, "application/json");
}

void AdminServer::orders(const httplib::Request &, httplib::Response &response)
{
    nlohmann::json list = nlohmann::json::array();
    for (const OrderRecord &record : daemon_.orders().recent()) {
        list.push_back({ { "time_ms", record.wallMs },
                         { "upstream", record.order.upstream },
                         { "order", nameOf(record.order.kind) },
                         { "subject", record.order.subject },
                         { "fence", record.order.fence },
                         { "outcome", record.outcome } });
    }
    answer(response, { { "holder", daemon_.orders().holdsLease() }, { "orders", list } });
}

void AdminServer::drain(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json json = parseJson(request.body);
    const bool valid = json.is_object() && json.contains("author") && json["author"].is_string() && json.contains("reason")
        && json["reason"].is_string();
    if (!valid) {
        return respondWithError(response, badRequest("'author' and 'reason' are required and must be strings"));
    }
    logEvent(LogEvent::DrainOrdered, { { "author", json["author"].get<std::string>() } });
    daemon_.beginDrain();
    AuditEntry entry;
    entry.author = json["author"].get<std::string>();
    entry.reason = json["reason"].get<std::string>();
    entry.from = request.remote_addr;
    entry.action = "drain";
    entry.outcome = "draining";
    daemon_.audit().record(std::move(entry));
    answer(response, { { "draining", true }, { "requests_in_progress", daemon_.requestsInProgress() } });
}

void AdminServer::metrics(const httplib::Request &, httplib::Response &response)
{
    response.set_content(daemon_.metrics().text(), "text/plain; version=0.0.4");
}

} // namespace Portpaddle
