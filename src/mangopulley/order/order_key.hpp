#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "../core/error.hpp"
#include "../core/incarnation_id.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief First four fields of a key: who may run the order and who vouches for it. */
struct order_token {
    incarnation_id home{};
    /*! @brief Witnesses in order of preference; empty ones only at the end. */
    std::array<std::optional<incarnation_id>, 2> witnesses{};
    /*! @brief Wall-clock seconds at which the token was made. */
    std::uint64_t issued{};

    /*! @brief Returns `<home>~<witness>~<witness>~<issued>`. */
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const order_token&, const order_token&) = default;
};

/*! @brief Name of one non-idempotent request. */
struct order_key {
    order_token token{};
    /*! @brief Part chosen by the caller, 1 to 64 of `[A-Za-z0-9_-]`. */
    std::string unique{};

    /*! @brief Returns `<token>~<unique>`; two keys are equal exactly when their texts are. */
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const order_key&, const order_key&) = default;
};

/**
 * @brief Reads a token.
 *
 * Only the form that `to_string` writes is accepted, so that one key never has two texts: lower-case ids, no leading
 * zeros, no empty witness before a named one. Home and witnesses must differ, since a home that fails would take its
 * own note with it.
 *
 * @param text Four fields separated by `~`.
 * @return The token, or `input_error`.
 */
[[nodiscard]] result<order_token> parse_order_token(std::string_view text);

/**
 * @brief Reads a key.
 * @param text Token and unique part separated by `~`.
 * @return The key, or `input_error`.
 */
[[nodiscard]] result<order_key> parse_order_key(std::string_view text);

/*! @brief Tells whether a caller's key carries no token: 1 to 255 visible ASCII characters without `~`. */
[[nodiscard]] bool is_unbound_key(std::string_view text) noexcept;

/**
 * @brief Returns the name under which a key without a token is bound in the store.
 * @param text Caller's key.
 * @return SHA-256 in 64 hexadecimal digits; it also serves as the unique part of the bound key.
 */
[[nodiscard]] std::string unbound_key_digest(std::string_view text);

} // namespace mangopulley
