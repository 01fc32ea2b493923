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

/*! @brief First four fields of a key: the incarnation that may run the order, its witnesses and the issue time. */
struct order_token {
    /*! @brief Only incarnation that may run orders under this token. */
    incarnation_id home{};
    /*! @brief Witnesses in order of preference; empty ones only at the end. */
    std::array<std::optional<incarnation_id>, 2> witnesses{};
    /*! @brief Issue time in seconds since the epoch, by the wall clock of the issuing instance. */
    std::uint64_t issued{};

    /*! @brief Returns `<home>~<witness>~<witness>~<issued>`. */
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const order_token&, const order_token&) = default;
};

/*! @brief Idempotency key that identifies one non-idempotent request. */
struct order_key {
    order_token token{};
    /*! @brief Part chosen by the caller, 1 to 64 of `[A-Za-z0-9_-]`. */
    std::string unique{};

    /*! @brief Returns `<token>~<unique>`; two keys are equal exactly when their texts are equal. */
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const order_key&, const order_key&) = default;
};

/**
 * @brief Parses a token.
 *
 * Only the form that `to_string` writes is accepted, so that one key never has two texts: lower-case ids, no leading
 * zeros, no empty witness before another witness. Home and witnesses must differ, since a note kept by the home itself
 * would be lost together with the home.
 *
 * @param text Four fields separated by `~`.
 * @return The token, or `input_error`.
 */
[[nodiscard]] result<order_token> parse_order_token(std::string_view text);

/**
 * @brief Parses a key.
 * @param text Token and unique part separated by `~`.
 * @return The key, or `input_error`.
 */
[[nodiscard]] result<order_key> parse_order_key(std::string_view text);

/*! @brief Returns whether a caller's key carries no token: 1 to 255 visible ASCII characters without `~`. */
[[nodiscard]] bool is_unbound_key(std::string_view text) noexcept;

/**
 * @brief Returns the name under which a key without a token is bound to a token in the store.
 * @param text Caller's key.
 * @return SHA-256 in 64 hexadecimal digits; it is also the unique part of the bound key.
 */
[[nodiscard]] std::string unbound_key_digest(std::string_view text);

} // namespace mangopulley
