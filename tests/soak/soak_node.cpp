// One process of the service for the soak: the roles of ambercluster on a transport that can be cut.
//   soak_node edge|core|store SETTINGS CUT_FILE
#include <glog/logging.h>

#include <exception>
#include <string>

#include "roles.hpp"
#include "tests/soak/cuttable_transport.hpp"

namespace {

using namespace amberswitch::cluster;

int serve(const std::string& role, const NodeSettings& settings, const RoleOptions& options) {
    if (role == "core") return runCore(settings, options);
    if (role == "store") return runStore(settings, options);
    return runEdge(settings, options);
}

}  // namespace

int main(int argument_count, char** arguments) {
    if (argument_count != 4) return 2;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(arguments[0]);
    try {
        RoleOptions options;
        options.settings_path = arguments[2];
        const std::string cut_file = arguments[3];
        options.make_transport = [cut_file](EventLoop& loop, const NodeAddress& self) {
            return std::make_unique<testing::CuttableTransport>(loop, self, cut_file);
        };
        return serve(arguments[1], loadNodeSettings(options.settings_path), options);
    } catch (const std::exception& error) {
        LOG(ERROR) << "ends: " << error.what();
        return 1;
    }
}
