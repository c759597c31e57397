// Command pimentorill-edge is the daemon that runs on every entry host of the
// users' platform.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pimentorill/pimentorill/internal/adapter/logs"
	"github.com/pimentorill/pimentorill/internal/entry"
	"github.com/pimentorill/pimentorill/internal/exchange"
	"github.com/pimentorill/pimentorill/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// flushTime bounds the writing of the last log lines.
const flushTime = 200 * time.Millisecond

func main() {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "pimentorill-edge:", err)
		os.Exit(exitSettings)
	}
	if len(os.Args) > 1 && os.Args[1] == "check" {
		fmt.Println("settings are valid")
		return
	}
	os.Exit(run(s))
}

// run serves until the signal to end and returns the exit code.
func run(s entry.Settings) int {
	out := logs.NewWriter(os.Stdout)
	defer out.Close(flushTime)
	log := logs.New(out)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	node, err := entry.Start(s, connect(s, log), log)
	if err != nil {
		log.Error("can't start", slog.Any("error", err))
		return exitFailed
	}
	for got := range signals {
		if got != syscall.SIGHUP {
			break
		}
		reload(log)
	}
	node.Stop()
	return 0
}

// connect returns the host's surroundings.
func connect(s entry.Settings, log *slog.Logger) entry.Platform {
	return entry.Platform{
		Feed:      platform.NewStore(s.Store),
		Decoder:   platform.Decoder(),
		OwnKeys:   platform.OwnKeys,
		Endpoints: platform.NewEndpoints(),
		Listen: func(server *exchange.Server) (entry.Front, error) {
			return platform.Listen(s.Callers, s.Connections, server, log)
		},
		ServeReady: func(ready func() bool) (func(), error) { return platform.ServeReady(s.Ready, ready, log) },
	}
}

// reload reads the settings again. Addresses hold until the next start.
func reload(log *slog.Logger) {
	if _, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable)); err != nil {
		log.Error("settings not reloaded", slog.Any("error", err))
		return
	}
	log.Info("settings reloaded")
}
