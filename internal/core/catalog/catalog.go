// Package catalog defines the operator's configuration and the registered
// endpoints. Values are immutable once published, so readers need no lock.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// RouteKind is the kind of a route's requests. Together with Route.Resumable it
// decides whether they may be repeated.
type RouteKind uint8

// The kinds of routes.
const (
	// AtMostOnce is the kind of requests that may run at most once.
	AtMostOnce RouteKind = iota
	// Idempotent is the kind of requests that may be repeated.
	Idempotent
	// Stream is the kind of requests whose response is an event stream. They may
	// be repeated only if the route is Resumable.
	Stream
)

// Config is one version of the operator's configuration.
type Config struct {
	Version int64
	Routes  []*Route
	// Services holds the services by name.
	Services  map[string]*Service
	Customers []Customer
	Limits    Limits

	// routesByHost holds the routes by their host in lower case, those with the
	// longest prefix first.
	routesByHost map[string][]*Route
	// customersByKey holds the customers by API key.
	customersByKey map[string]*Customer
	// urgencyByPriorities holds the urgency of each combination of priorities.
	urgencyByPriorities map[priorities]int
}

// Route describes how requests for a Host header and path prefix are served.
type Route struct {
	Name string
	// Host is the Host header without the port; case is ignored.
	Host string
	// Prefix is the prefix of the path.
	Prefix string
	Kind   RouteKind
	// Timeout limits the time from receiving a request to the end of its response,
	// retries included. 0 means that only the caller's timeout applies, or the
	// host's default if the caller sets none.
	Timeout time.Duration
	// TargetLatency is the target time to the response, or to the first event of
	// a stream.
	TargetLatency time.Duration
	// TargetEventGap is the target maximum time between two events of a stream.
	TargetEventGap time.Duration
	// Priority orders requests whose customers have the same priority; 0 is the
	// most urgent.
	Priority int
	// TrafficSplit distributes the requests over services by weight.
	TrafficSplit []WeightedService
	// MaxAttempts limits the attempts that an endpoint may have run, the first
	// included; attempts that certainly did not run are not counted. It applies
	// only if the route is Repeatable.
	MaxAttempts int
	// Stages run before the request is forwarded.
	Stages []Stage
	// Public means that requests need no API key.
	Public bool
	// CacheAffinity means that requests with the same prompt parts are sent to the
	// same endpoints, whose prompt caches are likely to hold these parts.
	CacheAffinity bool
	// Resumable means that a stream can be resumed on another endpoint.
	Resumable bool
	// Regions lists the regions whose endpoints may be used; empty allows all.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ResumableStream reports whether the route's responses are streams that can be
// resumed at another endpoint.
func (r *Route) ResumableStream() bool { return r.Kind == Stream && r.Resumable }

// WeightedService is a service and its weight in a route's traffic split.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the weights of the split.
	Weight float64
}

// Stage is preparatory work whose results a request needs.
type Stage struct {
	// Service is the name of the service that runs the stage.
	Service string
	// DependsOn lists the indexes, in Route.Stages, of the stages whose results
	// this one needs.
	DependsOn []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections limits the requests in flight from all hosts to one endpoint,
	// each on a connection of its own. Each host may use a whole share of the limit,
	// which is none for some if there are more hosts. 0 means no limit.
	MaxConnections int
	// WarmUpTime is how long an endpoint stays cold after its start.
	WarmUpTime time.Duration
	// WarmUpRate limits the requests per second from all hosts to a cold endpoint.
	// 0 means no limit.
	WarmUpRate float64
	// StageLimits is set for services that run stages, nil for others.
	StageLimits *StageLimits
}

// StageLimits are the limits of one endpoint of a service that runs stages.
type StageLimits struct {
	// MaxConcurrentCalls limits the stage calls in progress.
	MaxConcurrentCalls int
	// MaxBatch limits the pieces in one call.
	MaxBatch int
	// CallOverhead and TimePerPiece estimate the duration of a call: a fixed part
	// and one for each piece.
	CallOverhead, TimePerPiece time.Duration
	// ResultCapacityBytes is the space for stored results.
	ResultCapacityBytes int64
	// ResultTTL is how long a result is stored unless it is freed earlier.
	ResultTTL time.Duration
}

// Customer is a customer with its API keys.
type Customer struct {
	Name    string
	APIKeys []string
	// Priority is compared before the route's priority, which breaks ties; 0 is
	// the most urgent. It counts as 0 unless HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions lists the regions whose endpoints may be used; empty allows all.
	Regions []string
}

// Limits are the limits on connections and requests of callers. For each, 0 means
// the default of the listener.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout limits the time from the first byte of a request to the end of
	// its header.
	HeaderTimeout time.Duration
	// IdleTimeout limits the time that a connection waits for the first byte of a
	// request.
	IdleTimeout time.Duration
}

// Endpoint is a registered endpoint, in the state that its registration shows.
type Endpoint struct {
	ID string
	// Service is the name of the endpoint's service.
	Service string
	// Address is IP:PORT.
	Address string
	// Zone is the endpoint's availability zone.
	Zone string
	// SoftwareVersion is the version of the endpoint's software, not that of its model's
	// weights nor that of the configuration; empty if unknown. Streams of different
	// versions don't fit together.
	SoftwareVersion string
	// Slots is the number of requests that the endpoint can run at once.
	Slots int
	// Draining means that the endpoint is shutting down and gets no new requests.
	Draining bool
	// WarmUpRemaining is how long the endpoint stays cold, counted from the time
	// at which the registration was written.
	WarmUpRemaining time.Duration
	// StartedUnixMs is the start time of the endpoint's process in Unix
	// milliseconds; 0 if unknown.
	StartedUnixMs int64
	// Revision is the store revision of the registration.
	Revision int64
}

// Incarnation identifies an endpoint and one start of its process.
type Incarnation struct {
	ID            string
	StartedUnixMs int64
}

// Incarnation returns the endpoint's incarnation.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{e.ID, e.StartedUnixMs} }

// BuildIndexes builds the tables that MatchRoute, CustomerByKey and Urgency use.
// Call it once, before the Config is published.
func (c *Config) BuildIndexes() {
	c.routesByHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	c.assignUrgencies()
	c.customersByKey = make(map[string]*Customer)
	for i := range c.Customers {
		for _, k := range c.Customers[i].APIKeys {
			c.customersByKey[k] = &c.Customers[i]
		}
	}
}

// MatchRoute returns the route for a Host header with the longest matching path
// prefix, or nil. It ignores the port and the case of host.
func (c *Config) MatchRoute(host, path string) *Route {
	for _, r := range c.routesByHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CanonicalHost returns the host name in a Host header, in lower case and without the port.
func CanonicalHost(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return host
}

// CustomerByKey returns the customer with the API key, or nil.
func (c *Config) CustomerByKey(key string) *Customer { return c.customersByKey[key] }

// RequiresAPIKey reports whether requests of non-public routes need an API key.
func (c *Config) RequiresAPIKey() bool { return len(c.Customers) > 0 }

// PickService selects a service by weight; draw is a random number in [0,1). It
// returns an empty name if the route has no services.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.TrafficSplit {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	if n := len(r.TrafficSplit); n > 0 {
		return r.TrafficSplit[n-1].Service
	}
	return ""
}
