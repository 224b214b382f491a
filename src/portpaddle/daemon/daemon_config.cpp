// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/daemon/daemon_config.h"

#include "portpaddle/base/file.h"
#include "portpaddle/settings/tree.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

constexpr std::array<std::string_view, 14> knownMembers{ "id",
                                                         "region",
                                                         "data_centre",
                                                         "entry",
                                                         "admin",
                                                         "gossip",
                                                         "link",
                                                         "cluster_key",
                                                         "cluster_key_file",
                                                         "operator_key",
                                                         "operator_key_file",
                                                         "platform",
                                                         "seeds",
                                                         "maximum_streams" };
constexpr std::size_t minKeyLength = 16;
constexpr std::size_t maxStreams = 16'384;

Error invalid(const std::string &source, const std::string &message)
{
    return Error{ ErrorCode::SettingsInvalid, fmt::format("{}: {}", source, message), RunState::NotRun, std::nullopt };
}

/// Reads the members of a configuration and keeps the first error.
class ConfigReader
{
public:
    ConfigReader(const nlohmann::json &json, std::string source, std::string directory)
        : json_(json), source_(std::move(source)), directory_(std::move(directory))
    {
    }

    std::string text(const std::string &name)
    {
        if (!json_.contains(name) || !json_[name].is_string() || json_[name].get_ref<const std::string &>().empty()) {
            fail(fmt::format("'{}' must be a non-empty string", name));
            return {};
        }
        return json_[name].get<std::string>();
    }

    SocketAddress address(const std::string &name)
    {
        const std::string value = text(name);
        const Result<SocketAddress> parsed = parseSocketAddress(value);
        if (!isOk(parsed)) {
            fail(fmt::format("'{}': {}", name, errorOf(parsed).message));
            return {};
        }
        return valueOf(parsed);
    }

    std::string key(const std::string &name)
    {
        const std::string fileMember = name + "_file";
        std::string value = json_.contains(fileMember) ? contents(text(fileMember)) : text(name);
        while (!value.empty() && value.back() == '\n') {
            value.pop_back();
        }
        if (value.size() < minKeyLength) {
            fail(fmt::format("'{}' must have at least {} characters", name, minKeyLength));
        }
        return value;
    }

    std::vector<SocketAddress> addresses(const std::string &name)
    {
        std::vector<SocketAddress> result;
        for (const nlohmann::json &item : json_.value(name, nlohmann::json::array())) {
            const Result<SocketAddress> parsed = parseSocketAddress(item.is_string() ? item.get<std::string>() : item.dump());
            if (isOk(parsed)) {
                result.push_back(valueOf(parsed));
            } else {
                fail(fmt::format("'{}': {}", name, errorOf(parsed).message));
            }
        }
        return result;
    }

    std::size_t count(const std::string &name, std::size_t defaultValue, std::size_t maximum)
    {
        if (!json_.contains(name)) {
            return defaultValue;
        }
        const bool valid = json_[name].is_number_unsigned() && json_[name].get<std::size_t>() >= 1
            && json_[name].get<std::size_t>() <= maximum;
        if (!valid) {
            fail(fmt::format("'{}' must be an integer from 1 to {}", name, maximum));
            return defaultValue;
        }
        return json_[name].get<std::size_t>();
    }

    EmbeddedPlatformConfig embedded(const nlohmann::json &json)
    {
        EmbeddedPlatformConfig result;
        if (!json.contains("settings_file") || !json["settings_file"].is_string()) {
            fail("'platform.settings_file' must be the name of a file");
            return result;
        }
        result.settingsText = contents(json["settings_file"].get<std::string>());
        const nlohmann::json clients = json.value("clients", nlohmann::json::object());
        for (const auto &[key, organisation] : clients.items()) {
            if (!organisation.is_string()) {
                fail("'platform.clients' must map bearer keys to names of organisations");
                continue;
            }
            result.clients[key] = organisation.get<std::string>();
        }
        return result;
    }

    void rejectUnknownMembers()
    {
        for (const auto &[name, value] : json_.items()) {
            if (std::find(knownMembers.begin(), knownMembers.end(), name) == knownMembers.end()) {
                fail(fmt::format("unknown member '{}'", name));
            }
        }
    }

    void fail(const std::string &message)
    {
        if (!error_) {
            error_ = invalid(source_, message);
        }
    }

    const std::optional<Error> &error() const
    {
        return error_;
    }

private:
    std::string contents(const std::string &path)
    {
        const std::string full = path.empty() || path.front() == '/' ? path : directory_ + '/' + path;
        const Result<std::string> read = readFile(full);
        if (!isOk(read)) {
            fail(errorOf(read).message);
            return {};
        }
        return valueOf(read);
    }

    const nlohmann::json &json_;
    const std::string source_;
    const std::string directory_;
    std::optional<Error> error_;
};

} // namespace

Result<DaemonConfig> readDaemonConfig(const std::string &path)
{
    const Result<std::string> text = readFile(path);
    if (!isOk(text)) {
        return errorOf(text);
    }
    const std::size_t slash = path.rfind('/');
    return parseDaemonConfig(valueOf(text), path, slash == std::string::npos ? "." : path.substr(0, slash));
}

Result<DaemonConfig> parseDaemonConfig(const std::string &text, const std::string &source, const std::string &directory)
{
    const Result<nlohmann::json> parsed = parseJsonWithComments(text, source);
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    const nlohmann::json &json = valueOf(parsed);
    if (!json.is_object()) {
        return invalid(source, "the configuration must be a JSON object");
    }
    ConfigReader reader(json, source, directory);
    reader.rejectUnknownMembers();
    DaemonConfig config;
    config.id = reader.text("id");
    config.place.region = reader.text("region");
    config.place.dataCentre = reader.text("data_centre");
    config.entry = reader.address("entry");
    config.admin = reader.address("admin");
    config.gossip = reader.address("gossip");
    config.link = reader.address("link");
    config.clusterKey = reader.key("cluster_key");
    config.operatorKey = reader.key("operator_key");
    config.seeds = reader.addresses("seeds");
    config.maximumStreams = reader.count("maximum_streams", config.maximumStreams, maxStreams);
    if (json.contains("platform") && json["platform"].is_object()) {
        config.embedded = reader.embedded(json["platform"]);
    } else {
        config.platform = reader.address("platform");
    }
    if (reader.error()) {
        return *reader.error();
    }
    return config;
}

} // namespace Portpaddle
