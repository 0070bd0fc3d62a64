package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"greengagedock.example/gateway"
	"greengagedock.example/platform"
)

// settingsInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsInterval = 2 * time.Second

// newGatewayCommand returns the command that runs an entry on the users' platform.
func newGatewayCommand(status *int) *cobra.Command {
	var level string
	command := &cobra.Command{
		Use:   "gateway",
		Short: "Run one entry on the users' platform, by the settings file that " + platform.SettingsVariable + " names",
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
	command.Flags().StringVar(&level, "log-level", "info", "least level of the lines that are logged")
	return command
}

// runGateway serves until a signal ends it.
func runGateway(path string, settings gateway.Settings, store, level string) error {
	output := gateway.NewAsyncLogWriter(os.Stdout)
	defer output.Close()
	log := hclog.New(&hclog.LoggerOptions{Name: settings.ID(), Level: hclog.LevelFromString(level), Output: output})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	outside := gateway.Platform{
		Source:     platform.NewStore(store),
		Decode:     platform.Decode,
		KVReserver: platform.NewEngineClient(),
		Headers:    platform.Headers{},
		Directory:  platform.DirectoryHandler,
	}
	process, err := gateway.Start(settings, outside, output, log)
	if err != nil {
		return err
	}
	look := time.NewTicker(settingsInterval)
	defer look.Stop()
	changed := changeTime(path)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				process.Shutdown()
				return nil
			}
		case <-look.C:
			if changeTime(path).Equal(changed) {
				continue
			}
		}
		changed = changeTime(path)
		reloaded, _, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("settings not reloaded", "error", err)
			continue
		}
		process.Reload(reloaded)
	}
}

// changeTime returns when a file was changed last, zero if that can't be told.
func changeTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
