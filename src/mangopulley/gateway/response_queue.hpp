#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../http/body_part.hpp"
#include "../http/http_message.hpp"
#include "../http/memory_budget.hpp"

namespace mangopulley::internal {

/*! @brief Properties of a request that determine how its response is sent. */
struct response_terms {
    /*! @brief Whether the connection may be kept after the response. */
    bool keep_alive{true};
    /*! @brief Whether the response has no body whatever its headers say. */
    bool head_request{};
    bool http_1_0{};
};

/**
 * @brief Responses to the requests of one connection, in the order in which the requests arrived.
 *
 * Responses may be given in any order and in parts; they are taken out one after the other. Bytes that wait for their
 * turn are charged to the memory budget. Calls with the number of a request that was answered or cancelled do nothing.
 * No call but `notify_cancelled` calls a listener.
 */
class response_queue {
public:
    /*! @brief What can be sent of the first response. */
    struct output {
        std::string bytes{};
        /*! @brief Whether the response ends with these bytes; the next one is first then. */
        bool complete{};
        /*! @brief Whether the response will never be complete although a part of it was sent. */
        bool broken{};
        /*! @brief Whether the connection ends with the response. */
        bool closes{};
        /*! @brief Whether the bytes had to wait for their turn. */
        bool waited{};
    };

    using listener = std::function<void()>;

    /*! @brief Creates an empty queue; the budget must outlive it. */
    explicit response_queue(memory_budget& budget) noexcept : memory{budget} {}

    /*! @brief Adds a request and returns its number. */
    [[nodiscard]] std::uint64_t add(const response_terms& terms);

    /*! @brief Gives a whole response, without framing; returns false if none is expected. */
    [[nodiscard]] bool finish(std::uint64_t number, std::string_view head, std::string_view body, bool bodiless);
    [[nodiscard]] bool finish(std::uint64_t number, const http_reply& reply);
    /*! @brief Begins a response whose body follows in parts; returns false if none is expected. */
    [[nodiscard]] bool begin(std::uint64_t number, std::string_view head, std::optional<std::size_t> length);
    /**
     * @brief Gives the next part of a body; returns false if none is expected.
     *
     * A response that breaks off before any of it was sent is replaced by a complete one with status 502.
     */
    [[nodiscard]] bool append(std::uint64_t number, const body_part& part);

    /*! @brief Reserves memory for what the response has waiting; returns false if there is none. */
    [[nodiscard]] bool reserve(std::uint64_t number);
    /*! @brief Replaces a response of which nothing was sent; cancels the request if it was not complete. */
    void replace(std::uint64_t number, const http_reply& reply);
    /*! @brief Makes the connection end with the response. */
    void close_after(std::uint64_t number) noexcept;

    /**
     * @brief Takes out what can be sent of the first response; the queue must not be empty.
     * @param closing Whether the connection is to end with the response, if it is still possible to say so.
     */
    [[nodiscard]] output take(bool closing);
    /*! @brief Removes and cancels all requests. */
    void cancel_all();
    /*! @brief Calls the disconnect listeners of cancelled requests; returns whether there were any. */
    bool notify_cancelled();

    [[nodiscard]] bool empty() const noexcept { return this->entries.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }
    /*! @brief Returns the number of the first request, or of the next one if the queue is empty. */
    [[nodiscard]] std::uint64_t first() const noexcept { return this->first_number; }
    [[nodiscard]] bool contains(std::uint64_t number) const noexcept;
    /*! @brief Returns whether the first response was begun. */
    [[nodiscard]] bool first_begun() const noexcept { return !this->empty() && this->entries.front().begun; }
    /*! @brief Returns whether the first response is complete. */
    [[nodiscard]] bool first_complete() const noexcept { return !this->empty() && this->entries.front().complete; }
    /*! @brief Returns whether a part of the first response was taken out. */
    [[nodiscard]] bool first_taken() const noexcept { return !this->empty() && this->entries.front().taken; }
    /*! @brief Returns whether the connection ends with one of the responses. */
    [[nodiscard]] bool closes() const noexcept;
    /*! @brief Returns the number of bytes that wait. */
    [[nodiscard]] std::size_t waiting_bytes() const noexcept;
    [[nodiscard]] std::size_t waiting_bytes(std::uint64_t number) const noexcept;

    void set_sent_listener(std::uint64_t number, listener action);
    void set_disconnect_listener(std::uint64_t number, listener action);
    /*! @brief Returns the sent listener of the first response if a part of it was taken out. */
    [[nodiscard]] listener sent_listener() const;

private:
    /*! @brief How the end of a response's body is marked. */
    enum class framing : std::uint8_t { length, chunked, until_close };

    struct entry {
        response_terms terms;
        memory_reservation memory;
        std::string bytes{};
        /*! @brief Position in `bytes` at which further header fields can be inserted, until the first part is taken. */
        std::size_t head_end{};
        framing body_framing{framing::length};
        bool begun{};
        bool taken{};
        bool complete{};
        bool broken{};
        bool closes{};
        bool waited{};
        listener on_sent{};
        listener on_disconnect{};
    };

    [[nodiscard]] entry* find(std::uint64_t number) noexcept;
    static void complete(entry& response);
    void cancel(entry& response);

    memory_budget& memory;
    std::deque<entry> entries{};
    /*! @brief Disconnect listeners of cancelled requests, in the order of the requests. */
    std::vector<listener> cancelled{};
    std::uint64_t first_number{};
};

} // namespace mangopulley::internal
