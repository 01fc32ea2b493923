#pragma once

#include <cstdint>
#include <string>

#include <boost/leaf.hpp>

namespace mangopulley {

/*! @brief Value or typed error; errors are the structs named `*_error` of each module. */
template <typename Type>
using result = boost::leaf::result<Type>;

/*! @brief Failure of a connection or of an exchange on it. */
struct network_error {
    /*! @brief What is known of the exchange when it failed. */
    enum class code : std::uint8_t {
        /*! @brief No connection was made; no byte was sent. */
        connect_failed,
        /*! @brief The connection broke after bytes of the request may have been sent. */
        broken,
        /*! @brief No answer in time; the peer may still act on the request. */
        timed_out,
        /*! @brief The peer's bytes do not follow the protocol. */
        malformed
    };

    code code{code::broken};
    std::string endpoint{};
    std::string detail{};

    /*! @brief Tells whether the request provably never reached the peer. */
    [[nodiscard]] bool request_not_sent() const noexcept { return this->code == code::connect_failed; }
};

/*! @brief Name of the codes of `network_error`, whose member of the same name hides them. */
using network_error_code = enum network_error::code;

/*! @brief Local port that cannot be opened. */
struct port_error {
    /*! @brief Address as `ip:port`. */
    std::string address{};
    std::string detail{};
};

/*! @brief Invalid text in a document, a header or a message. */
struct input_error {
    std::string source{};
    /*! @brief Line in the source, counted from 1; 0 when there is none. */
    std::size_t line{};
    std::string field{};
    std::string found{};
    std::string expected{};
};

} // namespace mangopulley
