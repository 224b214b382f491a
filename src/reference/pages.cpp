// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "reference/pages.h"

#include "portpaddle/gateway/policy_settings.h"

#include "ctl/commands.h"
#include "portpaddle/base/log.h"
#include "portpaddle/base/metrics.h"
#include "portpaddle/settings/schema.h"

#include <fmt/format.h>

namespace Portpaddle {

namespace {

std::string pageHeading(std::string_view title)
{
    return fmt::format("# {}\n\nGenerated from the code by `portpaddle-reference`; do not edit.\n\n", title);
}

std::string allowedNodeKinds(unsigned bits)
{
    std::string text;
    for (unsigned kind = 0; kind <= static_cast<unsigned>(NodeKind::OrganisationService); ++kind) {
        if ((bits & (1U << kind)) != 0) {
            text += (text.empty() ? "" : ", ") + std::string(nameOf(static_cast<NodeKind>(kind)));
        }
    }
    return text;
}

std::string bounds(const KeyDescription &key)
{
    switch (key.type) {
    case ValueType::Number:
    case ValueType::Integer:
    case ValueType::NumberMap:
        return fmt::format("{} to {} {}", key.minimum, key.maximum, key.unit);
    case ValueType::Choice: {
        std::string text(key.choices);
        for (std::size_t at = text.find('|'); at != std::string::npos; at = text.find('|', at)) {
            text.replace(at, 1, " or ");
        }
        return text;
    }
    default:
        return std::string(key.unit);
    }
}

std::string metricRows(std::span<const MetricDescription> rows, std::string_view type)
{
    std::string text;
    for (const MetricDescription &row : rows) {
        text += fmt::format("| `{}` | {} | {} |\n", row.name, type, row.meaning);
    }
    return text;
}

} // namespace

std::string settingsPage()
{
    std::string text = pageHeading("Settings reference");
    text += "The settings form one tree, written as JSON with comments: an object that maps each path to an object of keys and "
            "values.\n"
            "The nodes below inherit a value unless one of them overrides it; null removes a key or a node.\n\n"
            "Paths: `/`, `/regions/R`, `/regions/R/data_centres/D`, `/regions/R/data_centres/D/upstreams/U`, `/services/S`,\n"
            "`/organisations/O`, `/organisations/O/services/S`.\n\n"
            "The value for a request comes from the first of these nodes that sets the key: the organisation's service, the "
            "organisation,\n"
            "the service, the data centre, the region, the root.\n\n"
            "| key | type | bounds | default | at | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const KeyDescription &key : settingsSchema()) {
        text += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", key.name, nameOf(key.type), bounds(key),
                            key.defaultJson.empty() ? "" : fmt::format("`{}`", key.defaultJson), allowedNodeKinds(key.allowedAt),
                            key.meaning);
    }
    return text;
}

std::string logEventsPage()
{
    std::string text = pageHeading("Log events");
    text += "Each line on standard error is one JSON object with `time_ms`, `source`, `event`, `name`, `level` and the members "
            "of the event.\n\n"
            "| event | name | level | meaning |\n| --- | --- | --- | --- |\n";
    for (const LogEventDescription &row : logCatalogue()) {
        text += fmt::format("| {} | `{}` | {} | {} |\n", static_cast<int>(row.event), row.name, row.level, row.meaning);
    }
    return text;
}

std::string metricsPage()
{
    std::string text = pageHeading("Metrics");
    text += "`GET /metrics` at the operator address, with the operator key, answers in the Prometheus text format. Quantiles\n"
            "are running estimates since the start of the daemon.\n\n"
            "| name | type | meaning |\n| --- | --- | --- |\n";
    return text + metricRows(counterCatalogue(), "counter") + metricRows(timerCatalogue(), "summary");
}

std::string policyPage()
{
    std::string text = pageHeading("Policy settings");
    text += "Weights of the routing decision and switches of the mechanisms of a daemon on the users' platform: the object "
            "`policy` of\n"
            "`deploy/settings.template`, read at the start and on SIGHUP. An unknown name or a value out of its bounds is an "
            "error.\n\n"
            "| name | type | default | meaning |\n| --- | --- | --- | --- |\n";
    for (const PolicySettingDescription &entry : policyCatalogue()) {
        text += fmt::format("| `{}` | {} | `{}` | {} |\n", entry.name, entry.type, entry.defaultValue, entry.meaning);
    }
    return text;
}

std::string commandLinePage()
{
    std::string text = pageHeading("Command line");
    text += "`portpaddlectl [OPTION...] COMMAND [ARGUMENT...]` sends the command to the daemon at `--daemon` or "
            "`PORTPADDLE_DAEMON`, with the\n"
            "operator key from `--key-file` or `PORTPADDLE_OPERATOR_KEY`. `--json` prints JSON. `portpaddlectl --help` lists all "
            "options.\n\n"
            "| command | meaning |\n| --- | --- |\n";
    for (const CommandDescription &command : commandCatalogue()) {
        text += fmt::format("| `{}` | {} |\n", command.usage, command.meaning);
    }
    return text
        + "\n| exit code | meaning |\n| --- | --- |\n"
          "| 0 | success |\n| 1 | refused |\n| 2 | usage error |\n| 3 | the VM is unreachable |\n"
          "| 4 | version conflict: the settings have changed since the expected version |\n"
          "| 5 | not found |\n| 6 | settings invalid |\n";
}

} // namespace Portpaddle
