// Command pimentorilld is the daemon that runs on every entry host.
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
	exitFailed              = 1
	exitSettings            = 2
	exitRequestsInterrupted = 3
)

func main() {
	file := flag.String("config", "", "file with the settings, YAML (required)")
	onPlatform := flag.Bool("platform", false, "run on the users' platform, with the settings file that it names")
	checkOnly := flag.Bool("check", false, "check the settings and exit")
	flag.Usage = func() {
		fmt.Fprintln(os.Stderr, "usage: pimentorilld -config FILE [-check]\n       pimentorilld -platform [-check]\n\nflags:")
		flag.PrintDefaults()
		fmt.Fprintln(os.Stderr, "\nSIGTERM and SIGINT end it once the requests under way are answered.\nexit codes: 0 ended; 1 cannot run; 2 wrong settings; 3 requests were cut off at the drain time")
	}
	flag.Parse()
	if *onPlatform && *file == "" && flag.NArg() == 0 {
		os.Exit(runOnPlatform(*checkOnly))
	}
	if *file == "" || *onPlatform || flag.NArg() > 0 {
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

// run serves until a signal comes and returns the exit code.
func run(s settings.Settings) int {
	log := daemon.NewLogger(os.Stderr, s.Log)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	outside, err := daemon.Connect(s, log)
	if err != nil {
		log.Error("cannot start", "error", err)
		return exitFailed
	}
	d, err := daemon.Start(s, outside, log)
	if err != nil {
		log.Error("cannot start", "error", err)
		return exitFailed
	}
	got := <-signals
	log.Info("shutting down", "signal", got.String())
	if left := d.Stop(); left > 0 {
		return exitRequestsInterrupted
	}
	log.Info("ended")
	return 0
}
