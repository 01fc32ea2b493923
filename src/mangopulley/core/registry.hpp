#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangopulley {

/**
 * @brief Named factories of one kind of plug-in; plug-ins add themselves from static objects.
 *
 * Registration happens before `main`; afterwards the registry is only read and needs no lock.
 *
 * @tparam Factory Callable type that makes a plug-in.
 */
template <typename Factory>
class registry {
public:
    using value_type = Factory;

    /*! @brief Returns the registry of this kind of plug-in. */
    [[nodiscard]] static registry& instance() {
        static registry single{};
        return single;
    }

    /**
     * @brief Adds a plug-in.
     * @param name Name that settings and the catalogue use for it.
     * @param factory Maker of the plug-in.
     * @return False when the name is already taken.
     */
    bool add(std::string_view name, Factory factory) {
        return this->factories.emplace(std::string{name}, std::move(factory)).second;
    }

    /*! @brief Returns the factory with that name, or null. */
    [[nodiscard]] const Factory* find(std::string_view name) const {
        const auto position = this->factories.find(name);
        return position == this->factories.end() ? nullptr : &position->second;
    }

    /*! @brief Returns all names in alphabetical order. */
    [[nodiscard]] std::vector<std::string> names() const {
        std::vector<std::string> all{};
        all.reserve(this->factories.size());
        for (const auto& [name, factory] : this->factories) {
            all.push_back(name);
        }
        return all;
    }

private:
    std::map<std::string, Factory, std::less<>> factories{};
};

} // namespace mangopulley
