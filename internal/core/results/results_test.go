package results

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

func request(customer, idempotencyKey, input string) *pipeline.Request {
	return &pipeline.Request{
		Customer: customer, IdempotencyKey: idempotencyKey, Input: json.RawMessage(input),
		Pipeline: release.Pipeline{Name: "p", Stages: []release.Stage{{Name: "encode"}}},
	}
}

func TestDifferentRequestsHaveDifferentKeys(t *testing.T) {
	is := is.New(t)
	changed := request("a", "k", `1`)
	changed.Pipeline.Stages = []release.Stage{{Name: "encode", Path: "/v2"}}
	seen := map[Key]bool{}
	for _, r := range []*pipeline.Request{
		request("a", "k", `1`), request("b", "k", `1`), request("a", "", `1`), request("a", "k", `2`),
		request("ak", "", `1`), request("a", "k1", ``), changed,
	} {
		k, err := KeyOf(r)
		is.NoErr(err)
		is.True(!seen[k])
		seen[k] = true
	}
	again, err := KeyOf(request("a", "k", `1`))
	is.NoErr(err)
	is.True(seen[again])
}

func TestCacheEvictsBySizeAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const maxBytes = 64 << 10 // less than the 100 results below need
		c := NewCache(port.SystemClock{}, maxBytes)
		expiresAt := time.Now().Add(time.Second)
		for i := range 100 {
			c.Put(Key{byte(i)}, 0, pipeline.CachedStage{Output: make([]byte, 1000)}, expiresAt)
			is.True(c.Bytes() <= maxBytes)
		}
		is.Equal(len(c.Get(Key{0})), 0)
		is.Equal(len(c.Get(Key{99})), 1)
		c.Put(Key{99}, 2, pipeline.CachedStage{}, expiresAt) // stage 1 is missing
		c.Put(Key{99}, 0, pipeline.CachedStage{}, expiresAt) // a second result for the stage
		is.Equal(len(c.Get(Key{99})), 1)
		is.Equal(len(c.Get(Key{99})[0].Output), 1000)
		c.Put(Key{200}, 0, pipeline.CachedStage{Output: make([]byte, MaxOutputBytes+1)}, expiresAt)
		is.Equal(len(c.Get(Key{200})), 0)
		time.Sleep(time.Second)
		is.Equal(len(c.Get(Key{99})), 0)
		c.Put(Key{1}, 0, pipeline.CachedStage{}, time.Now().Add(time.Second))
		is.Equal(c.Bytes(), entryOverheadBytes) // only the new entry, whose output is empty
	})
}

func TestOwnersAreBalancedAndStable(t *testing.T) {
	is := is.New(t)
	var members []port.Member
	for i := range 8 {
		members = append(members, port.Member{ID: fmt.Sprint("host-", i)})
	}
	withLeaving := append([]port.Member(nil), members...)
	withLeaving[3].State = port.MemberLeaving
	keysPerHost := map[string]int{}
	for i := range 4000 {
		k := Key{byte(i), byte(i >> 8)}
		owner, _ := Owner(members, k)
		keysPerHost[owner]++
		newOwner, _ := Owner(withLeaving, k)
		is.True(newOwner != "host-3")
		is.True(owner == "host-3" || newOwner == owner)
	}
	for _, n := range keysPerHost {
		is.True(n > 300 && n < 700) // 500 each on average
	}
	_, ok := Owner(nil, Key{})
	is.True(!ok)
}
