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

// EmbeddedFleet configures the stand-in endpoints of the embedded mode.
var EmbeddedFleet = standin.FleetConfig{
	Zones: []string{"ljubljana", "kranj", "celje"}, Region: "si-central", EnginesPerZone: 2,
	Slots: 16, ColdLimit: 4, WarmAfter: 8,
	WorkTime: 5 * time.Millisecond, TokenTime: 5 * time.Millisecond, MaxTokens: 24,
}

// EmbeddedCustomerShares maps each customer of the embedded mode to its share.
var EmbeddedCustomerShares = map[string]int{"triglav": 3, "tazalyk": 2}

// startEmbedded starts the stand-ins in this process and stores a release that
// names them.
func startEmbedded(s settings.Settings, log *slog.Logger) (Dependencies, error) {
	fleet, err := standin.StartFleet(EmbeddedFleet)
	if err != nil {
		return Dependencies{}, err
	}
	store := standin.NewMemStore(port.SystemClock{})
	if err := PutRelease(store, fleet.Note("embedded", EmbeddedCustomerShares)); err != nil {
		fleet.Close()
		return Dependencies{}, err
	}
	hostList := standin.NewHostList(0)
	hostList.Set([]port.ListedHost{{ID: s.Host, AvailabilityZone: s.AvailabilityZone, Address: s.Listen.Peers}})
	attemptClient := engine.New(engine.Config{})
	log.Info("embedded stand-ins started", slog.Int("endpoints", len(fleet.Endpoints)))
	return Dependencies{Store: store, HostList: hostList, AttemptClient: attemptClient, SingleHost: true, Close: func() {
		attemptClient.Close()
		fleet.Close()
	}}, nil
}

// PutRelease applies the note to the empty release and writes the result as the
// first release to an empty store.
func PutRelease(store port.Store, note release.Note) error {
	next, err := release.Apply(release.Empty(), note, time.Now().UTC())
	if err != nil {
		return err
	}
	stored := release.StoredRelease{Release: *release.Empty()}
	data, err := stored.Advance(next, note.Reason).Encode()
	if err != nil {
		return err
	}
	if _, err := store.CompareAndSwap(context.Background(), release.CurrentKey, 0, data, 0); err != nil {
		return errors.Wrap(err, "write the first release")
	}
	return nil
}
