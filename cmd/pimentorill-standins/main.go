// Command pimentorill-standins runs stand-ins for the platform and the endpoints on
// loopback, so that several hosts can run as separate processes on one machine.
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
	store := flag.String("store", "127.0.0.1:8710", "listen `ADDRESS` of the store, IP:PORT on loopback")
	hostList := flag.String("host-list", "127.0.0.1:8711", "listen `ADDRESS` of the host list, IP:PORT on loopback")
	hosts := flag.String("hosts", "entry-1/ljubljana/127.0.0.1:8702,entry-2/kranj/127.0.0.1:8722,entry-3/celje/127.0.0.1:8732", "comma-separated `HOSTS` of the host list, each NAME/ZONE/ADDRESS")
	flag.Parse()
	if err := run(*store, *hostList, *hosts); err != nil {
		fmt.Fprintln(os.Stderr, "pimentorill-standins:", err)
		os.Exit(1)
	}
}

// run serves the store, the host list and the endpoints until SIGTERM or SIGINT. The
// store contains a first release that names the endpoints. run returns an error if an
// address is not IP:PORT on loopback, hosts is invalid or a server cannot start.
func run(storeAddress, hostListAddress, hosts string) error {
	for _, address := range []string{storeAddress, hostListAddress} {
		if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
			return errors.Errorf("address %q: want IP:PORT on loopback", address)
		}
	}
	hostEntries, err := parseHosts(hosts)
	if err != nil {
		return err
	}
	fleet, err := standin.StartFleet(daemon.EmbeddedFleet)
	if err != nil {
		return err
	}
	defer fleet.Close()
	memStore := standin.NewMemStore(port.SystemClock{})
	if err := daemon.PutRelease(memStore, fleet.Note("first", daemon.EmbeddedCustomerShares)); err != nil {
		return err
	}
	store := standin.NewStore(memStore)
	if err := store.StartAt(storeAddress); err != nil {
		return err
	}
	defer store.Close()
	hostList := standin.NewHostList(0)
	hostList.Set(hostEntries)
	if err := hostList.StartAt(hostListAddress); err != nil {
		return err
	}
	defer hostList.Close()
	fmt.Printf("store on %s, host list on %s, %d endpoints\n", storeAddress, hostListAddress, len(fleet.Endpoints))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

// parseHosts parses a comma-separated list of NAME/ZONE/ADDRESS entries. It does not
// check the names and addresses.
func parseHosts(text string) ([]port.ListedHost, error) {
	var out []port.ListedHost
	for _, entry := range strings.Split(text, ",") {
		fields := strings.Split(entry, "/")
		if len(fields) != 3 {
			return nil, errors.Errorf("-hosts %q: want NAME/ZONE/ADDRESS", entry)
		}
		out = append(out, port.ListedHost{ID: fields[0], AvailabilityZone: fields[1], Address: fields[2]})
	}
	return out, nil
}
