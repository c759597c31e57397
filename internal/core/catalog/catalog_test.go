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
		Customers: []Customer{{Name: "triglav", Keys: []string{"k1", "k2"}}},
	}
	c.Index()
	return c
}

func TestTheLongestPrefixOfTheHostMatches(t *testing.T) {
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
		if r := c.Match(row.host, row.path); r != nil {
			got = r.Name
		}
		is.Equal(got, row.want)
	}
}

func TestKeysNameTheirCustomer(t *testing.T) {
	is := is.New(t)
	c := testConfig()
	is.Equal(c.Customer("k2").Name, "triglav")
	is.Equal(c.Customer("k3"), nil)
	is.True(c.KeysNeeded())
}

func TestASplitFollowsItsWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{Split: []Share{{"old", 90}, {"new", 10}}}
	is.Equal(r.ServiceFor(0), "old")
	is.Equal(r.ServiceFor(0.899), "old")
	is.Equal(r.ServiceFor(0.901), "new")
	is.Equal(r.ServiceFor(0.9999), "new")
	is.Equal((&Route{}).ServiceFor(0.5), "")
}
