package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

var startTime = time.UnixMilli(1_000_000)

// TestStreamGoesOnOnlyWhereItBegan guards against streams that go on at another version
// or service, or at another endpoint if versions are not known.
func TestStreamGoesOnOnlyWhereItBegan(t *testing.T) {
	is := is.New(t)
	began := &catalog.Endpoint{ID: "e1", Service: "pool", SoftwareVersion: "v1", StartedUnixMs: 5}
	o := Of(began, startTime)
	is.True(o.Allows(began))
	is.True(o.Allows(&catalog.Endpoint{ID: "e2", Service: "pool", SoftwareVersion: "v1"}))
	is.True(!o.Allows(&catalog.Endpoint{ID: "e1", Service: "pool", SoftwareVersion: "v2"}))
	is.True(!o.Allows(&catalog.Endpoint{ID: "e3", Service: "other", SoftwareVersion: "v1"}))
	is.True(!Origin{}.Allows(&catalog.Endpoint{ID: "e1"}))

	unversioned := &catalog.Endpoint{ID: "e1", Service: "pool", StartedUnixMs: 5}
	o = Of(unversioned, startTime)
	is.True(o.Allows(unversioned))
	is.True(!o.Allows(&catalog.Endpoint{ID: "e2", Service: "pool"}))
	is.True(!o.Allows(&catalog.Endpoint{ID: "e1", Service: "pool", StartedUnixMs: 6}))
}

// TestOriginIsDoubtfulIfItsEndpointChanged guards against an endpoint that had started
// anew, or whose registration had changed, when the host still believed the old one.
func TestOriginIsDoubtfulIfItsEndpointChanged(t *testing.T) {
	is := is.New(t)
	o := Of(&catalog.Endpoint{ID: "e1", Service: "pool", SoftwareVersion: "v1", StartedUnixMs: 5}, startTime)
	registered := func(version string, started int64) catalog.Registration {
		return catalog.Registration{Service: "pool", SoftwareVersion: version, StartedUnixMs: started}
	}
	isDoubtful := func(id string, list ...catalog.Registration) bool {
		return o.IsDoubtful(catalog.Registrations{id: list})
	}
	own := registered("v1", 5)
	is.True(!isDoubtful("e1"))
	is.True(!isDoubtful("e1", own))
	is.True(!isDoubtful("e2", registered("v2", 6)))
	for _, before := range [][]catalog.Registration{nil, {own}, {ended(own)}} {
		after := func(r catalog.Registration) []catalog.Registration { return append(slices.Clone(before), r) }
		is.True(isDoubtful("e1", after(registered("v2", 5))...))                           // its registration changed
		is.True(isDoubtful("e1", after(registered("v2", startTime.UnixMilli()-100))...))   // it had started anew
		is.True(isDoubtful("e1", after(registered("v2", startTime.UnixMilli()+1000))...))  // perhaps, as clocks differ
		is.True(!isDoubtful("e1", after(registered("v2", startTime.UnixMilli()+9000))...)) // long after

		// The registration has ended as well.
		is.True(isDoubtful("e1", after(ended(registered("v2", 5)))...))
		is.True(isDoubtful("e1", after(ended(registered("v2", startTime.UnixMilli()-100)))...))
		is.True(!isDoubtful("e1", after(ended(registered("v2", startTime.UnixMilli()+9000)))...))
	}
	is.True(isDoubtful("e1", catalog.Registration{Service: "other", SoftwareVersion: "v1", StartedUnixMs: 5}))

	// What ran before the origin's own process does not count.
	is.True(!isDoubtful("e1", ended(registered("v0", 4)), own))
	is.True(!isDoubtful("e1", ended(registered("v0", 5)), own))
	is.True(!isDoubtful("e1", ended(registered("v0", 4))))
	is.True(isDoubtful("e1", ended(registered("v0", 4)), ended(own), registered("v2", 6)))
}

// ended returns a registration that has ended.
func ended(r catalog.Registration) catalog.Registration {
	r.EndedAt = startTime
	return r
}

// TestRecordOfADoubtfulOriginStays guards against a record that names an origin although another
// host knows that it is in doubt.
func TestRecordOfADoubtfulOriginStays(t *testing.T) {
	is := is.New(t)
	o := Of(&catalog.Endpoint{ID: "e1", Service: "pool", SoftwareVersion: "v1", StartedUnixMs: 5}, startTime)
	records := NewRecords()
	put := func(o Origin, sequence int) Record {
		records.Put(Record{Attempt: "a", Origin: o, Sequence: sequence}, startTime, startTime.Add(time.Minute))
		r, _ := records.Get("a", startTime)
		return r
	}
	is.True(put(o, 1).Origin.Known())
	is.True(!put(Origin{}, 1).Origin.Known())
	is.True(!put(o, 1).Origin.Known())
	is.True(!put(o, 0).Origin.Known())
	is.True(put(o, 2).Origin.Known()) // of a later attempt
}

func configOf(services ...string) *catalog.Config {
	var split []catalog.WeightedService
	for _, s := range services {
		split = append(split, catalog.WeightedService{Service: s, Weight: 1})
	}
	return &catalog.Config{Routes: []*catalog.Route{{Name: "r", Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second, TrafficSplit: split}}}
}

// registeredEndpoints returns the registration of an endpoint of each version of the services.
func registeredEndpoints(versionsByService map[string][]string) catalog.Registrations {
	registrations := make(catalog.Registrations)
	for service, versions := range versionsByService {
		for i, v := range versions {
			registrations[fmt.Sprint(service, i)] = []catalog.Registration{{Service: service, SoftwareVersion: v}}
		}
	}
	return registrations
}

// TestSoleVersionIsKnownOnlyAfterAllStreamsHaveEnded guards against hosts that say where a
// stream began though it may have begun at a version that has left, on a route that led
// to another service, or before they started.
func TestSoleVersionIsKnownOnlyAfterAllStreamsHaveEnded(t *testing.T) {
	is := is.New(t)
	now := startTime
	one, two := registeredEndpoints(map[string][]string{"pool": {"v1", "v1"}}), registeredEndpoints(map[string][]string{"pool": {"v1", "v2"}})
	isSole := func(h *History, config *catalog.Config, registrations catalog.Registrations, version string) bool {
		h.Observe(now, config, registrations)
		o, ok := h.Sole("r", now)
		return ok && o == Origin{Service: "pool", SoftwareVersion: version}
	}
	is.True(isSole(NewHistory(now, Beginning{None: true}), configOf("pool"), one, "v1"))
	h := NewHistory(now, Beginning{})
	is.True(!isSole(h, configOf("pool"), one, "v1")) // streams of before its start may go on
	now = now.Add(20*time.Second + lingerTime)
	is.True(isSole(h, configOf("pool"), one, "v1"))
	is.True(!isSole(h, configOf("pool"), two, "v1"))
	is.True(h.Excludes("r", Origin{Service: "pool", SoftwareVersion: "v1"}))
	now = now.Add(VersionRetention - time.Second)
	is.True(!isSole(h, configOf("pool"), one, "v1")) // v2 may have begun streams
	now = now.Add(2 * time.Second)
	is.True(isSole(h, configOf("pool"), one, "v1"))
	is.True(!h.Excludes("r", Origin{Service: "pool", SoftwareVersion: "v1"}))

	// The route moves to another service, or leads to two, or versions are missing.
	moved := registeredEndpoints(map[string][]string{"pool": {"v1"}, "other": {"v1"}})
	is.True(!isSole(h, configOf("other"), moved, "v1"))
	is.True(!isSole(NewHistory(now, Beginning{None: true}), configOf("pool", "other"), moved, "v1"))
	is.True(!isSole(NewHistory(now, Beginning{None: true}), configOf("pool"), registeredEndpoints(map[string][]string{"pool": {""}}), ""))
}

// TestHistoryBeginsWithTheVersionsOfBefore guards against a host that has just started and takes
// a version for the only one though streams began at others, or on a route that led to
// another service; and against one that waits though it knows all of them.
func TestHistoryBeginsWithTheVersionsOfBefore(t *testing.T) {
	is := is.New(t)
	registrations := registeredEndpoints(map[string][]string{"pool": {"v2"}})
	v1, v2, other := Version{"pool", "v1"}, Version{"pool", "v2"}, Version{"other", "v1"}
	for _, test := range []struct {
		before        Beginning
		sole, several bool
	}{
		{Beginning{Versions: []Version{v2}, Complete: true}, true, false},
		{Beginning{Versions: []Version{v2}}, false, false},
		{Beginning{Versions: []Version{v1, v2}, Complete: true}, false, true},
		{Beginning{Versions: []Version{v1}, Complete: true}, false, true},
		{Beginning{Versions: []Version{v2, other}, Complete: true}, false, false},
	} {
		h := NewHistory(startTime, test.before)
		h.Observe(startTime, configOf("pool"), registrations)
		_, sole := h.Sole("r", startTime)
		is.Equal(sole, test.sole)
		is.Equal(h.Several("r"), test.several)
	}
}

// TestSegmentHoldsItsRecords guards against records that change on their way through the store,
// and against segments of another writer that can't be read.
func TestSegmentHoldsItsRecords(t *testing.T) {
	is := is.New(t)
	e1 := &catalog.Endpoint{ID: "e1", Service: "pool", SoftwareVersion: "v1", StartedUnixMs: 5}
	e2 := &catalog.Endpoint{ID: "e2", Service: "pool", SoftwareVersion: "v2"}
	records := []Record{{"a", Of(e1, startTime), 1}, {"b", Of(e2, startTime.Add(time.Second)), 3}, {"c", Of(e1, startTime.Add(time.Minute)), 2}}
	raw, err := EncodeSegment(4, records)
	is.NoErr(err)
	decoded, epoch, err := DecodeSegment(raw)
	is.NoErr(err)
	is.Equal(epoch, int64(4))
	is.Equal(decoded, records)
	for n := range raw {
		_, _, err := DecodeSegment(raw[:n])
		is.True(err != nil)
	}
	raw, err = cbor.Marshal(Segment{Streams: []segmentStream{{Attempt: "a", Endpoint: 1}}})
	is.NoErr(err)
	_, _, err = DecodeSegment(raw)
	is.True(err != nil)
}

// TestUnwrittenStreamsAreTakenOnce guards against streams that are written again and again, or
// after they have ended, and against a list without end.
func TestUnwrittenStreamsAreTakenOnce(t *testing.T) {
	is := is.New(t)
	var u Unwritten
	every := func(string) bool { return true }
	u.Add("r", Record{Attempt: "old"}, startTime)
	u.Add("r", Record{Attempt: "a"}, startTime.Add(time.Minute))
	u.Add("other", Record{Attempt: "b"}, startTime.Add(time.Minute))
	u.Add("r", Record{Attempt: "c"}, startTime.Add(time.Minute))
	now := startTime.Add(time.Second)
	is.Equal(u.Take(now, 1, func(route string) bool { return route == "r" }), []Record{{Attempt: "c"}})
	is.Equal(u.Take(now, 9, every), []Record{{Attempt: "b"}, {Attempt: "a"}})
	is.Equal(len(u.Take(now, 9, every)), 0)
	for i := range 2 * maxUnwritten {
		u.Add("r", Record{Attempt: fmt.Sprint(i)}, startTime.Add(time.Minute))
	}
	taken := u.Take(now, 2*maxUnwritten, every)
	is.True(len(taken) <= maxUnwritten)
	is.Equal(taken[0].Attempt, fmt.Sprint(2*maxUnwritten-1))
}

// TestNewerRecordOfAnAttemptHolds guards against an older record, of an attempt that brought no
// event, that arrives late; and against records without end.
func TestNewerRecordOfAnAttemptHolds(t *testing.T) {
	is := is.New(t)
	now := startTime
	r := NewRecords()
	put := func(attempt, version string, sequence int) {
		r.Put(Record{Attempt: attempt, Origin: Origin{Service: "pool", SoftwareVersion: version}, Sequence: sequence}, now, now.Add(time.Minute))
	}
	put("a", "v2", 2)
	put("a", "v1", 1)
	record, ok := r.Get("a", now)
	is.True(ok)
	is.Equal(record.Origin.SoftwareVersion, "v2")
	_, ok = r.Get("b", now)
	is.True(!ok)
	now = now.Add(time.Minute + 1)
	_, ok = r.Get("a", now)
	is.True(!ok)
	for i := range maxRecords + 10 {
		put(fmt.Sprint("more-", i), "v1", 1)
	}
	is.Equal(r.Len(), maxRecords)
	_, ok = r.Get(fmt.Sprint("more-", maxRecords+9), now)
	is.True(ok)
}
