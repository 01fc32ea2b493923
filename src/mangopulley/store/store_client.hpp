#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/error.hpp"
#include "../core/fwd.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Failure of a call to the platform's store. */
struct store_error {
    enum class code : std::uint8_t {
        /*! @brief The store could not be reached or returned an error; a write had no effect. */
        unavailable,
        /*! @brief The object has another version than the conditional write expected; the write had no effect. */
        conflict,
        /*! @brief No object with this key exists. */
        missing,
        /*! @brief The store's rate limit was exceeded; a write had no effect. */
        rate_limited,
        /*! @brief No conclusive response to a write was received; the write may have taken effect. */
        effect_unknown,
        /*! @brief The response does not follow the store's protocol. */
        malformed
    };

    code code{code::unavailable};
    std::string key{};
    std::string detail{};
};

/*! @brief Value of an object and the version assigned to it by the store. */
struct stored_object {
    std::string value{};
    std::uint64_t version{};
};

/*! @brief Key and version of an object. */
struct listed_object {
    std::string key{};
    std::uint64_t version{};
};

/*! @brief Entry of the store's instance list. */
struct instance_record {
    std::string id{};
    /*! @brief `entry` or `target`. */
    std::string role{};
    /*! @brief Service of a target; empty for entry instances. */
    std::string service{};
    /*! @brief Address as `ip:port`; for entry instances the port is the one for messages between instances. */
    std::string address{};
    std::string zone{};
    std::string region{};
    bool leaving{};

    friend bool operator==(const instance_record&, const instance_record&) = default;
};

/*! @brief The store's list of live and leaving instances; it may lag behind the actual state. */
struct instance_list {
    std::uint64_t revision{};
    std::vector<instance_record> instances{};
};

/*! @brief Interface of the platform's store. All calls block, at most until their timeout. */
class store_client {
public:
    store_client() = default;
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    virtual ~store_client() = default;

    /**
     * @brief Reads an object.
     * @param key Key of the object.
     * @return The object, or `store_error` (`missing` when there is none).
     */
    [[nodiscard]] virtual result<stored_object> get(std::string_view key) = 0;

    /**
     * @brief Writes an object if its version is still the expected one.
     * @param key Key of the object.
     * @param value New value, at most 1 MB.
     * @param expected Version that the object must have; 0 if it must not exist.
     * @return The new version, or `store_error`; after `effect_unknown` read the object to find the outcome.
     */
    [[nodiscard]] virtual result<std::uint64_t> put(std::string_view key, std::string_view value,
                                                    std::uint64_t expected) = 0;

    /**
     * @brief Waits for a newer version of an object.
     * @param key Key of the object.
     * @param after Last known version; 0 if none.
     * @param wait Maximum time to wait.
     * @return The newer object, `std::nullopt` on timeout, or `store_error`.
     */
    [[nodiscard]] virtual result<std::optional<stored_object>> watch(std::string_view key, std::uint64_t after,
                                                                     milliseconds wait) = 0;

    /*! @brief Lists the keys and versions of all objects whose keys begin with a prefix. */
    [[nodiscard]] virtual result<std::vector<listed_object>> list(std::string_view prefix) = 0;

    /**
     * @brief Waits for a newer revision of the instance list.
     * @param after Last known revision; 0 if none.
     * @param wait Maximum time to wait; zero returns immediately.
     * @return The newer list, `std::nullopt` on timeout, or `store_error`.
     */
    [[nodiscard]] virtual result<std::optional<instance_list>> watch_instances(std::uint64_t after,
                                                                               milliseconds wait) = 0;
};

} // namespace mangopulley
