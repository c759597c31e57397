package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOnlyAHostThatIsAloneAndReachesOtherZonesIsIsolated(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var i isolation
	is.True(!i.observe(now, true, true))
	is.True(!i.on) // not yet
	is.True(!i.observe(now.Add(isolationTime/2), true, true))
	is.True(i.observe(now.Add(isolationTime), true, true))
	is.True(i.on)
	is.True(!i.observe(now.Add(2*isolationTime), true, true))
	is.True(i.observe(now.Add(3*isolationTime), false, true)) // another host answers
	is.True(!i.on)
	is.True(!i.observe(now.Add(4*isolationTime), true, true))
	// A zone that is cut off as a whole loses the endpoints of the others.
	is.True(!i.observe(now.Add(4*isolationTime+isolationTime/2), true, false))
	is.True(!i.observe(now.Add(6*isolationTime), true, false))
	is.True(!i.on)
}
