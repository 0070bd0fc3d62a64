package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"greengagedock.example/gateway"
	"greengagedock.example/ingress"
	"greengagedock.example/platform"
	"greengagedock.example/upstream"
)

// settingsPollInterval is the time between two checks whether the settings file
// has been modified, which may happen without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// memoryReserve and memoryReserveDivisor bound the part of the process's memory that is not the
// Go runtime's: the program itself, libraries and thread stacks.
const (
	memoryReserve        = 32 << 20
	memoryReserveDivisor = 6
)

// newGatewayCommand returns the command that runs an entry on the users' platform.
// It sets status if the entry fails.
func newGatewayCommand(status *int) *cobra.Command {
	var level string
	command := &cobra.Command{
		Use:   "gateway",
		Short: "Run one entry on the users' platform, with the settings file that " + platform.SettingsVariable + " names",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if path == "" {
				*status = statusSettings
				return fmt.Errorf("%s: not set", platform.SettingsVariable)
			}
			settings, store, err := platform.ReadSettings(path)
			if err != nil {
				*status = statusSettings
				return err
			}
			if err := runGateway(path, settings, store, level); err != nil {
				*status = statusFailed
				return err
			}
			return nil
		},
	}
	command.Flags().StringVar(&level, "log-level", "info", "minimum level of log lines")
	return command
}

// runGateway runs an entry until SIGTERM or SIGINT. It reloads the settings on
// SIGHUP and when their file is modified.
func runGateway(path string, settings gateway.Settings, store, level string) error {
	output := gateway.NewAsyncLogWriter(os.Stdout)
	defer output.Close()
	log := hclog.New(&hclog.LoggerOptions{Name: settings.ID(), Level: hclog.LevelFromString(level), Output: output})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	adapters := gateway.Platform{
		Source:     platform.NewStore(store, settings.Timeouts()),
		Decode:     platform.Decode,
		KVReserver: func(network upstream.Network) ingress.KVReserver { return platform.NewEngineClient(network) },
		Headers:    platform.Headers{},
		Directory:  platform.DirectoryHandler,
		HealthPath: platform.HealthPath,
	}
	limitMemory(settings)
	process, err := gateway.Start(settings, adapters, output, log)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modified := modTime(path)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				process.Shutdown()
				return nil
			}
		case <-ticker.C:
			if modTime(path).Equal(modified) {
				continue
			}
		}
		modified = modTime(path)
		reloaded, _, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("settings reload failed", "error", err)
			continue
		}
		limitMemory(reloaded)
		process.Reload(reloaded)
	}
}

// limitMemory tells the runtime the memory of the process, so that garbage is collected more often
// when little is left: else the heap grows to twice what is in use.
func limitMemory(settings gateway.Settings) {
	if memory := settings.MemoryBytes(); memory > 0 {
		debug.SetMemoryLimit(memory - min(memoryReserve, memory/memoryReserveDivisor))
	}
}

// modTime returns the modification time of a file, zero if it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
