#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace {

/*! @brief Reads ports and their replacements from the environment, as `PORT=PORT,...`. */
[[nodiscard]] std::map<std::uint16_t, std::uint16_t> read_redirects() {
    std::map<std::uint16_t, std::uint16_t> redirects{};
    const char* variable = std::getenv("STANDIN_REDIRECT");
    const std::string text{variable == nullptr ? "" : variable};
    for (std::size_t begin = 0U; begin < text.size();) {
        const auto end = std::min(text.find(',', begin), text.size());
        const auto middle = text.find('=', begin);
        if (middle < end) {
            redirects[static_cast<std::uint16_t>(std::stoul(text.substr(begin, middle - begin)))] =
                static_cast<std::uint16_t>(std::stoul(text.substr(middle + 1U, end - middle - 1U)));
        }
        begin = end + 1U;
    }
    return redirects;
}

} // namespace

/*! @brief Replaces the system's `connect` in a program that loads this library; other ports are not changed. */
extern "C" int connect(const int socket, const sockaddr* address, const socklen_t length) {
    using connect_function = int (*)(int, const sockaddr*, socklen_t);
    static const auto system_connect = reinterpret_cast<connect_function>(::dlsym(RTLD_NEXT, "connect"));
    static const auto redirects = read_redirects();
    if (address != nullptr && address->sa_family == AF_INET && length >= sizeof(sockaddr_in)) {
        sockaddr_in changed{};
        std::memcpy(&changed, address, sizeof(changed));
        const auto found = redirects.find(ntohs(changed.sin_port));
        if (found != redirects.end() && changed.sin_addr.s_addr == htonl(INADDR_LOOPBACK)) {
            changed.sin_port = htons(found->second);
            return system_connect(socket, reinterpret_cast<const sockaddr*>(&changed), sizeof(changed));
        }
    }
    return system_connect(socket, address, length);
}
