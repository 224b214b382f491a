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

std::string heading(std::string_view title)
{
    return fmt::format("# {}\n\nMade from the code by `portpaddle-reference`; do not edit.\n\n", title);
}

std::string allowedNodes(unsigned bits)
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
    std::string text = heading("Settings reference");
    text += "Settings are one tree, written as JSON with comments: an object whose members are paths and whose values are "
            "objects of keys.\n"
            "A value is inherited by the nodes below unless one of them overrides it; null removes a key or a node.\n\n"
            "Paths: `/`, `/regions/R`, `/regions/R/data_centres/D`, `/regions/R/data_centres/D/upstreams/U`, `/services/S`,\n"
            "`/organisations/O`, `/organisations/O/services/S`.\n\n"
            "For a request the first of these that has the key decides: the organisation's service, the organisation, the "
            "service, the\n"
            "data centre, the region, the root.\n\n"
            "| key | type | bounds | default | at | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const KeyDescription &key : settingsSchema()) {
        text += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", key.name, nameOf(key.type), bounds(key),
                            key.defaultJson.empty() ? "" : fmt::format("`{}`", key.defaultJson), allowedNodes(key.allowedAt),
                            key.meaning);
    }
    return text;
}

std::string logEventsPage()
{
    std::string text = heading("Log events");
    text += "Each line on standard error is one JSON object with `time_ms`, `source`, `event`, `name`, `level` and the event's "
            "own members.\n\n"
            "| event | name | level | meaning |\n| --- | --- | --- | --- |\n";
    for (const LogEventDescription &row : logCatalogue()) {
        text += fmt::format("| {} | `{}` | {} | {} |\n", static_cast<int>(row.event), row.name, row.level, row.meaning);
    }
    return text;
}

std::string metricsPage()
{
    std::string text = heading("Metrics");
    text += "`GET /metrics` at the operators' address, with the operators' key, in the text format that common scrapers read. "
            "Quantiles\n"
            "are running estimates since the start of the daemon.\n\n"
            "| name | type | meaning |\n| --- | --- | --- |\n";
    return text + metricRows(counterCatalogue(), "counter") + metricRows(timerCatalogue(), "summary");
}

std::string policyPage()
{
    std::string text = heading("Policy settings");
    text += "How a daemon on the users' platform weighs, and which mechanisms it uses: the object `policy` of\n"
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
    std::string text = heading("Command line");
    text += "`portpaddlectl [OPTION...] COMMAND [ARGUMENT...]` asks the daemon at `--daemon` or in `PORTPADDLE_DAEMON`, with the "
            "operators' key\n"
            "in `--key-file` or `PORTPADDLE_OPERATOR_KEY`. `--json` prints JSON. `portpaddlectl --help` lists all options.\n\n"
            "| command | what it does |\n| --- | --- |\n";
    for (const CommandDescription &command : commandCatalogue()) {
        text += fmt::format("| `{}` | {} |\n", command.usage, command.meaning);
    }
    return text
        + "\n| exit code | meaning |\n| --- | --- |\n"
          "| 0 | done |\n| 1 | refused |\n| 2 | wrong usage |\n| 3 | the VM cannot be reached |\n| 4 | others were faster |\n"
          "| 5 | not found |\n| 6 | settings invalid |\n";
}

} // namespace Portpaddle
