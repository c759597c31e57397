package poison_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/port"
)

func parts(ids ...string) []port.PromptPart {
	var list []port.PromptPart
	for _, id := range ids {
		list = append(list, port.PromptPart{ID: id, Tokens: 10})
	}
	return list
}

func listOf(x port.Exchange) []poison.Trait { return poison.NewRequest("", &x).Traits() }

// Guards against blaming the last part of a prompt, which belongs to one request alone.
func TestLastPartNeverCounts(t *testing.T) {
	is := is.New(t)
	whole := poison.RequestTrait(suspect.NewFingerprint("", "", nil))
	is.Equal(listOf(port.Exchange{}), []poison.Trait{whole})
	is.Equal(listOf(port.Exchange{Prompt: parts("own")}), []poison.Trait{whole})
	is.Equal(listOf(port.Exchange{Prompt: parts("first", "middle", "own")}), []poison.Trait{whole, "part/first", "part/middle"})
}

// Guards against whole requests that are taken for one another.
func TestRequestsAreToldApart(t *testing.T) {
	is := is.New(t)
	seen := make(map[poison.Trait]bool)
	for _, r := range []struct {
		customer string
		port.Exchange
	}{
		{"", port.Exchange{}}, {"k", port.Exchange{}}, {"", port.Exchange{Host: "h", Target: "/t"}}, {"", port.Exchange{Target: "/t"}}, {"", port.Exchange{Body: []byte("b")}},
		{"", port.Exchange{Target: "/a/b"}}, {"", port.Exchange{Target: "/a%2Fb"}}, {"", port.Exchange{Target: "/a%252Fb"}}, {"", port.Exchange{Target: "/t?a"}}, {"", port.Exchange{Target: "/T"}},
	} {
		seen[poison.NewRequest(r.customer, &r.Exchange).Traits()[0]] = true
	}
	is.Equal(len(seen), 10)
}

// Guards against one request that counts as several (incident BUDGET): with other API keys of its
// customer, or another spelling of its host or target.
func TestSpellingsOfARequestAreOne(t *testing.T) {
	for _, spellings := range [][]port.Exchange{
		{{APIKey: "key-1"}, {APIKey: "key-2"}, {}},
		{{Host: "api.example"}, {Host: "API.example"}, {Host: "api.example:80"}, {Host: "Api.Example:8443"}},
		{{Host: "[::1]"}, {Host: "[::1]:80"}},
		{{Target: "/a~b/c%2F%"}, {Target: "/%61~b/c%2f%"}, {Target: "/a%7Eb/%63%2F%"}},
		{{Target: "/a?q=%zz1"}, {Target: "/%61?%71=%zz%31"}},
	} {
		is := is.New(t)
		for i := range spellings {
			is.Equal(poison.NewRequest("triglav", &spellings[i]).Traits(), poison.NewRequest("triglav", &spellings[0]).Traits())
		}
	}
}

// Guards against malformed lists of parts that count a part twice, use up memory or
// count parts without a name.
func TestMalformedPromptLists(t *testing.T) {
	is := is.New(t)
	is.Equal(listOf(port.Exchange{Prompt: parts("a", "a", "", "b", "a", "own")})[1:], []poison.Trait{"part/a", "part/b"})
	is.Equal(len(listOf(port.Exchange{Prompt: parts("", "", "")})), 1)
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint("part-", i))
	}
	traits := listOf(port.Exchange{Prompt: parts(ids...)})
	is.Equal(len(traits), 33)
	is.Equal(traits[1], poison.Trait("part/part-0"))
}

// Guards against IDs that break keys and log lines or imitate other traits.
func TestUnusualIDsAreHashed(t *testing.T) {
	is := is.New(t)
	seen := make(map[poison.Trait]bool)
	unusual := []string{"", "~", "a b", "a/b", "../x", "a\nb", "é", "\x00", "\xff", strings.Repeat("x", 65), strings.Repeat("x", 100_000), "~" + strings.Repeat("0", 32)}
	for _, id := range unusual {
		trait := poison.PartTrait(id)
		is.True(strings.HasPrefix(string(trait), "part/~"))
		is.Equal(len(trait), len("part/~")+32)
		seen[trait] = true
	}
	is.Equal(len(seen), len(unusual))
	is.Equal(poison.PartTrait("5c1e07a2"), poison.Trait("part/5c1e07a2"))
	is.Equal(poison.PartTrait(strings.Repeat("x", 64)), poison.Trait("part/"+strings.Repeat("x", 64)))
}
