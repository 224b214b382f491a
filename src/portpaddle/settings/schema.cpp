// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/settings/schema.h"

#include "portpaddle/base/name_table.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <vector>

namespace Portpaddle {

namespace {

constexpr NameTable<NodeKind, 7> nodeKindNames{ { "root", "region", "data_centre", "upstream", "service", "organisation",
                                                  "organisation_service" } };
constexpr NameTable<ValueType, 7> valueTypeNames{ { "number", "integer", "boolean", "text", "choice", "list of texts",
                                                    "map of numbers" } };

constexpr unsigned atUpstream = bitOf(NodeKind::Upstream);
constexpr unsigned atService = bitOf(NodeKind::Service);
constexpr unsigned atPlace = bitOf(NodeKind::Region) | bitOf(NodeKind::DataCentre);
constexpr unsigned atRequest
    = bitOf(NodeKind::Root) | bitOf(NodeKind::Service) | bitOf(NodeKind::Organisation) | bitOf(NodeKind::OrganisationService);
constexpr unsigned atRequestOrPlace = atRequest | atPlace;
constexpr double anyLimit = 1e9;
constexpr double longestMillis = 86'400'000;

// Sorted by name: the reference page and the nearest-key search rely on it.
constexpr std::array<KeyDescription, 29> schema{ {
    { "address", ValueType::Text, "host:port", 0, 0, "", "", atUpstream,
      "Where the upstream listens, as an IP number and a port." },
    { "at_most_once", ValueType::TextList, "METHOD path", 0, 0, "[]", "", atService,
      "Calls that may not be repeated: a method and a path; a path ending in * covers all below it." },
    { "away_margin_ms", ValueType::Number, "ms", 0, longestMillis, "20", "", atRequestOrPlace,
      "How much better another data centre must score before a request is sent away." },
    { "away_weight", ValueType::Number, "1", 0, 1000, "1", "", atRequestOrPlace,
      "Weight of sending a request away to another region." },
    { "checks_fence", ValueType::Boolean, "", 0, 0, "true", "", atUpstream,
      "Whether the engine itself refuses orders with an outdated fence." },
    { "checks_repeat_key", ValueType::Boolean, "", 0, 0, "false", "", atService,
      "Whether the upstreams themselves refuse a second call with the same Idempotency-Key." },
    { "class", ValueType::Choice, "", 0, 0, "\"interactive\"", "interactive|deferrable", atRequest,
      "Whether a request answers a person who waits, or work that may wait but must finish." },
    { "cost_weight", ValueType::Number, "1", 0, 1000, "1", "", atRequestOrPlace,
      "Weight of computation spent, above all on cold caches." },
    { "deadline_ms", ValueType::Integer, "ms", 1, longestMillis, "120000", "", atRequest,
      "Longest time from arrival to the last byte." },
    { "display_name", ValueType::Text, "", 0, 0, "\"\"", "", ~0U, "A name for people." },
    { "hop_limit", ValueType::Integer, "hops", 0, 8, "2", "", atRequest,
      "How often a request may be forwarded between data centres." },
    { "kind", ValueType::Choice, "", 0, 0, "\"model\"", "model|plain", atService,
      "Whether engines or plain upstreams serve it." },
    { "latency_weight", ValueType::Number, "1", 0, 1000, "1", "", atRequestOrPlace,
      "Weight of the predicted time to the first byte." },
    { "link_ms", ValueType::NumberMap, "ms", 0, 10'000, "{}", "", bitOf(NodeKind::Region),
      "One-way time to other regions, by name; regions not named count as 50 ms." },
    { "max_attempts", ValueType::Integer, "attempts", 1, 10, "3", "", atRequest,
      "Upstreams tried for one request in one data centre." },
    { "max_concurrent", ValueType::Integer, "requests", 0, anyLimit, "0", "", atRequest,
      "Requests of an organisation in progress over all daemons; 0 is no limit." },
    { "max_requests_per_second", ValueType::Number, "requests/s", 0, anyLimit, "0", "", atRequest,
      "Requests of an organisation a second over all daemons; 0 is no limit." },
    { "max_tokens_per_second", ValueType::Number, "tokens/s", 0, anyLimit, "0", "", atRequest,
      "Tokens of an organisation, asked and answered, a second over all daemons; 0 is no limit." },
    { "path_prefix", ValueType::Text, "", 0, 0, "\"\"", "", atService,
      "Paths of a plain service begin with this; none for models." },
    { "prefill_tokens_per_second", ValueType::Number, "tokens/s", 1, anyLimit, "20000", "", atRequestOrPlace,
      "How fast an engine reads a prompt that is not cached." },
    { "queue_limit_ms", ValueType::Integer, "ms", 0, longestMillis, "2000", "", atRequest,
      "Longest predicted wait at which an interactive request is still taken." },
    { "repeatable_methods", ValueType::TextList, "", 0, 0, "[\"GET\", \"HEAD\", \"OPTIONS\"]", "", atService,
      "Methods of a plain service that may be sent again when it is not known whether they ran." },
    { "residency", ValueType::TextList, "regions", 0, 0, "[]", "", atRequest,
      "Regions in which a request and its data may be; an empty list allows every region." },
    { "retry_budget_percent", ValueType::Number, "%", 0, 100, "10", "", atRequestOrPlace,
      "Retries allowed per hundred requests of a daemon." },
    { "services", ValueType::TextList, "service@version", 0, 0, "[]", "", atUpstream,
      "What the upstream serves; a version is optional." },
    { "slots", ValueType::Integer, "requests", 1, 100'000, "8", "", atUpstream,
      "Requests the upstream works on at the same time." },
    { "state", ValueType::Choice, "", 0, 0, "\"serving\"", "serving|leaving", atUpstream,
      "A leaving upstream gets no new work." },
    { "token_ms", ValueType::Number, "ms", 0, 10'000, "20", "", atRequestOrPlace,
      "Time an engine takes for one token of one request." },
    { "version", ValueType::Text, "", 0, 0, "\"\"", "", atRequest, "The version of the model to use; empty takes any." },
} };

constexpr std::size_t longestPath = 256;

std::vector<std::string_view> splitPath(std::string_view path)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

bool isName(std::string_view text)
{
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9')
            || letter == '-' || letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), allowed);
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substituted });
        }
    }
    return row.back();
}

} // namespace

std::string_view nameOf(NodeKind kind)
{
    return nodeKindNames[kind];
}

std::string_view nameOf(ValueType type)
{
    return valueTypeNames[type];
}

std::span<const KeyDescription> settingsSchema()
{
    return schema;
}

const KeyDescription *findKey(std::string_view name)
{
    const auto found = std::find_if(schema.begin(), schema.end(), [&](const KeyDescription &key) { return key.name == name; });
    return found == schema.end() ? nullptr : &*found;
}

std::string_view nearestKey(std::string_view name)
{
    const auto closer = [&](const KeyDescription &left, const KeyDescription &right) {
        return editDistance(left.name, name) < editDistance(right.name, name);
    };
    return std::min_element(schema.begin(), schema.end(), closer)->name;
}

std::optional<NodeKind> kindOfPath(std::string_view path)
{
    if (path == "/") {
        return NodeKind::Root;
    }
    if (path.size() < 2 || path.size() > longestPath || path.front() != '/') {
        return std::nullopt;
    }
    const std::vector<std::string_view> parts = splitPath(path);
    for (std::size_t index = 1; index < parts.size(); index += 2) {
        if (!isName(parts[index])) {
            return std::nullopt;
        }
    }
    const std::string_view top = parts[0];
    if (parts.size() == 2) {
        return top == "regions"      ? std::optional{ NodeKind::Region }
            : top == "services"      ? std::optional{ NodeKind::Service }
            : top == "organisations" ? std::optional{ NodeKind::Organisation }
                                     : std::nullopt;
    }
    if (parts.size() == 4 && top == "regions" && parts[2] == "data_centres") {
        return NodeKind::DataCentre;
    }
    if (parts.size() == 4 && top == "organisations" && parts[2] == "services") {
        return NodeKind::OrganisationService;
    }
    if (parts.size() == 6 && top == "regions" && parts[2] == "data_centres" && parts[4] == "upstreams") {
        return NodeKind::Upstream;
    }
    return std::nullopt;
}

std::string parentPath(std::string_view path)
{
    if (path == "/" || path.empty()) {
        return {};
    }
    const std::size_t name = path.rfind('/');
    const std::size_t collection = name == 0 || name == std::string_view::npos ? 0 : path.rfind('/', name - 1);
    return collection == 0 || collection == std::string_view::npos ? "/" : std::string(path.substr(0, collection));
}

} // namespace Portpaddle
