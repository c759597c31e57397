package suspect

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestAnUntoldCrashCountsToo has a host see a crash and die before it can tell
// anybody; the request's next sendings may then crash one endpoint more.
func TestAnUntoldCrashCountsToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4, 8)
		guilty := printOf(0)
		h := f.hosts[0]
		leave, err := h.guard.Enter(context.Background(), guilty, "server-0")
		is.NoErr(err)
		died, err := f.servers["server-0"].run(true)
		is.NoErr(err)
		is.True(died)
		h.mu.Lock()
		h.dead = true
		h.mu.Unlock()
		leave(Died)
		f.sendOften(guilty, true)
		deaths := 0
		for _, s := range f.servers {
			deaths += s.deaths()
		}
		for _, h := range f.hosts {
			h.guard.Close()
		}
		pause(quarantineLife + time.Minute)
		is.True(deaths <= 2)
	})
}

// A host that goes away while its attempt runs well holds nothing against the
// request: the endpoint is still the one that it was sent to.
func TestAHostThatWentLeavesNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4, 8)
		innocent := printOf(0)
		first := f.hosts[0]
		_, err := first.guard.Enter(context.Background(), innocent, "server-0")
		is.NoErr(err)
		first.mu.Lock()
		first.dead = true
		first.mu.Unlock()
		for _, h := range f.hosts[1:] {
			leave, err := h.guard.Enter(context.Background(), innocent, "server-1")
			is.NoErr(err)
			is.True(!h.guard.OnTrialNext(innocent)) // not a suspect
			is.True(!h.guard.Reserved("server-1"))  // and not on trial
			leave(Survived)
		}
		for _, h := range f.hosts {
			h.guard.Close()
		}
	})
}
