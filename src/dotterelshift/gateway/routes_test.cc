#include "dotterelshift/gateway/routes.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

Route RouteTo(const std::string& name, const std::string& host,
              const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

class RoutesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutesTest);
  CPPUNIT_TEST(LongestPrefixOfTheHostWins);
  CPPUNIT_TEST(TeamIsFoundByKey);
  CPPUNIT_TEST_SUITE_END();

  void LongestPrefixOfTheHostWins() {
    Routes routes;
    routes.routes = {RouteTo("short", "a.example", "/x/"),
                     RouteTo("long", "a.example", "/x/y/"),
                     RouteTo("other", "b.example", "/x/")};
    const RouteTable table(std::move(routes));
    const auto name = [&table](const char* host, const char* path) {
      const Route* route = table.FindRoute(host, path);
      return route == nullptr ? std::string("none") : route->name;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("short"), name("a.example", "/x/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("long"), name("a.example", "/x/y/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("short"), name("a.example", "/x/y"));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), name("B.Example:80", "/x/y/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), name("a.example", "/z/"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), name("c.example", "/x/1"));
  }

  void TeamIsFoundByKey() {
    Routes routes;
    routes.teams.push_back({"ucad", {"k1", "k2"}, std::nullopt, 100});
    const RouteTable table(std::move(routes));
    CPPUNIT_ASSERT(table.HasTeams());
    CPPUNIT_ASSERT_EQUAL(std::string("ucad"), table.FindTeam("k2")->team);
    CPPUNIT_ASSERT(table.FindTeam("") == nullptr);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RoutesTest);

}  // namespace
}  // namespace dotterelshift::gateway
