#include <boost/test/unit_test.hpp>

#include "core/routing.h"

namespace comfreyfold {
namespace {

Route MakeRoute(const std::string& prefix, const std::string& service) {
  Route out;
  out.name = prefix;
  out.host = "shop.example";
  out.prefix = prefix;
  out.services = {{service, 1}};
  return out;
}

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins) {
  RoutingConfig config;
  config.routes = {MakeRoute("/a/", "one"), MakeRoute("/a/b/", "two"),
                   MakeRoute("/", "three")};
  BOOST_TEST(config.Find("shop.example", "/a/b/c")->services[0].service ==
             "two");
  BOOST_TEST(config.Find("SHOP.example:80", "/a/x")->services[0].service ==
             "one");
  BOOST_TEST(config.Find("shop.example", "/a")->services[0].service == "three");
  BOOST_TEST(config.Find("other.example", "/a/b/c") == nullptr);
}

BOOST_AUTO_TEST_CASE(traffic_split_follows_its_weights) {
  auto route = MakeRoute("/a/", "one");
  route.services = {{"one", 90}, {"two", 10}};
  int requests_to_two = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    requests_to_two += route.Choose(draw) == "two" ? 1 : 0;
  }
  BOOST_TEST(requests_to_two == 100);
}

BOOST_AUTO_TEST_CASE(only_safe_and_resumable_stream_requests_are_repeatable) {
  Route route;
  route.kind = RequestKind::kUnsafe;
  BOOST_TEST(!route.Repeatable());
  route.resumable = true;
  BOOST_TEST(!route.Repeatable());
  route.kind = RequestKind::kStream;
  BOOST_TEST(route.Repeatable());
  route.resumable = false;
  BOOST_TEST(!route.Repeatable());
  route.kind = RequestKind::kSafe;
  BOOST_TEST(route.Repeatable());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
