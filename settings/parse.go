package settings

import (
	"errors"
	"slices"
	"strings"
	"time"

	"greengagedock.example/jsonc"
	"greengagedock.example/registry"
)

// Defaults of optional keys.
const (
	defaultShutdownDeadline = time.Minute
	defaultLogLevel         = "info"
	defaultMaxBody          = 16_000_000  // bytes
	defaultMaxBodyMemory    = 512_000_000 // bytes
	defaultMaxHeader        = 16_000      // bytes
	defaultMaxAnswer        = 4_000_000   // bytes
	defaultMaxHeaderMemory  = 32_000_000  // bytes
	defaultMaxConnections   = 4096
	defaultMaxQueued        = 1000
	defaultMaxCallRecords   = 100_000
	defaultHeaderTimeout    = 10 * time.Second
	defaultBodyTimeout      = 30 * time.Second
	defaultIdleTimeout      = 2 * time.Minute
	defaultWriteStall       = 30 * time.Second
	defaultEventStall       = 5 * time.Second
)

// Bounds of values.
const (
	minShutdownDeadline = time.Second
	maxShutdownDeadline = 24 * time.Hour
	minTimeout          = 10 * time.Millisecond
	maxTimeout          = time.Hour
	minSize             = 1_000          // bytes
	maxSize             = 1_000_000_000  // bytes
	maxBodyMemory       = 64_000_000_000 // bytes
	maxCount            = 1_000_000
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// Parse parses settings written in JSON with comments; errors refer to the text
// by name, such as its file name. The error for invalid settings is an *Error.
func Parse(name string, text []byte) (Settings, error) {
	reader := jsonc.NewReader(name, text)
	s := parse(reader.Root().Object())
	if err := reader.Err(); err != nil {
		return Settings{}, newError(err)
	}
	return s, nil
}

func newError(err error) error {
	var problems jsonc.Problems
	errors.As(err, &problems)
	return &Error{problems: problems}
}

func parse(o *jsonc.Object) Settings {
	s := Settings{
		id:               parseName(o.Required("id")),
		location:         registry.NewLocation(parseName(o.Required("region")), parseName(o.Required("failure_domain"))),
		shutdownDeadline: parseDuration(o, "shutdown_deadline", minShutdownDeadline, maxShutdownDeadline, defaultShutdownDeadline),
		logLevel:         parseLogLevel(o.Optional("log_level")),
		limits:           parseLimits(o.Optional("limits").Object()),
	}
	parseAddresses(o, &s)
	return s
}

func parseLimits(o *jsonc.Object) Limits {
	l := Limits{
		maxHeader:         parseSize(o, "max_header", maxSize, defaultMaxHeader),
		maxAnswer:         parseSize(o, "max_answer", maxSize, defaultMaxAnswer),
		maxHeaderMemory:   parseSize(o, "max_header_memory", maxBodyMemory, defaultMaxHeaderMemory),
		maxConnections:    parseCount(o, "max_connections", defaultMaxConnections),
		maxQueued:         parseCount(o, "max_queued", defaultMaxQueued),
		maxCallRecords:    parseCount(o, "max_call_records", defaultMaxCallRecords),
		headerTimeout:     parseDuration(o, "header_timeout", minTimeout, maxTimeout, defaultHeaderTimeout),
		bodyTimeout:       parseDuration(o, "body_timeout", minTimeout, maxTimeout, defaultBodyTimeout),
		idleTimeout:       parseDuration(o, "idle_timeout", minTimeout, maxTimeout, defaultIdleTimeout),
		writeStallTimeout: parseDuration(o, "write_stall", minTimeout, maxTimeout, defaultWriteStall),
		eventStallTimeout: parseDuration(o, "event_stall", minTimeout, maxTimeout, defaultEventStall),
	}
	l.maxBody, l.maxBodyMemory = bodySizes(o)
	return l
}

// bodySizes returns the size of the largest body and the memory for all bodies;
// it reports if the largest body does not fit in that memory.
func bodySizes(o *jsonc.Object) (body, memory int64) {
	bodyValue, memoryValue := o.Optional("max_body"), o.Optional("max_body_memory")
	body, bodyOK := bodyValue.Size(minSize, maxSize)
	if !bodyOK {
		body = defaultMaxBody
	}
	memory, memoryOK := memoryValue.Size(minSize, maxBodyMemory)
	if !memoryOK {
		memory = defaultMaxBodyMemory
	}
	switch invalid := bodyValue.Present() != bodyOK || memoryValue.Present() != memoryOK; {
	case invalid || memory >= body:
	case memoryOK:
		memoryValue.Report("is %s, want at least the %s of max_body", jsonc.FormatSize(memory), jsonc.FormatSize(body))
	default:
		bodyValue.Report("is %s, want at most the %s of max_body_memory", jsonc.FormatSize(body), jsonc.FormatSize(memory))
	}
	return body, memory
}

func parseName(v jsonc.Value) string {
	text, ok := v.Text()
	if ok && !registry.IsName(text) {
		v.Report("is %s, want %s", jsonc.Quote(text), registry.NameRule)
	}
	return text
}

func parseLogLevel(v jsonc.Value) string {
	text, ok := v.Text()
	switch {
	case !ok:
		return defaultLogLevel
	case !slices.Contains(logLevels, text):
		v.Report("is %s, want one of %s", jsonc.Quote(text), strings.Join(logLevels, ", "))
	}
	return text
}

func parseDuration(o *jsonc.Object, key string, minimum, maximum, defaultValue time.Duration) time.Duration {
	if d, ok := o.Optional(key).Duration(minimum, maximum); ok {
		return d
	}
	return defaultValue
}

func parseCount(o *jsonc.Object, key string, defaultValue int) int {
	if n, ok := o.Optional(key).Int(1, maxCount); ok {
		return int(n)
	}
	return defaultValue
}

func parseSize(o *jsonc.Object, key string, maximum, defaultValue int64) int64 {
	if n, ok := o.Optional(key).Size(minSize, maximum); ok {
		return n
	}
	return defaultValue
}
