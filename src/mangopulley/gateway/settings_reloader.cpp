#include "settings_reloader.hpp"

#include <utility>

namespace mangopulley {

settings_reloader::settings_reloader(decision_log& log, std::string used, std::function<std::string()> read,
                                     std::function<void(const gateway_settings& changed)> on_change)
    : output{log}, source{std::move(read)}, listener{std::move(on_change)}, text{std::move(used)} {}

void settings_reloader::reload() {
    auto current = this->source();
    if (current.empty() || current == this->text) {
        return;
    }
    this->text = std::move(current);
    boost::leaf::try_handle_all(
        [this]() -> result<void> {
            BOOST_LEAF_AUTO(parsed, parse_gateway_settings("settings", this->text));
            this->listener(parsed);
            this->output.change("settings_reloaded", {{"seeds", std::to_string(parsed.seeds.size())}});
            return {};
        },
        [this](const input_error& error) {
            this->output.change("settings_rejected", {{"field", error.field},
                                                      {"line", std::to_string(error.line)},
                                                      {"found", error.found},
                                                      {"expected", error.expected}});
        },
        [this] {
            this->output.change("settings_rejected", {{"field", "unknown"}});
        });
}

} // namespace mangopulley
