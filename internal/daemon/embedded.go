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

// EmbeddedFleet configures the stand-in endpoints of the embedded mode and of the
// command pimentorill-standins.
var EmbeddedFleet = standin.FleetConfig{
	Zones: []string{"ljubljana", "kranj", "celje"}, Region: "si-central", EnginesPerZone: 2,
	Slots: 16, ColdLimit: 4, WarmAfter: 8,
	WorkTime: 5 * time.Millisecond, TokenTime: 5 * time.Millisecond, MaxTokens: 24,
}

// EmbeddedCustomerShares maps the name of each customer of these stand-ins to its
// relative weight when capacity is scarce.
var EmbeddedCustomerShares = map[string]int{"triglav": 3, "tazalyk": 2}

// startEmbedded starts the stand-ins for endpoints, store and host list in this
// process, and stores a release that names the endpoints.
func startEmbedded(s settings.Settings, log *slog.Logger) (Dependencies, error) {
	standIns, err := standin.StartFleet(EmbeddedFleet)
	if err != nil {
		return Dependencies{}, err
	}
	store := standin.NewMemStore(port.SystemClock{})
	if err := PutRelease(store, standIns.Note("embedded", EmbeddedCustomerShares)); err != nil {
		standIns.Close()
		return Dependencies{}, err
	}
	hostList := standin.NewHostList(0)
	hostList.Set([]port.ListedHost{{ID: s.Host, AvailabilityZone: s.AvailabilityZone, Address: s.Listen.Peers}})
	attemptClient := engine.New(engine.Config{})
	log.Info("embedded stand-ins started", slog.Int("endpoints", len(standIns.Endpoints)))
	return Dependencies{Store: store, HostList: hostList, AttemptClient: attemptClient, SingleHost: true, Close: func() {
		attemptClient.Close()
		standIns.Close()
	}}, nil
}

// PutRelease applies the note to the empty release and writes the result as the
// first release to the store. It returns an error if the note does not apply or the
// store already has a release.
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
