package daemon

import (
	"log/slog"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/adapter/engine"
	"github.com/pimentorill/pimentorill/internal/adapter/hostlist"
	"github.com/pimentorill/pimentorill/internal/adapter/settings"
	"github.com/pimentorill/pimentorill/internal/adapter/store"
)

// Connect returns clients of the store, the host list and the endpoints that the
// settings name, or starts the stand-ins of the embedded mode and returns theirs.
func Connect(s settings.Settings, log *slog.Logger) (Dependencies, error) {
	if s.Embedded {
		return startEmbedded(s, log)
	}
	storeAddress, err := hostPort(s.Store.URL)
	if err != nil {
		return Dependencies{}, errors.Wrap(err, "store.url")
	}
	listAddress, err := hostPort(s.HostList.URL)
	if err != nil {
		return Dependencies{}, errors.Wrap(err, "host_list.url")
	}
	storeClient := store.New(store.Config{Address: storeAddress, Timeout: time.Duration(s.Store.TimeoutMs) * time.Millisecond})
	hostList := hostlist.New(listAddress)
	attemptClient := engine.New(engine.Config{})
	limitedStore := store.Limit(storeClient, nil)
	return Dependencies{
		Store:         limitedStore,
		ControlStore:  limitedStore.Control(),
		ClaimStore:    storeClient,
		SetFleetSize:  limitedStore.SetFleetSize,
		HostList:      hostList,
		AttemptClient: attemptClient,
		Close: func() {
			attemptClient.Close()
			hostList.Close()
			storeClient.Close()
		},
	}, nil
}

// hostPort returns the host and port of a URL, as HOST:PORT.
func hostPort(raw string) (string, error) {
	u, err := url.Parse(raw)
	if err != nil {
		return "", err
	}
	return u.Host, nil
}
