#include "kernel.hpp"

#include <utility>
#include <vector>

namespace mangopulley {

struct kernel::implementation {
    std::vector<std::unique_ptr<plugin>> parts{};
    std::size_t started{};
};

kernel::kernel() : self{std::make_unique<implementation>()} {}

kernel::~kernel() {
    this->stop();
}

void kernel::add(std::unique_ptr<plugin> part) {
    this->self->parts.push_back(std::move(part));
}

void kernel::start() {
    try {
        for (; this->self->started < this->self->parts.size(); ++this->self->started) {
            this->self->parts[this->self->started]->start();
        }
    } catch (...) {
        this->stop();
        throw;
    }
}

void kernel::stop() noexcept {
    for (; this->self->started > 0U; --this->self->started) {
        this->self->parts[this->self->started - 1U]->stop();
    }
}

} // namespace mangopulley
