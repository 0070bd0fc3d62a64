package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/jsonc"
	"greengagedock.example/registry"
)

// ErrSettings is wrapped by the errors of invalid settings.
var ErrSettings = eris.New("settings: refused")

// Error lists all problems of invalid settings; it wraps ErrSettings.
type Error struct {
	problems jsonc.Problems
}

// Problems returns the problems in the order of the lines.
func (e *Error) Problems() jsonc.Problems { return e.problems }

// Error returns all problems on one line.
func (e *Error) Error() string { return "settings: refused: " + e.problems.Error() }

// Unwrap returns ErrSettings.
func (e *Error) Unwrap() error { return ErrSettings }

// Settings is the configuration that an entry instance reads at its start.
type Settings struct {
	id                string
	location          registry.Location
	callerAddress     string
	peerAddress       string
	adminAddress      string
	platformAddresses []string
	peers             []string
	shutdownDeadline  time.Duration
	logLevel          string
	limits            Limits
}

// ID returns the published id of the entry instance.
func (s Settings) ID() string { return s.id }

// Location returns the region and failure domain of the entry instance.
func (s Settings) Location() registry.Location { return s.location }

// CallerAddress returns the IP and port for callers to connect to.
func (s Settings) CallerAddress() string { return s.callerAddress }

// PeerAddress returns the IP and port for other entries to connect to.
func (s Settings) PeerAddress() string { return s.peerAddress }

// AdminAddress returns the IP and port for operators to connect to.
func (s Settings) AdminAddress() string { return s.adminAddress }

// PlatformAddress returns the IP and port of the platform's first replica.
func (s Settings) PlatformAddress() string {
	if len(s.platformAddresses) == 0 {
		return ""
	}
	return s.platformAddresses[0]
}

// PlatformAddresses returns the IPs and ports of the platform's replicas; the caller must not change the slice.
func (s Settings) PlatformAddresses() []string { return s.platformAddresses }

// Peers returns the IPs and ports of entries to contact until the platform has
// answered, none by default; the caller must not change the slice.
func (s Settings) Peers() []string { return s.peers }

// ShutdownDeadline returns how long a graceful shutdown may take.
func (s Settings) ShutdownDeadline() time.Duration { return s.shutdownDeadline }

// LogLevel returns the least severe level that is logged: trace, debug, info, warn or error.
func (s Settings) LogLevel() string { return s.logLevel }

// Limits returns the bounds on what the entry instance spends on its callers.
func (s Settings) Limits() Limits { return s.limits }

// Read reads the settings file at path; the error for an invalid file is an *Error.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings: read")
	}
	return Parse(path, text)
}
