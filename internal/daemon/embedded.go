package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/adapter/engine"
	"github.com/pimentorill/pimentorill/internal/adapter/settings"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// EmbeddedFleet is what the embedded mode serves with.
var EmbeddedFleet = standin.FleetConfig{
	Zones: []string{"ljubljana", "kranj", "celje"}, Region: "si-central", EnginesPerZone: 2,
	Slots: 16, ColdLimit: 4, WarmAfter: 8,
	WorkTime: 5 * time.Millisecond, TokenTime: 5 * time.Millisecond, MaxTokens: 24,
}

// EmbeddedCustomers are the customers of the embedded mode with their shares.
var EmbeddedCustomers = map[string]int{"triglav": 3, "tazalyk": 2}

// embedded starts the stand-ins in this process and puts a release in force
// that names them.
func embedded(s settings.Settings, log *slog.Logger) (Outside, error) {
	fleet, err := standin.StartFleet(EmbeddedFleet)
	if err != nil {
		return Outside{}, err
	}
	mem := standin.NewMemStore(port.SystemClock{})
	if err := PutRelease(mem, fleet.Note("embedded", EmbeddedCustomers)); err != nil {
		fleet.Close()
		return Outside{}, err
	}
	hosts := standin.NewHostList(0)
	hosts.Set([]port.ListedHost{{ID: s.Host, AvailabilityZone: s.AvailabilityZone, Address: s.Listen.Peers}})
	caller := engine.New(engine.Config{})
	log.Info("embedded stand-ins started", slog.Int("endpoints", len(fleet.Endpoints)))
	return Outside{Store: mem, HostList: hosts, Caller: caller, Alone: true, Close: func() {
		caller.Close()
		fleet.Close()
	}}, nil
}

// PutRelease writes the release that the note makes out of nothing to an
// empty store.
func PutRelease(s port.Store, note release.Note) error {
	next, err := release.Apply(release.Empty(), note, time.Now().UTC())
	if err != nil {
		return err
	}
	first := release.StoredRelease{Release: *release.Empty()}
	data, err := first.Advance(next, note.Reason).Encode()
	if err != nil {
		return err
	}
	if _, err := s.CompareAndSwap(context.Background(), release.CurrentKey, 0, data, 0); err != nil {
		return errors.Wrap(err, "put the first release")
	}
	return nil
}
