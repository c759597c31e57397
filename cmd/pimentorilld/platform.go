package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/adapter/logs"
	"github.com/pimentorill/pimentorill/internal/core/rollout"
	"github.com/pimentorill/pimentorill/internal/entry"
	"github.com/pimentorill/pimentorill/internal/exchange"
	"github.com/pimentorill/pimentorill/platform"
)

// logFlushTimeout bounds the wait at exit until the queued log lines are written.
const logFlushTimeout = 200 * time.Millisecond

// maxHedgePercent is the largest share of hedges that operators may set, in percent.
const maxHedgePercent = 20

// operatorSettings are what the operators set on the command line, besides the platform's
// settings file.
type operatorSettings struct {
	// HedgePercent is the share of a service's requests that may be hedged, in percent.
	HedgePercent float64
}

// check returns an error that names what is out of range.
func (o operatorSettings) check() error {
	if o.HedgePercent >= 0 && o.HedgePercent <= maxHedgePercent { // not a NaN
		return nil
	}
	return errors.Errorf("-hedge-percent %v: want 0 to %d", o.HedgePercent, maxHedgePercent)
}

// runOnPlatform serves on the platform until SIGTERM or SIGINT and returns the exit
// code. SIGHUP validates the settings file again. With checkOnly it validates the
// settings and does not serve.
func runOnPlatform(operators operatorSettings, checkOnly bool) int {
	s, err := platform.LoadSettings(platform.SettingsPath())
	if err = errors.Join(operators.check(), err); err != nil {
		fmt.Fprintln(os.Stderr, "pimentorilld:", err)
		return exitSettings
	}
	s.HedgeShare = operators.HedgePercent / 100
	if checkOnly {
		fmt.Println("settings are valid")
		return 0
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	log := logs.New(out)
	limitMemory(s)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	node, err := entry.Start(s, connectPlatform(s, log), log)
	if err != nil {
		log.Error("cannot start the host", slog.Any("error", err))
		return exitFailed
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			log.Info("shutting down", slog.String("signal", received.String()))
			break
		}
		validateSettingsFile(log)
	}
	if node.Stop() > 0 {
		return exitRequestsInterrupted
	}
	return 0
}

// connectPlatform returns the clients and the functions through which the host uses
// the platform. The clients connect on first use.
func connectPlatform(s entry.Settings, log *slog.Logger) entry.Platform {
	return entry.Platform{
		Store:     platform.NewStore(s.StoreAddress),
		Decoder:   platform.Decoder(),
		KeyPrefix: platform.OwnKeyPrefix, RecordPrefix: platform.OwnRecordPrefix, Rollouts: platform.RolloutCodec(), StatePrefixes: platform.StatePrefixes(s.Rollouts != rollout.Bounds{}),
		Endpoints: platform.NewEndpointClient(entry.EndpointConnections),
		Listen: func(server *exchange.Server) (entry.CallerServer, error) {
			return platform.Listen(platform.FrontendConfig{Address: s.CallersAddress, MaxConnections: s.MaxConnections,
				MaxTotalBodyBytes: s.MemoryBytes / bodyMemoryDivisor}, server, log)
		},
		ServeReadiness: func(ready func() bool) (func(), error) { return platform.ServeReady(s.ReadinessAddress, ready, log) },
	}
}

// limitMemory has the garbage collector keep the process within three quarters of the memory
// that the settings give the host, as far as it can.
func limitMemory(s entry.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes / 4 * 3)
	}
}

// bodyMemoryDivisor limits the total size of the bodies of all requests in progress to
// 1/8 of the memory that the settings give the host.
const bodyMemoryDivisor = 8

// validateSettingsFile reads and validates the settings file and logs the outcome. It
// does not apply the settings; changes take effect at the next start.
func validateSettingsFile(log *slog.Logger) {
	if _, err := platform.LoadSettings(platform.SettingsPath()); err != nil {
		log.Error("cannot reload settings", slog.Any("error", err))
		return
	}
	log.Info("settings read again; changes take effect at the next start")
}
