package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"greengagedock.example/standin"
)

func newPlatformCommand() *cobra.Command {
	var listen, file string
	var readRate int
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Publish values from a file or directory; SIGHUP reloads them",
		Example: `  standin platform --listen 127.0.0.1:9000 --file values.json
  curl -d '{"fault": "stale"}' 127.0.0.1:9000/fault`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := &publisher{platform: standin.NewPlatform(), file: file, published: make(map[string]string)}
			p.platform.SetReadRate(readRate)
			if err := p.publish(); err != nil {
				return err
			}
			go p.republish(cmd.Context())
			return serve(cmd.Context(), "platform", "platform", listen, p.platform)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on")
	cmd.Flags().StringVar(&file, "file", "", "JSON object of keys and values, or directory of files named KEY.json")
	cmd.Flags().IntVar(&readRate, "read-rate", 2000, "total reads per second, 0 for no limit")
	return cmd
}

// publisher publishes the values in a file or directory.
type publisher struct {
	platform  *standin.Platform
	file      string
	published map[string]string
}

// republish publishes the values again on every SIGHUP, until ctx is done.
func (p *publisher) republish(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	for {
		select {
		case <-hangup:
			if err := p.publish(); err != nil {
				fmt.Fprintf(os.Stderr, "publish error=%q\n", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// publish sets the values that changed since the last call and deletes those that are gone.
func (p *publisher) publish() error {
	if p.file == "" {
		return nil
	}
	values, err := readValues(p.file)
	if err != nil {
		return err
	}
	for key := range p.published {
		if _, ok := values[key]; !ok {
			p.platform.Delete(key)
		}
	}
	for key, value := range values {
		if old, ok := p.published[key]; !ok || old != value {
			p.platform.Set(key, value)
		}
	}
	p.published = values
	return nil
}

func readValues(path string) (map[string]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return readValuesFile(path)
	}
	values := make(map[string]string)
	err = filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		text, err := os.ReadFile(name)
		key := strings.TrimSuffix(strings.TrimPrefix(name, filepath.Clean(path)+"/"), filepath.Ext(name))
		values[key] = string(text)
		return err
	})
	return values, err
}

func readValuesFile(path string) (map[string]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if text, err = hujson.Standardize(text); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	values := make(map[string]string)
	for key, value := range raw {
		values[key] = string(value)
	}
	return values, nil
}
