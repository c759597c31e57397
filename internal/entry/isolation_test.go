package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHostIsIsolatedOnlyIfNoPeerRespondsAndOtherZonesAreReachable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var i isolationState
	is.True(!i.update(now, true, true))
	is.True(!i.isolated) // isolationDelay has not passed
	is.True(!i.update(now.Add(isolationDelay/2), true, true))
	is.True(i.update(now.Add(isolationDelay), true, true))
	is.True(i.isolated)
	is.True(!i.update(now.Add(2*isolationDelay), true, true))
	is.True(i.update(now.Add(3*isolationDelay), false, true)) // another host responds
	is.True(!i.isolated)
	is.True(!i.update(now.Add(4*isolationDelay), true, true))
	// A host whose whole zone is partitioned can't reach endpoints of other zones.
	is.True(!i.update(now.Add(4*isolationDelay+isolationDelay/2), true, false))
	is.True(!i.update(now.Add(6*isolationDelay), true, false))
	is.True(!i.isolated)
}
