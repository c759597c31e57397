// Command standins runs the cases of the review against the project's own programs: it
// starts hosts as separate processes and is the platform's store, the servers and the
// clients. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// World is one deployment: a store, servers and hosts.
type World struct {
	dir     string
	store   *Store
	hosts   []*Host
	trouble bool
}

// addHost starts a host whose view of the store is changed by view.
func (w *World) addHost(name, zone, ip string, view View) error {
	l, err := listen("127.0.0.1")
	if err != nil {
		return err
	}
	go w.store.Serve(l, view)
	h, err := startHost(w.dir, name, zone, ip, l.Addr().String())
	if h != nil {
		w.hosts = append(w.hosts, h)
	}
	return err
}

// awaitReady waits until all hosts are ready.
func (w *World) awaitReady() error {
	for _, h := range w.hosts {
		if err := h.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

var zones = []string{"ljubljana", "kranj", "celje"}

// addHosts starts a host in each zone.
func (w *World) addHosts() error {
	for i, zone := range zones {
		if err := w.addHost(fmt.Sprintf("edge-%s-1", zone), zone, fmt.Sprintf("127.0.0.%d", 11+i), nil); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// cases run a case and return the violations of its rule.
var cases = map[string]func(*World) ([]string, error){
	"stage-copy":   stageCopy,
	"probe-copy":   probeCopy,
	"large-bodies": largeBodies,
	"versions":     versions,
	"unframed":     unframed,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	recordFile = file
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	w := &World{dir: dir, store: NewStore(), trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, h := range w.hosts {
			h.stop()
		}
	}()
	record("case %s, trouble %v", os.Args[1], w.trouble)
	violations, err := cases[os.Args[1]](w)
	if err != nil {
		record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	for _, v := range violations {
		record("BROKEN: %s", v)
	}
	if len(violations) > 0 {
		fmt.Println("rule broken:", violations[0], "; in all", len(violations))
		return 1
	}
	record("the rule held")
	fmt.Println("the rule held")
	return 0
}
