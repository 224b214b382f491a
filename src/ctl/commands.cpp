// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "ctl/commands.h"

#include "portpaddle/base/file.h"
#include "portpaddle/settings/checker.h"
#include "portpaddle/settings/tree.h"

#include <array>
#include <functional>
#include <random>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

constexpr std::array<CommandDescription, 15> catalogue{ {
    { "status", "identity and settings version of the daemon, and whether the platform and the other daemons are reachable" },
    { "members", "all known daemons and their states" },
    { "engines", "upstreams of the data centre with load and health, and the capacity of other data centres" },
    { "explain REQUEST", "how a request was routed, with the setting behind each reason" },
    { "settings show PATH", "effective values at a path; --origin adds the node and version that set each value" },
    { "settings get", "the whole settings tree, in the file format of 'settings apply'" },
    { "settings check FILE", "check a settings file without a daemon" },
    { "settings diff FILE", "the changes that applying a file would make" },
    { "settings apply FILE",
      "propose the changes of a file; --expected-version rejects them if the settings have changed since that version" },
    { "settings set PATH KEY VALUE", "propose one change; VALUE is JSON, and null removes the key" },
    { "settings history", "accepted changes, oldest first" },
    { "settings revert VERSION", "propose a new version with the values of an old one" },
    { "orders", "orders that this daemon sent to engines while it held the lease, newest first" },
    { "drain", "let the daemon finish its requests and accept no new ones" },
    { "audit", "operator actions other than settings changes, newest first" },
} };

ExitCode exitCodeOf(const Error &error)
{
    switch (error.code) {
    case ErrorCode::PeerUnreachable:
        return ExitCode::Unreachable;
    case ErrorCode::VersionConflict:
        return ExitCode::Conflict;
    case ErrorCode::NotFound:
        return ExitCode::NotFound;
    case ErrorCode::SettingsInvalid:
        return ExitCode::Invalid;
    default:
        return ExitCode::Refused;
    }
}

ExitCode printError(const Error &error)
{
    fmt::print(stderr, "portpaddlectl: {}: {}\n", nameOf(error.code), error.message);
    return exitCodeOf(error);
}

std::string newChangeId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

std::string cellText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints rows with aligned columns. A column shows the JSON member of the same name.
void printTable(const nlohmann::json &rows, const std::vector<std::string> &columns)
{
    std::vector<std::size_t> widths;
    for (const std::string &column : columns) {
        std::size_t width = column.size();
        for (const nlohmann::json &row : rows) {
            width = std::max(width, cellText(row.value(column, nlohmann::json(""))).size());
        }
        widths.push_back(width);
    }
    const auto printLine = [&](const std::function<std::string(const std::string &)> &textOf) {
        for (std::size_t index = 0; index < columns.size(); ++index) {
            fmt::print("{:<{}}{}", textOf(columns[index]), widths[index], index + 1 == columns.size() ? "\n" : "  ");
        }
    };
    printLine([](const std::string &column) { return column; });
    for (const nlohmann::json &row : rows) {
        printLine([&](const std::string &column) { return cellText(row.value(column, nlohmann::json(""))); });
    }
}

void printFields(const nlohmann::json &json)
{
    for (const auto &[name, value] : json.items()) {
        fmt::print("{:<24}{}\n", name, cellText(value));
    }
}

ExitCode showList(const CommandLine &line, const Result<nlohmann::json> &reply, const char *member,
                  const std::vector<std::string> &columns)
{
    if (!isOk(reply)) {
        return printError(errorOf(reply));
    }
    if (line.json) {
        fmt::print("{}\n", valueOf(reply).dump(2));
    } else {
        printTable(valueOf(reply).value(member, nlohmann::json::array()), columns);
    }
    return ExitCode::Success;
}

ExitCode showStatus(const CommandLine &line, const AdminClient &client)
{
    const Result<nlohmann::json> reply = client.get("/admin/status");
    if (!isOk(reply)) {
        return printError(errorOf(reply));
    }
    if (line.json) {
        fmt::print("{}\n", valueOf(reply).dump(2));
    } else {
        printFields(valueOf(reply));
    }
    return ExitCode::Success;
}

ExitCode showEngines(const CommandLine &line, const AdminClient &client)
{
    const Result<nlohmann::json> reply = client.get("/admin/upstreams");
    const ExitCode code
        = showList(line, reply, "upstreams",
                   { "id", "address", "slots", "running", "queued_interactive", "queued_deferrable", "healthy", "leaving" });
    if (code == ExitCode::Success && !line.json && !valueOf(reply)["remote"].empty()) {
        fmt::print("\n");
        printTable(valueOf(reply)["remote"], { "service", "data_centre", "region", "capacity", "busy", "queued", "reachable" });
    }
    return code;
}

void printCandidate(const nlohmann::json &candidate)
{
    const std::string name
        = candidate.contains("upstream") ? candidate.value("upstream", "") : candidate.value("data_centre", "");
    fmt::print("    {:<20} {:<18} score {:8.1f}  wait {:8.1f} ms  prefill {:8.1f} ms", name, candidate.value("result", ""),
               candidate.value("score", 0.0), candidate.value("wait_ms", 0.0), candidate.value("prefill_ms", 0.0));
    if (candidate.contains("because_of")) {
        const nlohmann::json &origin = candidate["because_of"];
        fmt::print("  because of {} = {} at {} (version {})", origin.value("key", ""), origin["value"].dump(),
                   origin.value("set_at", ""), origin.value("version", 0));
    }
    fmt::print("\n");
}

ExitCode explainRequest(const CommandLine &line, const AdminClient &client)
{
    const Result<nlohmann::json> reply = client.get("/admin/explain", { { "request", line.words.at(1) } });
    if (!isOk(reply)) {
        return printError(errorOf(reply));
    }
    const nlohmann::json &trace = valueOf(reply);
    if (line.json) {
        fmt::print("{}\n", trace.dump(2));
        return ExitCode::Success;
    }
    fmt::print("request {} of {} to {}: {}\n", trace.value("request_id", ""), trace.value("organisation", ""),
               trace.value("service", ""), trace.value("outcome", ""));
    for (const nlohmann::json &step : trace["steps"]) {
        fmt::print("  {} under settings version {}: {}\n", step.value("verdict", ""), step.value("settings_version", 0),
                   step.value("outcome", ""));
        for (const nlohmann::json &candidate : step.value("candidates", nlohmann::json::array())) {
            printCandidate(candidate);
        }
        for (const nlohmann::json &origin : step.value("settings", nlohmann::json::array())) {
            fmt::print("    setting {:<26} = {:<14} from {} (version {})\n", origin.value("key", ""), origin["value"].dump(),
                       origin.value("set_at", ""), origin.value("version", 0));
        }
    }
    return ExitCode::Success;
}

ExitCode showSettings(const CommandLine &line, const AdminClient &client)
{
    const Result<nlohmann::json> reply = client.get("/admin/settings", { { "path", line.words.at(2) } });
    const std::vector<std::string> columns = line.origin ? std::vector<std::string>{ "key", "value", "set_at", "version" }
                                                         : std::vector<std::string>{ "key", "value" };
    return showList(line, reply, "values", columns);
}

Result<SettingsTree> currentTree(const AdminClient &client)
{
    const Result<nlohmann::json> reply = client.get("/admin/settings");
    return isOk(reply) ? SettingsTree::fromSnapshot(valueOf(reply).dump()) : Result<SettingsTree>(errorOf(reply));
}

ExitCode getSettings(const AdminClient &client)
{
    const Result<SettingsTree> tree = currentTree(client);
    if (!isOk(tree)) {
        return printError(errorOf(tree));
    }
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[path, node] : valueOf(tree).nodes()) {
        json[path] = nlohmann::json::object();
        for (const auto &[key, value] : node) {
            json[path][key] = value.value;
        }
    }
    fmt::print("// version {}\n{}\n", valueOf(tree).version(), json.dump(2));
    return ExitCode::Success;
}

Result<SettingsPatch> patchFromFile(const std::string &path)
{
    const Result<std::string> text = readFile(path);
    return isOk(text) ? parseSettings(valueOf(text), path) : Result<SettingsPatch>(errorOf(text));
}

ExitCode checkFile(const CommandLine &line)
{
    const Result<SettingsPatch> patch = patchFromFile(line.words.at(2));
    if (!isOk(patch)) {
        return printError(errorOf(patch));
    }
    const std::vector<SettingsProblem> problems = checkSettings(SettingsTree().with(valueOf(patch), 1));
    for (const SettingsProblem &problem : problems) {
        fmt::print("{}: {}\n", line.words.at(2), describe(problem));
    }
    if (problems.empty()) {
        fmt::print("{}: no problems found\n", line.words.at(2));
    }
    return problems.empty() ? ExitCode::Success : ExitCode::Invalid;
}

ExitCode diffFile(const CommandLine &line, const AdminClient &client)
{
    const Result<SettingsPatch> patch = patchFromFile(line.words.at(2));
    const Result<SettingsTree> tree = currentTree(client);
    if (!isOk(patch) || !isOk(tree)) {
        return printError(isOk(patch) ? errorOf(tree) : errorOf(patch));
    }
    const SettingsTree &present = valueOf(tree);
    for (const PatchEntry &entry : present.differenceTo(present.with(valueOf(patch), present.version() + 1))) {
        const ResolvedValue before = present.resolve(entry.path, entry.key);
        const bool setHere = before.path == entry.path;
        fmt::print("{} {}: {} -> {}\n", entry.path, entry.key, setHere ? before.value.dump() : "(none)",
                   entry.value.is_null() ? "(none)" : entry.value.dump());
    }
    return ExitCode::Success;
}

ExitCode propose(const CommandLine &line, const AdminClient &client, const std::string &path, nlohmann::json body)
{
    if (line.author.empty() || line.reason.empty()) {
        fmt::print(stderr, "portpaddlectl: --author and --reason are required for the audit trail\n");
        return ExitCode::Usage;
    }
    body["author"] = line.author;
    body["reason"] = line.reason;
    body["change_id"] = newChangeId();
    if (line.expectedVersion) {
        body["expected_version"] = *line.expectedVersion;
    }
    const Result<nlohmann::json> reply = client.post(path, body);
    if (!isOk(reply)) {
        return printError(errorOf(reply));
    }
    if (line.json) {
        fmt::print("{}\n", valueOf(reply).dump(2));
    } else {
        fmt::print("accepted as version {}\n", valueOf(reply).value("version", 0));
    }
    return ExitCode::Success;
}

ExitCode applyFile(const CommandLine &line, const AdminClient &client)
{
    const Result<SettingsPatch> patch = patchFromFile(line.words.at(2));
    if (!isOk(patch)) {
        return printError(errorOf(patch));
    }
    return propose(line, client, "/admin/settings", { { "patch", patchToJson(valueOf(patch)) } });
}

ExitCode setValue(const CommandLine &line, const AdminClient &client)
{
    const Result<nlohmann::json> value = parseJsonWithComments(line.words.at(4), "VALUE");
    if (!isOk(value)) {
        return printError(errorOf(value));
    }
    const SettingsPatch patch{ PatchEntry{ line.words.at(2), line.words.at(3), valueOf(value) } };
    return propose(line, client, "/admin/settings", { { "patch", patchToJson(patch) } });
}

ExitCode revert(const CommandLine &line, const AdminClient &client)
{
    const std::string &text = line.words.at(2);
    if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos) {
        fmt::print(stderr, "portpaddlectl: '{}' is not a version number\n", text);
        return ExitCode::Usage;
    }
    return propose(line, client, "/admin/settings/revert", { { "version", std::stoull(text) } });
}

ExitCode drain(const CommandLine &line, const AdminClient &client)
{
    if (line.author.empty() || line.reason.empty()) {
        fmt::print(stderr, "portpaddlectl: --author and --reason are required for the audit trail\n");
        return ExitCode::Usage;
    }
    const Result<nlohmann::json> reply = client.post("/admin/drain", { { "author", line.author }, { "reason", line.reason } });
    if (!isOk(reply)) {
        return printError(errorOf(reply));
    }
    fmt::print("draining, {} requests in progress\n", valueOf(reply).value("requests_in_progress", 0));
    return ExitCode::Success;
}

/// The words that select a command, the number of its arguments and the function that runs it.
struct Command
{
    std::vector<std::string> words;
    std::size_t arguments;
    std::function<ExitCode(const CommandLine &, const AdminClient &)> run;
};

const std::vector<Command> &commands()
{
    const auto limitParameter = [](const CommandLine &line) {
        return std::multimap<std::string, std::string>{ { "limit", std::to_string(line.limit) } };
    };
    static const std::vector<Command> table{
        { { "status" }, 0, showStatus },
        { { "members" },
          0,
          [](const CommandLine &line, const AdminClient &client) {
              return showList(line, client.get("/admin/members"), "members", { "id", "region", "data_centre", "entry", "state" });
          } },
        { { "engines" }, 0, showEngines },
        { { "explain" }, 1, explainRequest },
        { { "settings", "show" }, 1, showSettings },
        { { "settings", "get" }, 0, [](const CommandLine &, const AdminClient &client) { return getSettings(client); } },
        { { "settings", "check" }, 1, [](const CommandLine &line, const AdminClient &) { return checkFile(line); } },
        { { "settings", "diff" }, 1, diffFile },
        { { "settings", "apply" }, 1, applyFile },
        { { "settings", "set" }, 3, setValue },
        { { "settings", "history" },
          0,
          [limitParameter](const CommandLine &line, const AdminClient &client) {
              return showList(line, client.get("/admin/history", limitParameter(line)), "changes",
                              { "version", "author", "reason", "patch" });
          } },
        { { "settings", "revert" }, 1, revert },
        { { "orders" },
          0,
          [](const CommandLine &line, const AdminClient &client) {
              return showList(line, client.get("/admin/orders"), "orders",
                              { "time_ms", "upstream", "order", "subject", "fence", "outcome" });
          } },
        { { "drain" }, 0, drain },
        { { "audit" },
          0,
          [limitParameter](const CommandLine &line, const AdminClient &client) {
              return showList(line, client.get("/admin/audit", limitParameter(line)), "entries",
                              { "time_ms", "author", "daemon", "action", "reason", "outcome" });
          } },
    };
    return table;
}

} // namespace

std::span<const CommandDescription> commandCatalogue()
{
    return catalogue;
}

ExitCode runCommand(const CommandLine &line, const AdminClient &client)
{
    for (const Command &command : commands()) {
        const bool matches = line.words.size() >= command.words.size()
            && std::equal(command.words.begin(), command.words.end(), line.words.begin());
        if (!matches) {
            continue;
        }
        if (line.words.size() != command.words.size() + command.arguments) {
            fmt::print(stderr, "portpaddlectl: wrong number of arguments; see --help\n");
            return ExitCode::Usage;
        }
        return command.run(line, client);
    }
    fmt::print(stderr, "portpaddlectl: unknown command; see --help\n");
    return ExitCode::Usage;
}

} // namespace Portpaddle
