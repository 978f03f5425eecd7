#include "cluster/control/operator_answers.hpp"

#include <utility>

namespace amberswitch::cluster {

HttpResponse textAnswer(int status, const std::string& text) {
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = text + "\n";
    return response;
}

HttpResponse jsonAnswer(std::string body) {
    HttpResponse response;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = std::move(body);
    return response;
}

HttpResponse unknownOutcome() {
    HttpResponse response =
        textAnswer(503, "no majority of the core answered in time; the outcome is not known");
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

HttpResponse unreadableValue(const std::string& what) {
    return textAnswer(500, "the stored " + what + " is not readable; nothing was changed");
}

}  // namespace amberswitch::cluster
