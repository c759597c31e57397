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

// flushTime bounds the writing of the last log lines.
const flushTime = 200 * time.Millisecond

// runOnPlatform serves on the users' platform until the signal to end and
// returns the exit code.
func runOnPlatform(checkOnly bool) int {
	s, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		fmt.Fprintln(os.Stderr, "pimentorilld:", err)
		return exitSettings
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return 0
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close(flushTime)
	log := logs.New(out)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	node, err := entry.Start(s, surroundings(s, log), log)
	if err != nil {
		log.Error("can't start", slog.Any("error", err))
		return exitFailed
	}
	for got := range signals {
		if got != syscall.SIGHUP {
			log.Info("shutting down", slog.String("signal", got.String()))
			break
		}
		reload(log)
	}
	if node.Stop() > 0 {
		return exitCutOff
	}
	return 0
}

// surroundings connects the host to the platform.
func surroundings(s entry.Settings, log *slog.Logger) entry.Platform {
	return entry.Platform{
		Store:     platform.NewStore(s.StoreAddress),
		Decoder:   platform.Decoder(),
		KeyPrefix: platform.OwnKeyPrefix,
		Endpoints: platform.NewEndpointClient(entry.EndpointConnections),
		Listen: func(server *exchange.Server) (entry.CallerServer, error) {
			return platform.Listen(platform.FrontendConfig{Address: s.CallersAddress, MaxConnections: s.MaxConnections,
				MaxTotalBodyBytes: s.MemoryBytes / bodyMemory}, server, log)
		},
		ServeReadiness: func(ready func() bool) (func(), error) { return platform.ServeReady(s.ReadinessAddress, ready, log) },
	}
}

// bodyMemory is the part of the memory, one in so many, that bodies of requests
// under way may take together.
const bodyMemory = 8

// reload checks the settings anew. Addresses and bounds hold until the next start.
func reload(log *slog.Logger) {
	if _, err := platform.LoadSettings(platform.SettingsPath()); err != nil {
		log.Error("settings not reloaded", slog.Any("error", err))
		return
	}
	log.Info("settings read again; changes hold from the next start")
}
