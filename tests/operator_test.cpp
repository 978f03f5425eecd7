// The operator file: what is wrong in it is told in one line with file, path and reason.
#include "config/operator.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace amberswitch::config {
namespace {

using namespace std::chrono_literals;

settings::Site site() {
    settings::Site s;
    s.classes = {"car-match", "job-assign"};
    s.tenants = {"maritsa-taxi"};
    s.zones = {"sofia-1", "sofia-2"};
    s.kinds = {"std-4"};
    s.module.classes.resize(2);
    for (auto& klass : s.module.classes) klass.clientTimeout = 5s;
    return s;
}

std::string fault(const std::string& text) {
    try {
        readOperator(site(), "op.json", text);
    } catch (const settings::BadField& bad) {
        return bad.what();
    }
    return "taken";
}

std::string ofGrpc(const std::string& fields) {
    return fault(R"({"grpc":{"listen":"127.0.0.1:0",)" + fields + "}}");
}

TEST(OperatorFile, NamesFilePathAndReason) {
    EXPECT_EQ(fault("{}"), "taken");
    EXPECT_EQ(fault("{").substr(0, 36), "op.json: the file: is not valid JSON");
    EXPECT_EQ(fault("[]"), "op.json: the file: is not an object");
    EXPECT_EQ(
        fault(R"({"grcp":{}})"),
        "op.json: grcp: there is no such field; known are gearman, consul, grpc, log, start, placement");
    EXPECT_EQ(fault(R"({"log":{"trace":1}})"), "op.json: log.trace: is not true or false");
    EXPECT_EQ(fault(R"({"log":{"lines_per_s":0}})"), "op.json: log.lines_per_s: is not from 1 to 100000");
    EXPECT_EQ(fault(R"({"grpc":{},"grpc":{}})"), "op.json: grpc: is given twice");
    EXPECT_EQ(fault(R"({"grpc":{"listen":"here"}})"), "op.json: grpc.listen: is not an address and a port");
    EXPECT_EQ(
        ofGrpc(R"("routes":[{"method":"/a.B/","class":"car-match"},{"method":"/a.B/C","class":"render"}])"),
        "op.json: grpc.routes[1].class: there is no class 'render'");
    EXPECT_EQ(ofGrpc(R"("routes":[{"method":"a.B/C","class":"car-match"}])"),
              "op.json: grpc.routes[0].method: is not '/service/method' or '/service/'");
    EXPECT_EQ(
        ofGrpc(
            R"("routes":[{"method":"/a.B/C","class":"car-match"},{"method":"/a.B/C","class":"job-assign"}])"),
        "op.json: grpc.routes[1]: '/a.B/C' has a route already");
    EXPECT_EQ(ofGrpc(R"("routes":[{"method":"/a.B/C"}])"), "op.json: grpc.routes[0].class: is missing");
    EXPECT_EQ(ofGrpc(R"("routes":{})"), "op.json: grpc.routes: is not a list");
    EXPECT_EQ(ofGrpc(R"("hold_bytes":70000)"), "op.json: grpc.hold_bytes: is not from 0 to 65536");
    EXPECT_EQ(ofGrpc(R"("hold_bytes":"1k")"), "op.json: grpc.hold_bytes: is not a whole number");
    EXPECT_EQ(ofGrpc(R"("servers":[{"name":"a","address":"nowhere"}])"),
              "op.json: grpc.servers[0].address: is not an address and a port");
    EXPECT_EQ(ofGrpc(R"("servers":[{"name":"a","address":"127.0.0.1:1","zone":"mars"}])"),
              "op.json: grpc.servers[0].zone: there is no zone 'mars'");
    EXPECT_EQ(
        ofGrpc(R"("servers":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"127.0.0.1:2"}])"),
        "op.json: grpc.servers[1]: there are two servers 'a'");
    EXPECT_EQ(ofGrpc(R"("backoff_ms":9000)"),
              "op.json: grpc.backoff_ms: the longest wait is below the first");
}

TEST(OperatorFile, ASectionThatIsOffMayNameWhatIsNotHere) {
    EXPECT_EQ(fault(R"({"grpc":{"listen":"","routes":[{"method":"/a.B/C","class":"render"}]}})"), "taken");
}

TEST(OperatorFile, TheShippedFileIsTakenAndAllOff) {
    std::ifstream file("deploy/operator.json");
    std::stringstream text;
    text << file.rdbuf();
    const Operator own = readOperator(site(), "deploy/operator.json", text.str());
    EXPECT_EQ(own.gearman.listen + own.consul.address + own.grpc.listen, "");
    EXPECT_EQ(own.consul.service, "job-server");
}

TEST(OperatorFile, ReadsRoutesAndServers) {
    const Operator own = readOperator(site(), "op.json", R"({"grpc":{"listen":"127.0.0.1:0",
        "routes":[{"method":"/a.B/","class":"car-match"},{"method":"/a.B/C","class":"job-assign","slots":3,"key":true}],
        "servers":[{"name":"a","address":"127.0.0.1:1","zone":"sofia-2","type":"std-4","group":4,"weight":2.5,
        "slots":7,"drain":true}]}})");
    EXPECT_EQ(own.grpc.routeOf("/a.B/C")->klass, 1u);
    EXPECT_EQ(own.grpc.routeOf("/a.B/C")->slots, 3);
    EXPECT_EQ(own.grpc.routeOf("/a.B/D")->klass, 0u);
    EXPECT_EQ(own.grpc.routeOf("/a.B/"), nullptr);
    EXPECT_EQ(own.grpc.routeOf("/a.Bx/C"), nullptr);
    ASSERT_EQ(own.grpc.servers.size(), 1u);
    EXPECT_EQ(own.grpc.servers[0].zone, 1);
    EXPECT_EQ(own.grpc.servers[0].slots, 7u);
    EXPECT_TRUE(own.grpc.servers[0].drain);
}

}  // namespace
}  // namespace amberswitch::config
