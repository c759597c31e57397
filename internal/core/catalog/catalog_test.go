package catalog

import (
	"testing"

	"github.com/matryer/is"
)

func testConfig() *Config {
	c := &Config{
		Routes: []*Route{
			{Name: "short", Host: "Climb.example", Prefix: "/a/"},
			{Name: "long", Host: "climb.example", Prefix: "/a/b/"},
			{Name: "other", Host: "other.example", Prefix: "/a/b/c/"},
		},
		Customers: []Customer{{Name: "triglav", APIKeys: []string{"k1", "k2"}}},
	}
	c.BuildIndexes()
	return c
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	is := is.New(t)
	c := testConfig()
	for _, row := range []struct{ host, path, want string }{
		{"climb.example", "/a/b/c/d", "long"},
		{"CLIMB.example:8080", "/a/x", "short"},
		{"other.example", "/a/b/c/", "other"},
		{"other.example", "/a/b/", ""},
		{"climb.example", "/a", ""},
		{"nowhere.example", "/a/", ""},
	} {
		got := ""
		if r := c.MatchRoute(row.host, row.path); r != nil {
			got = r.Name
		}
		is.Equal(got, row.want)
	}
}

func TestAPIKeyIdentifiesItsCustomer(t *testing.T) {
	is := is.New(t)
	c := testConfig()
	is.Equal(c.CustomerByKey("k2").Name, "triglav")
	is.Equal(c.CustomerByKey("k3"), nil)
	is.True(c.RequiresAPIKey())
}

func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{TrafficSplit: []WeightedService{{"old", 90}, {"new", 10}}}
	is.Equal(r.PickService(0), "old")
	is.Equal(r.PickService(0.899), "old")
	is.Equal(r.PickService(0.901), "new")
	is.Equal(r.PickService(0.9999), "new")
	is.Equal((&Route{}).PickService(0.5), "")
}
