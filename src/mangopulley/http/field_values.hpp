#pragma once

#include <string>

#include <Poco/Net/MessageHeader.h>
#include <Poco/String.h>

namespace mangopulley {

/**
 * @brief Returns whether a head has fields of one name with different values.
 *
 * For a field that occurs once in a message, the head then has parts of several messages, as when a peer broke off in
 * the middle of one.
 */
[[nodiscard]] inline bool values_differ(const Poco::Net::MessageHeader& head, const std::string& name) {
    const auto first = head.find(name);
    for (auto field = first; field != head.end(); ++field) {
        if (Poco::icompare(field->first, name) == 0 && field->second != first->second) {
            return true;
        }
    }
    return false;
}

} // namespace mangopulley
