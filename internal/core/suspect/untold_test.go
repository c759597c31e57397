package suspect

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestUnreportedCrashCountsTowardLimit has a host see a crash and die before it can tell
// anybody; the request's next sendings may then crash one endpoint more.
func TestUnreportedCrashCountsTowardLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4, 8)
		guilty := fingerprintOf(0)
		h := f.hosts[0]
		leave, err := h.guard.Admit(context.Background(), guilty, "server-0")
		is.NoErr(err)
		died, err := f.servers["server-0"].run(true)
		is.NoErr(err)
		is.True(died)
		h.mu.Lock()
		h.failed = true
		h.mu.Unlock()
		leave(Crashed)
		f.sendRepeatedly(guilty, true)
		deaths := 0
		for _, s := range f.servers {
			deaths += s.crashCount()
		}
		for _, h := range f.hosts {
			h.guard.Close()
		}
		sleep(quarantineTTL + time.Minute)
		is.True(deaths <= 2)
	})
}

// A host that goes away while its attempt runs well holds nothing against the
// request: the endpoint is still the one that it was sent to.
func TestFailedHostLeavesNoSuspectIfEndpointSurvived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4, 8)
		innocent := fingerprintOf(0)
		first := f.hosts[0]
		_, err := first.guard.Admit(context.Background(), innocent, "server-0")
		is.NoErr(err)
		first.mu.Lock()
		first.failed = true
		first.mu.Unlock()
		for _, h := range f.hosts[1:] {
			leave, err := h.guard.Admit(context.Background(), innocent, "server-1")
			is.NoErr(err)
			is.True(!h.guard.NeedsTrial(innocent)) // not a suspect
			is.True(!h.guard.Reserved("server-1")) // and not on trial
			leave(Survived)
		}
		for _, h := range f.hosts {
			h.guard.Close()
		}
	})
}
