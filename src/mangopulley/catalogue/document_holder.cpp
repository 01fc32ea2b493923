#include "document_holder.hpp"

#include <mutex>
#include <utility>

namespace mangopulley {

struct document_holder::implementation {
    mutable std::mutex guard{};
    std::shared_ptr<const document> current{std::make_shared<document>()};
    std::string text{};
};

document_holder::document_holder() : self{std::make_unique<implementation>()} {}

document_holder::~document_holder() = default;

std::shared_ptr<const document> document_holder::current() const {
    const std::lock_guard lock{this->self->guard};
    return this->self->current;
}

std::string document_holder::text() const {
    const std::lock_guard lock{this->self->guard};
    return this->self->text;
}

bool document_holder::advance(std::shared_ptr<const document> next, std::string text) {
    const std::lock_guard lock{this->self->guard};
    if (next->version <= this->self->current->version) {
        return false;
    }
    this->self->current = std::move(next);
    this->self->text = std::move(text);
    return true;
}

} // namespace mangopulley
