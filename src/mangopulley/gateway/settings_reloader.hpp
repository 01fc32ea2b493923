#pragma once

#include <functional>
#include <string>

#include "../observe/decision_log.hpp"
#include "gateway_settings.hpp"

namespace mangopulley {

/*! @brief Follows changes of the settings' text while the process runs. */
class settings_reloader {
public:
    /**
     * @brief Constructs the reloader; nothing is read yet.
     * @param log Receives a line for each change; must outlive this object.
     * @param used Text of the settings in use.
     * @param read Returns the current text; empty if it cannot be read.
     * @param on_change Called with the settings of each later text that is valid.
     */
    settings_reloader(decision_log& log, std::string used, std::function<std::string()> read,
                      std::function<void(const gateway_settings& changed)> on_change);

    /*! @brief Reads the text again; one that is empty, unchanged or invalid leaves the settings as they are. */
    void reload();

private:
    decision_log& output;
    std::function<std::string()> source;
    std::function<void(const gateway_settings& changed)> listener;
    /*! @brief The last text that was read, valid or not, so that each is judged and logged once. */
    std::string text;
};

} // namespace mangopulley
