// Command pimentorill-standins runs stand-ins for the platform and the
// endpoints on loopback, for trying several hosts as processes of their own.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/daemon"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

func main() {
	store := flag.String("store", "127.0.0.1:8710", "address of the store, IP:PORT on loopback")
	list := flag.String("host-list", "127.0.0.1:8711", "address of the host list, IP:PORT on loopback")
	hosts := flag.String("hosts", "entry-1/ljubljana/127.0.0.1:8702,entry-2/kranj/127.0.0.1:8722,entry-3/celje/127.0.0.1:8732", "the listed hosts, NAME/ZONE/ADDRESS, with commas between")
	flag.Parse()
	if err := run(*store, *list, *hosts); err != nil {
		fmt.Fprintln(os.Stderr, "pimentorill-standins:", err)
		os.Exit(1)
	}
}

// run serves until a signal comes.
func run(storeAddress, listAddress, hosts string) error {
	for _, address := range []string{storeAddress, listAddress} {
		if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
			return errors.Errorf("%q: want IP:PORT on loopback", address)
		}
	}
	listed, err := parseHosts(hosts)
	if err != nil {
		return err
	}
	fleet, err := standin.StartFleet(daemon.EmbeddedFleet)
	if err != nil {
		return err
	}
	defer fleet.Close()
	mem := standin.NewMemStore(port.SystemClock{})
	if err := daemon.PutRelease(mem, fleet.Note("first", daemon.EmbeddedCustomerShares)); err != nil {
		return err
	}
	store := standin.NewStore(mem)
	if err := store.StartAt(storeAddress); err != nil {
		return err
	}
	defer store.Close()
	list := standin.NewHostList(0)
	list.Set(listed)
	if err := list.StartAt(listAddress); err != nil {
		return err
	}
	defer list.Close()
	fmt.Printf("store on %s, host list on %s, %d endpoints\n", storeAddress, listAddress, len(fleet.Endpoints))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

func parseHosts(text string) ([]port.ListedHost, error) {
	var out []port.ListedHost
	for _, entry := range strings.Split(text, ",") {
		parts := strings.Split(entry, "/")
		if len(parts) != 3 {
			return nil, errors.Errorf("-hosts %q: want NAME/ZONE/ADDRESS", entry)
		}
		out = append(out, port.ListedHost{ID: parts[0], AvailabilityZone: parts[1], Address: parts[2]})
	}
	return out, nil
}
