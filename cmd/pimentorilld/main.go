// Command pimentorilld is the daemon that runs on every entry host, which accepts
// callers' requests and runs their pipelines.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pimentorill/pimentorill/internal/adapter/settings"
	"github.com/pimentorill/pimentorill/internal/daemon"
)

// Exit codes of the daemon.
const (
	// exitFailed means that the daemon could not start.
	exitFailed = 1
	// exitSettings means an invalid command line or settings file.
	exitSettings = 2
	// exitRequestsInterrupted means that requests were still in progress at the drain
	// timeout.
	exitRequestsInterrupted = 3
)

func main() {
	file := flag.String("config", "", "settings `FILE` in YAML (required without -platform)")
	onPlatform := flag.Bool("platform", false, "run on the platform, with the settings file that the platform provides (excludes -config)")
	hedgePercent := flag.Float64("hedge-percent", 0, "with -platform: `PERCENT` of a service's requests that may be sent to a second endpoint while the first one is slow, 0 to 20; 0 means none")
	checkOnly := flag.Bool("check", false, "validate the settings and exit")
	flag.Usage = func() {
		fmt.Fprintln(os.Stderr, "usage: pimentorilld -config FILE [-check]\n       pimentorilld -platform [-hedge-percent PERCENT] [-check]\n\nflags:")
		flag.PrintDefaults()
		fmt.Fprintln(os.Stderr, "\nSIGTERM and SIGINT shut the daemon down after the requests in progress finish.\nexit codes: 0 shut down; 1 cannot start; 2 invalid command line or settings; 3 requests were interrupted at the drain timeout")
	}
	flag.Parse()
	if *onPlatform && *file == "" && flag.NArg() == 0 {
		os.Exit(runOnPlatform(operatorSettings{HedgePercent: *hedgePercent}, *checkOnly))
	}
	if *file == "" || *onPlatform || *hedgePercent != 0 || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitSettings)
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pimentorilld:", err)
		os.Exit(exitSettings)
	}
	if *checkOnly {
		fmt.Println("settings are valid")
		return
	}
	os.Exit(run(s))
}

// run serves until SIGTERM or SIGINT, shuts down gracefully and returns the exit code.
func run(s settings.Settings) int {
	log := daemon.NewLogger(os.Stderr, s.Log)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	dependencies, err := daemon.Connect(s, log)
	if err != nil {
		log.Error("cannot start the host", "error", err)
		return exitFailed
	}
	d, err := daemon.Start(s, dependencies, log)
	if err != nil {
		log.Error("cannot start the host", "error", err)
		return exitFailed
	}
	received := <-signals
	log.Info("shutting down", "signal", received.String())
	if interrupted := d.Stop(); interrupted > 0 {
		return exitRequestsInterrupted
	}
	log.Info("ended")
	return 0
}
