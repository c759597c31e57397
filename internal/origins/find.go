package origins

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// readDelay is how long a search waits for the hosts that it asked before it reads the
	// store.
	readDelay = 30 * time.Millisecond
	// positionTimeout bounds how long a search waits until this host has learned what the
	// store holds, and positionInterval is the time between two looks.
	positionTimeout  = 400 * time.Millisecond
	positionInterval = 10 * time.Millisecond
	// awaitTimeout bounds how long a search waits for a host that reads all segments, and
	// askAgainInterval is the time between two attempts to ask one.
	awaitTimeout     = time.Second
	askAgainInterval = 100 * time.Millisecond
	// hostSearchInterval is the least time, for each host, between two reads of all segments
	// for searches.
	hostSearchInterval = 5 * time.Millisecond
)

// getRequest asks a host for the record of an attempt of a route.
type getRequest struct {
	Attempt string `cbor:"1,keyasint"`
	Route   string `cbor:"2,keyasint"`
	// Await means that a host that is reading all segments responds once it has.
	Await bool `cbor:"3,keyasint,omitempty"`
}

// getResponse is what a host knows: a record, if HasRecord is set, or the origin of all
// streams of the route, if HasSole is.
type getResponse struct {
	HasRecord bool          `cbor:"1,keyasint,omitempty"`
	Record    origin.Record `cbor:"2,keyasint,omitempty"`
	HasSole   bool          `cbor:"3,keyasint,omitempty"`
	Sole      origin.Origin `cbor:"4,keyasint,omitempty"`
	// Several means that streams of the route may have begun at several versions.
	Several bool `cbor:"5,keyasint,omitempty"`
	// Single is the origin of all streams of the route, if HasSingle is set, by facts that
	// the store confirmed some minutes ago at most.
	HasSingle bool          `cbor:"6,keyasint,omitempty"`
	Single    origin.Origin `cbor:"7,keyasint,omitempty"`
	// HoldsAll means that the host holds all records that are in the store.
	HoldsAll bool `cbor:"8,keyasint,omitempty"`
}

// Find returns the origin of the stream that an attempt began; attempt is empty if the
// caller names none. It reports false if the origin is not known.
//
// Without a record the stream began while there was a single version, or its record is lost.
// The facts of a host that is out of step, or has just started, can't tell these cases apart.
// So the origin is the single version only if the store, read after the call, knows of no
// other one, or, without the store, if all hosts that would hold the record say so.
func (r *Registry) Find(ctx context.Context, route, attempt string) (origin.Origin, bool) {
	request := getRequest{Attempt: attempt, Route: route}
	own := r.lookUp(request)
	if own.HasRecord {
		return known(own.Record.Origin)
	}
	others := membership.SelectByRendezvous(r.cfg.Peers.Others(), attempt, askedHosts)
	if !own.HasSole {
		for _, host := range r.cfg.Peers.Followed() {
			if !slices.Contains(others, host) {
				others = append(others, host)
			}
		}
	}
	if attempt == "" {
		others = nil
	}
	readCtx, stopReading := context.WithCancel(ctx)
	defer stopReading()
	asked := make(chan struct{})
	read := r.startReading(readCtx, asked)
	answers := r.askAll(ctx, others, request, getTimeout)
	if answers.record != nil {
		return known(answers.record.Origin)
	}
	if own.Several || answers.several {
		return r.findInSegments(ctx, request, answers.holdsAll)
	}
	close(asked)
	stored, err := read()
	var o origin.Origin
	var ok bool
	if err != nil {
		o, ok = r.soleOfHosts(route, attempt, answers)
	} else {
		o, ok = r.soleInStore(ctx, route, stored)
	}
	for _, sole := range answers.soles {
		ok = ok && sole == o
	}
	if !ok || r.excludes(route, o) {
		return origin.Origin{}, false
	}
	return o, true
}

// startReading reads the entries of the versions once asked is closed, or after readDelay if
// hosts are slow to answer. The function returned waits for the result.
func (r *Registry) startReading(ctx context.Context, asked <-chan struct{}) func() (storedVersionsAt, error) {
	var result storedVersionsAt
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		timer := time.NewTimer(readDelay)
		defer timer.Stop()
		select {
		case <-asked:
		case <-timer.C:
		case <-ctx.Done():
			err = ctx.Err()
			return
		}
		result, err = r.readVersions(ctx)
	}()
	return func() (storedVersionsAt, error) {
		<-done
		return result, err
	}
}

// soleInStore returns the origin of all streams of a route that began before the store was
// read.
func (r *Registry) soleInStore(ctx context.Context, route string, stored storedVersionsAt) (origin.Origin, bool) {
	switch {
	case !stored.complete:
		return origin.Origin{}, false
	case len(stored.versions) == 1:
		v := stored.versions[0]
		return v.Origin(), v.Software != ""
	}
	// Several services serve streams. This host knows which ones this route has led to, once
	// it has learned all that the store held.
	if !r.awaitPosition(ctx, stored.position) {
		return origin.Origin{}, false
	}
	return r.sole(route, maxSoleAge)
}

// awaitPosition waits until this host has learned what the store held at a position, for
// positionTimeout at most, and reports whether it has.
func (r *Registry) awaitPosition(ctx context.Context, position port.StorePosition) bool {
	for deadline := r.cfg.Clock.Now().Add(positionTimeout); ; port.Sleep(ctx, positionInterval) {
		r.mu.Lock()
		reached := !r.observed.Before(position)
		r.mu.Unlock()
		if reached || ctx.Err() != nil || r.cfg.Clock.Now().After(deadline) {
			return reached
		}
	}
}

// soleOfHosts returns the origin of all streams of a route if this host and all that
// responded know of one version only, and if at most one host does not respond of those
// that hold the attempt's record: that may be the host that made it.
func (r *Registry) soleOfHosts(route, attempt string, answers answers) (origin.Origin, bool) {
	o, ok := r.sole(route, maxSoleAge)
	var all []string
	for id := range r.cfg.Snapshot().Hosts {
		if id != r.cfg.HostID {
			all = append(all, id)
		}
	}
	silent := 0
	holders := membership.SelectByRendezvous(all, attempt, askedHosts)
	for _, id := range holders {
		if !answers.responded[id] {
			silent++
		}
	}
	if !ok || attempt == "" || len(holders) <= replicas || silent > 1 {
		return origin.Origin{}, false
	}
	return o, len(answers.singles) == len(answers.responded) && !slices.ContainsFunc(answers.singles, func(single origin.Origin) bool { return single != o })
}

// excludes reports whether this host knows of streams of a route that began elsewhere.
func (r *Registry) excludes(route string, o origin.Origin) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history != nil && r.history.Excludes(route, o)
}

func known(o origin.Origin) (origin.Origin, bool) { return o, o.Known() }

// answers is what other hosts know.
type answers struct {
	// record is the one that supersedes the others, nil if no host has one: a host that
	// missed a record may hold an older one of the attempt.
	record *origin.Record
	// soles and singles hold getResponse.Sole and Single of the hosts that know them.
	soles   []origin.Origin
	singles []origin.Origin
	// several means that a host knows of several versions: this one may not have learned
	// of the newest yet.
	several bool
	// holdsAll means that a host holds all records that are in the store.
	holdsAll bool
	// responded holds the hosts that did.
	responded map[string]bool
}

// askAll asks hosts at the same time and waits for all responses, or until timeout.
func (r *Registry) askAll(ctx context.Context, hosts []string, request getRequest, timeout time.Duration) answers {
	out := answers{responded: make(map[string]bool)}
	payload, err := cbor.Marshal(request)
	if err != nil {
		r.cfg.Log.Error("request for a stream's origin can't be encoded", slog.Any("error", err))
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type answer struct {
		host     string
		response *getResponse
	}
	received := make(chan answer, len(hosts))
	for _, host := range hosts {
		go func() { received <- answer{host, r.ask(ctx, host, payload)} }()
	}
	for range hosts {
		a := <-received
		response := a.response
		if response == nil {
			continue
		}
		out.responded[a.host] = true
		out.several = out.several || response.Several
		out.holdsAll = out.holdsAll || response.HoldsAll
		if response.HasSole {
			out.soles = append(out.soles, response.Sole)
		}
		if response.HasSingle {
			out.singles = append(out.singles, response.Single)
		}
		if response.HasRecord && (out.record == nil || response.Record.Supersedes(*out.record)) {
			out.record = &response.Record
		}
	}
	return out
}

// ask returns a host's response, nil if there is none.
func (r *Registry) ask(ctx context.Context, host string, payload []byte) *getResponse {
	raw, err := r.cfg.Peers.Ask(ctx, host, kindGet, payload)
	if err != nil {
		return nil
	}
	response := &getResponse{}
	if err := cbor.Unmarshal(raw, response); err != nil {
		r.cfg.Log.Warn("origin of a stream can't be decoded", slog.String("host", host), slog.Any("error", err))
		return nil
	}
	return response
}

// lookUp returns what this host knows itself.
func (r *Registry) lookUp(request getRequest) getResponse {
	var response getResponse
	response.Sole, response.HasSole = r.freshSole(request.Route)
	response.Single, response.HasSingle = r.sole(request.Route, maxSoleAge)
	response.HoldsAll = r.holdsAll()
	r.mu.Lock()
	defer r.mu.Unlock()
	response.Record, response.HasRecord = r.records.Get(request.Attempt, r.cfg.Clock.Now())
	response.Record = r.checked(response.Record)
	response.Several = r.history != nil && r.history.Several(request.Route)
	return response
}

// checked returns a record without its origin if the registrations that this host knows make that
// doubtful: whoever asks for the record may not know of them.
func (r *Registry) checked(record origin.Record) origin.Record {
	if record.Origin.IsDoubtful(r.cfg.Snapshot().Registrations) {
		record.Origin = origin.Origin{}
	}
	return record
}

func (r *Registry) handleGet(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var request getRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "request for a stream's origin can't be read")
	}
	if request.Await {
		r.awaitAll(ctx)
	}
	return cbor.Marshal(r.lookUp(request))
}
