package suspect

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestUnreportedCrashCountsTowardLimit lets a host fail after it observed a
// crash and before it reported it. The request may crash only one more
// endpoint when it is sent again.
func TestUnreportedCrashCountsTowardLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4, 8)
		poison := fingerprintOf(0)
		h := f.hosts[0]
		done, err := h.guard.Admit(context.Background(), poison, "server-0")
		is.NoErr(err)
		crashed, err := f.endpoints["server-0"].run(true)
		is.NoErr(err)
		is.True(crashed)
		h.mu.Lock()
		h.failed = true
		h.mu.Unlock()
		done(Crashed)
		f.sendRepeatedly(poison, true)
		crashes := 0
		for _, s := range f.endpoints {
			crashes += s.crashCount()
		}
		for _, h := range f.hosts {
			h.guard.Close()
		}
		// Lets the remaining goroutines and expiry timers end: synctest stops the
		// clock when this function returns.
		sleep(quarantineTTL + time.Minute)
		is.True(crashes <= 2)
	})
}

// TestFailedHostLeavesNoSuspectIfEndpointSurvived lets a host fail during an
// attempt on an endpoint that keeps running. The endpoint's unchanged
// incarnation shows that the request did not crash it.
func TestFailedHostLeavesNoSuspectIfEndpointSurvived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4, 8)
		harmless := fingerprintOf(0)
		failedHost := f.hosts[0]
		_, err := failedHost.guard.Admit(context.Background(), harmless, "server-0")
		is.NoErr(err)
		failedHost.mu.Lock()
		failedHost.failed = true
		failedHost.mu.Unlock()
		for _, h := range f.hosts[1:] {
			done, err := h.guard.Admit(context.Background(), harmless, "server-1")
			is.NoErr(err)
			is.True(!h.guard.NeedsTrial(harmless)) // not a suspect
			is.True(!h.guard.Reserved("server-1")) // and not on trial
			done(Survived)
		}
		for _, h := range f.hosts {
			h.guard.Close()
		}
	})
}
