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

// flushTimeout bounds how long the last messages to other hosts may take.
const flushTimeout = 500 * time.Millisecond

// joinFleet listens for the other hosts; it returns nil on a host that has
// none. Nothing is sent before the link is started.
func (d *Daemon) joinFleet(s settings.Settings) (*fleet.Fleet, error) {
	if d.outside.Alone {
		return nil, nil
	}
	open := d.outside.Listen
	if open == nil {
		open = net.Listen
	}
	socket, err := open("tcp", s.Listen.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	link, err := peer.New(peer.Config{
		Self: port.Member{
			ID:               s.Host,
			AvailabilityZone: s.AvailabilityZone,
			Address:          socket.Addr().String(),
			Incarnation:      uint64(time.Now().UnixMilli()),
		},
		Listener: socket,
		Keys:     [][]byte{[]byte(s.Peers.SharedKey)},
		Log:      d.log,
		Faults:   d.outside.PeerFaults,
	})
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	d.link = link
	d.log.Info("listening", slog.String("for", "peers"), slog.String("address", link.Self().Address))
	return fleet.New(fleet.Config{
		Self:      link.Self(),
		Seeds:     s.Peers.Seeds,
		Transport: link,
		Clock:     port.SystemClock{},
		Log:       d.log,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}), nil
}

// PeerStats returns what the connections to other hosts have carried.
func (d *Daemon) PeerStats() peer.Stats {
	if d.link == nil {
		return peer.Stats{}
	}
	return d.link.Stats()
}

func (d *Daemon) startLink() {
	if d.link != nil {
		d.link.Start()
	}
}

// leaveFleet sends what is queued for other hosts and closes the connections.
func (d *Daemon) leaveFleet(timeout time.Duration) {
	if d.link == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if timeout > 0 {
		d.link.Flush(ctx)
	}
	d.link.Close()
}
