package store

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Guards against a write on a revision of before a restore, which the store has since
// given to another change, so that the write would undo that one.
func TestWriteOfAnEarlierEpochIsRefused(t *testing.T) {
	is := is.New(t)
	s, c := startStore(t)
	ctx := t.Context()
	missing, err := c.Get(ctx, "a")
	is.True(errors.Is(err, port.ErrNotFound))
	is.Equal(missing.Epoch, int64(1))
	backup := s.Backup()
	old, err := c.CompareAndSwapInEpoch(ctx, 1, "a", 0, []byte("lost"), 0)
	is.NoErr(err)
	is.Equal(old.Epoch, int64(1))

	s.Restore(backup)
	missing, err = c.CompareAndSwapInEpoch(ctx, old.Epoch, "a", 0, []byte("late"), 0)
	is.True(errors.Is(err, port.ErrConflict))
	is.Equal(missing.Epoch, int64(2))
	now, err := c.CompareAndSwapInEpoch(ctx, 2, "a", 0, []byte("new"), 0)
	is.NoErr(err)
	is.Equal(now.Revision, old.Revision)
	current, err := c.CompareAndSwapInEpoch(ctx, old.Epoch, "a", old.Revision, []byte("undone"), 0)
	is.True(errors.Is(err, port.ErrConflict))
	is.Equal(current, now)
	got, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(got, now)
}
