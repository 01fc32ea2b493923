#pragma once

#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <mangopulley/store/store_client.hpp>

namespace fake {

/*! @brief Store in memory with switches for the faults of the platform's store. Watches return at once. */
class fake_store final : public mangopulley::store_client {
public:
    /*! @brief What happens to the next writes. */
    enum class write_fault { none, reply_lost_after_effect, reply_lost_before_effect };

    [[nodiscard]] mangopulley::result<mangopulley::stored_object> get(std::string_view key) override {
        const std::lock_guard lock{this->guard};
        ++this->reads;
        const auto position = this->objects.find(std::string{key});
        if (this->down) {
            return fail(code::unavailable, key);
        }
        if (position == this->objects.end()) {
            return fail(code::missing, key);
        }
        return position->second;
    }

    [[nodiscard]] mangopulley::result<std::uint64_t> put(std::string_view key, std::string_view value,
                                                         std::uint64_t expected) override {
        const std::lock_guard lock{this->guard};
        ++this->writes;
        if (this->down) {
            return fail(code::unavailable, key);
        }
        if (this->fault == write_fault::reply_lost_before_effect) {
            return fail(code::effect_unknown, key);
        }
        const auto position = this->objects.find(std::string{key});
        const auto present = position == this->objects.end() ? 0U : position->second.version;
        if (present != expected) {
            return fail(code::conflict, key);
        }
        auto& object = this->objects[std::string{key}];
        object = {std::string{value}, ++this->last_version};
        if (this->fault == write_fault::reply_lost_after_effect) {
            return fail(code::effect_unknown, key);
        }
        return object.version;
    }

    [[nodiscard]] mangopulley::result<std::optional<mangopulley::stored_object>>
    watch(std::string_view key, std::uint64_t after, mangopulley::milliseconds /*wait*/) override {
        BOOST_LEAF_AUTO(object, this->get(key));
        return object.version > after ? std::optional{object} : std::nullopt;
    }

    [[nodiscard]] mangopulley::result<std::vector<mangopulley::listed_object>> list(std::string_view prefix) override {
        const std::lock_guard lock{this->guard};
        ++this->reads;
        if (this->down) {
            return fail(code::unavailable, prefix);
        }
        std::vector<mangopulley::listed_object> found{};
        for (const auto& [key, object] : this->objects) {
            if (key.starts_with(prefix)) {
                found.push_back({key, object.version});
            }
        }
        return found;
    }

    [[nodiscard]] mangopulley::result<std::optional<mangopulley::instance_list>>
    watch_instances(std::uint64_t after, mangopulley::milliseconds /*wait*/) override {
        const std::lock_guard lock{this->guard};
        ++this->reads;
        if (this->down) {
            return fail(code::unavailable, "instances");
        }
        return this->instances.revision > after ? std::optional{this->instances} : std::nullopt;
    }

    bool down{};
    write_fault fault{write_fault::none};
    mangopulley::instance_list instances{};
    std::map<std::string, mangopulley::stored_object> objects{};
    std::uint64_t reads{};
    std::uint64_t writes{};

private:
    using code = enum mangopulley::store_error::code;

    [[nodiscard]] static boost::leaf::error_id fail(const code what, const std::string_view key) {
        return boost::leaf::new_error(mangopulley::store_error{what, std::string{key}, "injected"});
    }

    std::mutex guard{};
    std::uint64_t last_version{};
};

} // namespace fake
