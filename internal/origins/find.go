package origins

import (
	"context"
	"log/slog"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// getRequest asks a host for the record of an attempt of a route.
type getRequest struct {
	Attempt string `cbor:"1,keyasint"`
	Route   string `cbor:"2,keyasint"`
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
}

// Find returns the origin of the stream that an attempt began; attempt is empty if the
// caller names none. It reports false if the origin is not known.
func (r *Registry) Find(ctx context.Context, route, attempt string) (origin.Origin, bool) {
	own := r.lookUp(getRequest{attempt, route})
	if own.HasRecord {
		return known(own.Record.Origin)
	}
	others := membership.SelectByRendezvous(r.cfg.Peers.Others(), attempt, askedHosts)
	if attempt == "" {
		others = nil
	}
	answers := r.askAll(ctx, others, getRequest{attempt, route})
	if answers.record != nil {
		return known(answers.record.Origin)
	}
	// Without a record the stream began while there was a single version, or its record
	// is lost. In the second case this host or another one knows of two versions.
	if own.Several || answers.several {
		return origin.Origin{}, false
	}
	sole, ok := own.Sole, own.HasSole
	for _, o := range answers.soles {
		if ok && o != sole || r.excludes(route, o) {
			return origin.Origin{}, false
		}
		sole, ok = o, true
	}
	if ok {
		return sole, true
	}
	// Without the store no host is sure that no version has been registered since. But
	// then the stream would have a record, and all hosts that would hold it have none.
	if o, ok := r.sole(route, maxSoleAge); ok && answers.responses >= replicas && answers.responses == len(others) {
		return o, true
	}
	return origin.Origin{}, false
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
	// record is the record with the highest sequence, nil if no host has one: a host that
	// missed a record may hold an older one of the attempt.
	record *origin.Record
	// soles holds the origins that hosts tell to be those of all streams of the route.
	soles []origin.Origin
	// several means that a host knows of several versions: this one may not have learned
	// of the newest yet.
	several   bool
	responses int
}

// askAll asks hosts at the same time and waits for all responses, for getTimeout at
// most.
func (r *Registry) askAll(ctx context.Context, hosts []string, request getRequest) answers {
	var out answers
	payload, err := cbor.Marshal(request)
	if err != nil {
		r.cfg.Log.Error("request for a stream's origin can't be encoded", slog.Any("error", err))
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	received := make(chan *getResponse, len(hosts))
	for _, host := range hosts {
		go func() { received <- r.ask(ctx, host, payload) }()
	}
	for range hosts {
		response := <-received
		if response == nil {
			continue
		}
		out.responses++
		out.several = out.several || response.Several
		if response.HasSole {
			out.soles = append(out.soles, response.Sole)
		}
		if response.HasRecord && (out.record == nil || response.Record.Sequence > out.record.Sequence) {
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
	r.mu.Lock()
	defer r.mu.Unlock()
	response.Record, response.HasRecord = r.records.Get(request.Attempt, r.cfg.Clock.Now())
	response.Several = r.history != nil && r.history.Several(request.Route)
	return response
}

func (r *Registry) handleGet(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var request getRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "request for a stream's origin can't be read")
	}
	return cbor.Marshal(r.lookUp(request))
}
