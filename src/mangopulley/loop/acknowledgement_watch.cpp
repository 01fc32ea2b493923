#include "acknowledgement_watch.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>

namespace mangopulley::internal {

acknowledgement_watch::state acknowledgement_watch::examine(const Poco::Net::StreamSocket& connection,
                                                            const time_point now) {
    int unacknowledged = 0;
    connection.impl()->ioctl(SIOCOUTQ, unacknowledged);
    if (unacknowledged == 0) {
        return state::settled;
    }
    tcp_info info{};
    poco_socklen_t size = sizeof(info);
    connection.impl()->getRawOption(IPPROTO_TCP, TCP_INFO, &info, size);
    // Window probes don't count as sent data. A live peer may leave one without an answer, because Linux limits the
    // rate of these answers.
    constexpr unsigned unanswered_probes = 2U;
    const bool unanswered = info.tcpi_probes >= unanswered_probes || info.tcpi_last_data_sent < info.tcpi_last_ack_recv;
    if (!unanswered || now - milliseconds{info.tcpi_last_ack_recv} >= this->silent_since) {
        this->silent_since = now;
    }
    return now - this->silent_since >= this->longest_silence ? state::silent : state::waiting;
}

} // namespace mangopulley::internal
