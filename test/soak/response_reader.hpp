#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace soak {

/*! @brief Response as its caller sees it. */
struct seen_response {
    int status{};
    /*! @brief Header fields with names in lower case. */
    std::map<std::string, std::string> fields{};
    std::string body{};

    /*! @brief Returns a field, or an empty text when it is absent. */
    [[nodiscard]] std::string field(const std::string& name) const;
};

/*! @brief Strict reader of responses that shares no code with the product, so that both do not err alike. */
class response_reader {
public:
    enum class state { incomplete, complete, malformed };

    /*! @brief Adds bytes and tells whether a whole response has arrived. */
    [[nodiscard]] state feed(std::string_view bytes);

    /*! @brief Tells whether the end of the connection ends the response, as it does without any framing. */
    [[nodiscard]] bool ends_with_connection() const noexcept;

    /*! @brief Returns the response, and what was read of its body so far when it is incomplete. */
    [[nodiscard]] const seen_response& response() const noexcept { return this->current; }

    /*! @brief Starts with the next response; returns false when bytes are left that belong to none. */
    [[nodiscard]] bool begin_next();

private:
    [[nodiscard]] bool parse_head(std::string_view head);
    [[nodiscard]] state read_body();
    [[nodiscard]] state read_chunks();

    std::string buffer{};
    seen_response current{};
    bool head_done{};
    bool chunked{};
    std::optional<std::size_t> length{};
};

} // namespace soak
