#include <cstdlib>
#include <new>
#include <thread>

#include "fault_plan.hpp"

namespace faulty {

namespace {

/*! @brief Returns whether an allocation fails: only those of the main thread, and none of the plan's own. */
[[nodiscard]] bool allocation_fails() {
    static const auto main_thread = std::this_thread::get_id();
    static bool planning = false;
    if (std::this_thread::get_id() != main_thread || planning) {
        return false;
    }
    planning = true;
    const bool fails = fault_plan::instance().next("allocation") != fault_plan::moment::never;
    planning = false;
    return fails;
}

} // namespace

} // namespace faulty

void* operator new(const std::size_t size) {
    if (faulty::allocation_fails()) {
        throw std::bad_alloc{};
    }
    if (void* memory = std::malloc(size == 0U ? 1U : size)) { // NOLINT
        return memory;
    }
    throw std::bad_alloc{};
}

void operator delete(void* memory) noexcept {
    std::free(memory); // NOLINT
}

void operator delete(void* memory, std::size_t) noexcept {
    std::free(memory); // NOLINT
}
