package facts

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// TestEndpointThatStartsWithoutEndTakesLittleMemory guards against a list that grows with each start
// of an endpoint, and with it the time that each look takes.
func TestEndpointThatStartsWithoutEndTakesLittleMemory(t *testing.T) {
	is := is.New(t)
	var r registrations
	now := time.UnixMilli(1)
	for start := range int64(10 * maxRegistrations) {
		r.put(&catalog.Endpoint{ID: "a", Service: "pool", StartedUnixMs: start}, now)
	}
	list := r.snapshot()["a"]
	is.Equal(len(list), maxRegistrations)
	newest := list[len(list)-1]
	is.Equal(newest.StartedUnixMs, int64(10*maxRegistrations-1))
	is.True(newest.EndedAt.IsZero())
}

// TestRegistrationsOfEndpointsWithoutNewWorkAreKnown guards against a process that leaves no
// trace, as its endpoint was only seen draining or in an evacuated zone, or its entry had been
// replaced or removed again when the store responded.
func TestRegistrationsOfEndpointsWithoutNewWorkAreKnown(t *testing.T) {
	for name, tc := range map[string]struct {
		entries []string // the last one is removed if it is empty
		// started holds the start times of the registrations, and ended how many of them have ended.
		started []int64
		ended   int
	}{
		"draining":             {[]string{"kranj draining 7"}, []int64{5, 7}, 1},
		"evacuated zone":       {[]string{"celje ready 7"}, []int64{5, 7}, 1},
		"removed":              {[]string{"kranj ready 7", ""}, []int64{5, 7}, 2},
		"replaced":             {[]string{"kranj ready 7", "kranj ready 8"}, []int64{5, 7, 8}, 2},
		"unreadable":           {[]string{"kranj ready 7", "unreadable"}, []int64{5, 7}, 2},
		"the same process":     {[]string{"kranj draining 5", "celje ready 5", "kranj ready 5"}, []int64{5}, 0},
		"as before, once more": {[]string{"kranj ready 7", "kranj ready 5"}, []int64{5, 7}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			store.put("config/", "7")
			store.put("zone/celje", "")
			store.put("end/a", "kranj ready 5")
			runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
				first := replica.Current()
				for _, entry := range tc.entries { // one response of the store has them all
					if entry == "" {
						store.remove("end/a")
					} else {
						store.put("end/a", entry)
					}
				}
				advance(time.Millisecond)
				var started []int64
				ended := 0
				for _, r := range replica.Current().Registrations["a"] {
					started = append(started, r.StartedUnixMs)
					if !r.EndedAt.IsZero() {
						ended++
					}
				}
				is.Equal(started, tc.started)
				is.Equal(ended, tc.ended)
				is.Equal(first.Registrations["a"], []catalog.Registration{{Service: "pool", StartedUnixMs: 5}}) // a snapshot does not change

				advance(registrationRetention + time.Minute)
				store.put("end/b", "kranj ready 5")
				advance(time.Second)
				is.Equal(len(replica.Current().Registrations["a"]), len(tc.started)-tc.ended)
			})
		})
	}
}
