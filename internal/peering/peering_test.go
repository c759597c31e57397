package peering

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

// silent is a link on which some hosts do not answer.
type silent struct {
	mu    sync.Mutex
	quiet map[string]bool
	reset []string
}

func (s *silent) Ask(ctx context.Context, address, _ string, _ []byte) ([]byte, error) {
	s.mu.Lock()
	quiet := s.quiet[address]
	s.mu.Unlock()
	if quiet {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(time.Millisecond):
		return []byte{1}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *silent) Reset(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset = append(s.reset, address)
}

func (s *silent) set(quiet bool, addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		s.quiet[a] = quiet
	}
}

func newGroup(link *silent) *Group {
	hosts := make(map[string]facts.Host)
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		hosts[id] = facts.Host{ID: id, Address: id, Started: int64(10 - i)}
	}
	g := &Group{cfg: Config{Self: hosts["e"], Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler), Hosts: func() map[string]facts.Host { return hosts }},
		suspects: make(map[string]bool), asking: make(map[string]*asked), link: link}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

func TestHostsThatAreCutOffTogetherAreSuspectedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := &silent{quiet: make(map[string]bool)}
		g := newGroup(link)
		defer func() { g.cancel(); synctest.Wait() }()
		is.Equal(g.Candidates(), []string{"a", "b", "c", "d", "e"})
		link.set(true, "a", "b", "c", "d")
		began := time.Now()
		_, err := g.Ask(context.Background(), "a", "work", nil)
		is.True(err != nil)
		is.True(time.Since(began) <= pingInterval+pingTimeout+time.Millisecond)
		<-time.After(pingTimeout + time.Millisecond)
		synctest.Wait()
		is.Equal(g.Candidates(), []string{"e"})
		is.Equal(g.Reach(), 0.2)
	})
}

func TestASuspectedHostIsBackOnceItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := &silent{quiet: make(map[string]bool)}
		g := newGroup(link)
		defer func() { g.cancel(); synctest.Wait() }()
		link.set(true, "a")
		_, err := g.Ask(context.Background(), "a", "work", nil)
		is.True(err != nil)
		is.Equal(g.Candidates()[0], "b")
		link.set(false, "a")
		<-time.After(probeInterval + pingTimeout)
		synctest.Wait()
		is.Equal(g.Candidates()[0], "a")
		is.True(len(link.reset) > 0)
	})
}

func TestACallerThatGivesUpSuspectsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := &silent{quiet: map[string]bool{"a": true}}
		g := newGroup(link)
		defer func() { g.cancel(); synctest.Wait() }()
		ctx, cancel := context.WithTimeout(context.Background(), pingInterval/2)
		defer cancel()
		_, err := g.Ask(ctx, "a", "work", nil)
		is.True(err != nil)
		is.Equal(len(g.Others()), 4)
	})
}

func TestAHostThatLeavesTakesOverNothing(t *testing.T) {
	is := is.New(t)
	g := newGroup(&silent{})
	g.leaving = true
	is.Equal(g.Candidates(), []string{"a", "b", "c", "d"})
}

// The keeper asks nobody for work; its beats show it that it is cut off.
func TestAHostWithoutWorkForOthersFindsOutThatItIsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := &silent{quiet: make(map[string]bool)}
		g := newGroup(link)
		defer func() { g.cancel(); synctest.Wait() }()
		go g.beat()
		<-time.After(10 * beatInterval)
		is.Equal(len(g.Others()), 4)
		is.True(!g.Alone())
		link.set(true, "a", "b", "c", "d")
		<-time.After(beatInterval + 2*pingTimeout + time.Millisecond)
		synctest.Wait()
		is.True(g.Alone())
		link.set(false, "b")
		<-time.After(probeInterval + pingTimeout)
		synctest.Wait()
		is.True(!g.Alone())
	})
}

// A host whose lease has lapsed while it does not reach the store is unknown to
// the others, which ask another one.
func TestAHostThatIsNotEnteredGivesWayToThoseThatAnswer(t *testing.T) {
	is := is.New(t)
	g := newGroup(&silent{})
	known := g.cfg.Hosts()
	g.cfg.Self = known["a"]
	is.Equal(g.Candidates()[0], "a")
	delete(known, "a")
	is.Equal(g.Candidates(), []string{"b", "c", "d", "e"})
	for _, id := range []string{"b", "c", "d", "e"} {
		g.suspects[id] = true
	}
	is.Equal(g.Candidates(), []string{"a"}) // alone it has to do its work itself
}

// feed keeps the newest value written under each key.
type feed struct {
	port.WatchableStore
	values   map[string][]byte
	revision int64
	ttl      time.Duration
}

func (f *feed) GrantLease(_ context.Context, ttl time.Duration) (int64, error) {
	f.ttl = ttl
	return 1, nil
}

func (f *feed) Range(context.Context, string) ([]port.KeyValue, int64, error) {
	return nil, f.revision, nil
}

func (f *feed) CompareAndSwap(_ context.Context, key string, value []byte, prev, _ int64) (int64, error) {
	if prev != f.revision {
		return 0, port.ErrConflict
	}
	f.revision++
	f.values[key] = value
	return f.revision, nil
}

// Hosts are restarted in turn: the one that gathers work stays, and the one that
// has just been restarted is next.
func TestWorkStaysWithTheHostThatGathersIt(t *testing.T) {
	is := is.New(t)
	g := newGroup(&silent{})
	defer g.cancel()
	f := &feed{values: make(map[string][]byte), revision: 7}
	g.cfg.Feed, g.cfg.Prefix = f, "own/"
	known := g.cfg.Hosts()
	is.Equal(g.Candidates(), []string{"a", "b", "c", "d", "e"}) // the last that started first
	c := known["c"]
	c.KeeperSince = 100
	known["c"] = c
	is.Equal(g.Candidates(), []string{"c", "a", "b", "d", "e"})
	fresh := known["b"]
	fresh.Started = 1000
	known["b"] = fresh
	is.Equal(g.Candidates(), []string{"c", "b", "a", "d", "e"})
	c.Leaving = true
	known["c"] = c
	is.Equal(g.Candidates(), []string{"b", "a", "d", "e"})
	g.ClaimCoordination() // not entered yet
	is.Equal(len(f.values), 0)
	g.lease, g.revision = 1, 7
	g.ClaimCoordination()
	g.ClaimCoordination()
	is.Equal(f.revision, int64(8)) // written once
	var own facts.Host
	is.NoErr(json.Unmarshal(f.values["own/hosts/e"], &own))
	is.True(own.KeeperSince > 0)
	is.Equal(g.Candidates()[0], "e")
}

// Hosts that lose the store for twelve seconds, as on the users' days, stay known
// to the others, which go on reaching them.
func TestAnEntryOutlivesACutFromTheStore(t *testing.T) {
	is := is.New(t)
	g := newGroup(&silent{})
	defer g.cancel()
	f := &feed{values: make(map[string][]byte)}
	g.cfg.Feed, g.cfg.Prefix = f, "own/"
	_, err := g.enter(t.Context())
	is.NoErr(err)
	is.True(f.ttl >= 12*time.Second+2*keepInterval)
	is.Equal(len(f.values), 1)
}
