package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/adapter/settings"
	"github.com/pimentorill/pimentorill/internal/app/fleet"
	"github.com/pimentorill/pimentorill/internal/port"
)

// flushTimeout bounds how long Stop waits until the queued messages to other hosts
// are sent.
const flushTimeout = 500 * time.Millisecond

// joinFleet listens for the other hosts and returns the fleet of hosts, nil if
// SingleHost is set. Nothing is sent before startTransport.
func (d *Daemon) joinFleet(s settings.Settings) (*fleet.Fleet, error) {
	if d.deps.SingleHost {
		return nil, nil
	}
	open := d.deps.Listen
	if open == nil {
		open = net.Listen
	}
	socket, err := open("tcp", s.Listen.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	transport, err := peer.New(peer.Config{
		Self: port.Member{
			ID:               s.Host,
			AvailabilityZone: s.AvailabilityZone,
			Address:          socket.Addr().String(),
			Incarnation:      uint64(time.Now().UnixMilli()),
		},
		Listener:   socket,
		SharedKeys: [][]byte{[]byte(s.Peers.SharedKey)},
		Log:        d.log,
		Faults:     d.deps.PeerFaults,
	})
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	d.transport = transport
	d.log.Info("listening", slog.String("for", "peers"), slog.String("address", transport.Self().Address))
	return fleet.New(fleet.Config{
		Self:      transport.Self(),
		Seeds:     s.Peers.SeedAddresses,
		Transport: transport,
		Clock:     port.SystemClock{},
		Log:       d.log,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}), nil
}

// PeerStats returns the statistics of the connections to other hosts, zero if there
// are none.
func (d *Daemon) PeerStats() peer.Stats {
	if d.transport == nil {
		return peer.Stats{}
	}
	return d.transport.Stats()
}

// startTransport makes the host exchange messages with the other hosts.
func (d *Daemon) startTransport() {
	if d.transport != nil {
		d.transport.Start()
	}
}

// leaveFleet waits up to timeout until the queued messages to other hosts are sent,
// not at all if timeout is 0, and closes the connections.
func (d *Daemon) leaveFleet(timeout time.Duration) {
	if d.transport == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if timeout > 0 {
		d.transport.Flush(ctx)
	}
	d.transport.Close()
}
