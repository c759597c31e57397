// Package catalog holds what the operator has put in force, and the endpoints
// that are known to serve it. Its values are immutable once published: readers
// need no lock.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// Once marks requests that may run at most once.
	Once Kind = iota
	// Idempotent marks requests that may run again.
	Idempotent
	// Stream marks requests answered by a series of events.
	Stream
)

// Config is one version of the operator's configuration.
type Config struct {
	Version   int64
	Routes    []*Route
	Services  map[string]*Service
	Customers []Customer
	Limits    Limits

	byHost map[string][]*Route
	byKey  map[string]*Customer
	// urgencies numbers the ranks of requests.
	urgencies map[rank]int
}

// Route says where requests of a host and path prefix go and how long they may take.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time in which a request is answered.
	Timeout time.Duration
	// Target is the time in which an answer, or a stream's first event, is wanted.
	Target time.Duration
	// GapTarget is the longest pause between events of a stream in time.
	GapTarget time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Split holds the services by weight.
	Split       []Share
	MaxAttempts int
	Stages      []Stage
	// Public routes need no key.
	Public bool
	// PromptCache is set where requests carry prompt prefixes.
	PromptCache bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Regions holds the only regions allowed; empty allows all.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Stage is work that must be done before a request can run.
type Stage struct {
	Service string
	// After holds the indexes of the stages whose results it needs.
	After []int
	// ResultBytes is the approximate size of one piece's result.
	ResultBytes int64
}

// Service is a group of equal endpoints.
type Service struct {
	Name           string
	MaxConnections int
	// WarmUp is how long an endpoint stays cold after its start.
	WarmUp time.Duration
	// WarmUpRate is the requests a second that a cold endpoint bears.
	WarmUpRate float64
	// Stages is set for services that work on pieces.
	Stages *StageLimits
}

// StageLimits are the limits of one endpoint that works on pieces.
type StageLimits struct {
	// Concurrent bounds the calls in progress.
	Concurrent int
	// Batch is the largest number of pieces in a call.
	Batch int
	// CallTime and PieceTime are the approximate cost of a call and of each piece.
	CallTime, PieceTime time.Duration
	// RoomBytes is the space for results.
	RoomBytes int64
	// ResultLife is how long a result is kept unless it is freed.
	ResultLife time.Duration
}

// Customer is a customer with its keys.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions holds the only regions allowed; empty allows all.
	Regions []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Endpoint is one lifetime of a server.
type Endpoint struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// WarmUpLeft is how long it stays cold, as of the entry's writing.
	WarmUpLeft time.Duration
	// Born is the start of its lifetime in Unix milliseconds; 0 if it does not say.
	Born int64
	// Revision is the store's revision of the entry.
	Revision int64
}

// Lifetime identifies one start of an endpoint.
type Lifetime struct {
	ID   string
	Born int64
}

// Lifetime returns the endpoint's lifetime.
func (e *Endpoint) Lifetime() Lifetime { return Lifetime{e.ID, e.Born} }

// Index prepares the look-ups. Call it once, before the Config is published.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	c.orderRanks()
	c.byKey = make(map[string]*Customer)
	for i := range c.Customers {
		for _, k := range c.Customers[i].Keys {
			c.byKey[k] = &c.Customers[i]
		}
	}
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns the customer that holds the key, or nil.
func (c *Config) Customer(key string) *Customer { return c.byKey[key] }

// KeysNeeded reports whether requests of routes that are not public need a key.
func (c *Config) KeysNeeded() bool { return len(c.Customers) > 0 }

// ServiceFor returns the route's service for a draw in [0,1).
func (r *Route) ServiceFor(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Split {
		if left -= s.Weight; left < 0 {
			return s.Service
		}
	}
	if n := len(r.Split); n > 0 {
		return r.Split[n-1].Service
	}
	return ""
}
