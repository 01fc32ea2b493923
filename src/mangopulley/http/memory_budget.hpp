#pragma once

#include <cstddef>
#include <utility>

namespace mangopulley {

/*! @brief Memory that all connections of a process together may use for bodies. */
class memory_budget {
public:
    /*! @brief Creates a budget of the given size in bytes. */
    explicit memory_budget(const std::size_t bytes) noexcept : size{bytes} {}

    /*! @brief Returns the size in bytes. */
    [[nodiscard]] std::size_t capacity() const noexcept { return this->size; }
    /*! @brief Returns the number of bytes in use. */
    [[nodiscard]] std::size_t reserved() const noexcept { return this->used; }

private:
    friend class memory_reservation;

    std::size_t size;
    std::size_t used{};
};

/*! @brief Part of a memory budget, given back when the reservation is destroyed. */
class memory_reservation {
public:
    /*! @brief Creates an empty reservation; the budget must outlive it. */
    explicit memory_reservation(memory_budget& owner) noexcept : budget{&owner} {}
    /*! @brief Takes over what another one holds, which is empty afterwards. */
    memory_reservation(memory_reservation&& other) noexcept
        : budget{other.budget}, bytes{std::exchange(other.bytes, 0U)} {}
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    ~memory_reservation() { this->release(); }

    /*! @brief Grows the reservation to the given size in bytes; returns false when the budget has no room for it. */
    [[nodiscard]] bool try_grow_to(const std::size_t size) noexcept {
        if (size <= this->bytes) {
            return true;
        }
        if (size - this->bytes > this->budget->size - this->budget->used) {
            return false;
        }
        this->budget->used += size - this->bytes;
        this->bytes = size;
        return true;
    }

    /*! @brief Gives everything back. */
    void release() noexcept { this->budget->used -= std::exchange(this->bytes, 0U); }

private:
    memory_budget* budget;
    std::size_t bytes{};
};

} // namespace mangopulley
