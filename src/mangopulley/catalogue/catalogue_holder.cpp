#include "catalogue_holder.hpp"

#include <mutex>
#include <utility>

namespace mangopulley {

struct catalogue_holder::implementation {
    mutable std::mutex guard{};
    std::shared_ptr<const catalogue_document> current{std::make_shared<catalogue_document>()};
    std::string text{};
};

catalogue_holder::catalogue_holder() : self{std::make_unique<implementation>()} {}

catalogue_holder::~catalogue_holder() = default;

std::shared_ptr<const catalogue_document> catalogue_holder::current() const {
    const std::lock_guard lock{this->self->guard};
    return this->self->current;
}

std::string catalogue_holder::text() const {
    const std::lock_guard lock{this->self->guard};
    return this->self->text;
}

bool catalogue_holder::advance(std::shared_ptr<const catalogue_document> next, std::string text) {
    const std::lock_guard lock{this->self->guard};
    if (next->version <= this->self->current->version) {
        return false;
    }
    this->self->current = std::move(next);
    this->self->text = std::move(text);
    return true;
}

} // namespace mangopulley
