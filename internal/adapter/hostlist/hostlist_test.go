package hostlist

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

func TestHostsReturnsListAndFailsInOutage(t *testing.T) {
	is := is.New(t)
	s := standin.NewHostList(0)
	is.NoErr(s.Start())
	defer s.Close()
	c := New(s.Address())
	defer c.Close()
	want := []port.ListedHost{{ID: "h1", AvailabilityZone: "kranj", Address: "127.0.0.1:1", Leaving: true}}
	s.Set(want)
	got, err := c.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(got, want)
	s.SetOutage(true)
	_, err = c.Hosts(t.Context())
	is.True(errors.Is(err, port.ErrUnavailable))
}

func TestStandinHostListDelaysChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := standin.NewHostList(10 * time.Second)
		firstHostID := func() string {
			hosts, err := s.Hosts(t.Context())
			is.NoErr(err)
			return hosts[0].ID
		}
		s.Set([]port.ListedHost{{ID: "h1"}}) // the first list is visible at once
		is.Equal(firstHostID(), "h1")
		time.Sleep(time.Minute)
		s.Set([]port.ListedHost{{ID: "h2"}})
		time.Sleep(9 * time.Second)
		is.Equal(firstHostID(), "h1")
		time.Sleep(time.Second)
		is.Equal(firstHostID(), "h2")
	})
}

// Every host of a list that decodeHosts accepts has an ID.
func FuzzDecodeHosts(f *testing.F) {
	f.Add([]byte(`[{"id":"h1","availability_zone":"kranj","address":"127.0.0.1:1","leaving":false}]`))
	f.Add([]byte(`[{}]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		hosts, err := decodeHosts(raw)
		for _, h := range hosts {
			if err == nil && h.ID == "" {
				t.Fatal("decoded a host without an ID")
			}
		}
	})
}
