#include "cluster/control/operator_responses.hpp"

#include <utility>

namespace amberswitch::cluster {

HttpResponse textResponse(int status, const std::string& text) {
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = text + "\n";
    return response;
}

HttpResponse jsonResponse(std::string body) {
    HttpResponse response;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = std::move(body);
    return response;
}

HttpResponse unknownOutcomeResponse() {
    HttpResponse response =
        textResponse(503, "no majority of the core answered in time; the outcome is not known");
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

HttpResponse unreadableValueResponse(const std::string& what) {
    return textResponse(500, "the stored " + what + " is not readable; nothing was changed");
}

}  // namespace amberswitch::cluster
