package settings

import (
	"errors"
	"slices"
	"strings"
	"time"

	"greengagedock.example/jsonc"
	"greengagedock.example/registry"
)

// Defaults of the keys that may be left out.
const (
	defaultShutdownDeadline = time.Minute
	defaultLogLevel         = "info"
	defaultMaxBody          = 16_000_000  // bytes
	defaultMaxBodyMemory    = 512_000_000 // bytes
	defaultMaxHeader        = 16_000      // bytes
	defaultMaxAnswer        = 4_000_000   // bytes
	defaultMaxConnections   = 4096
	defaultMaxQueued        = 1000
	defaultMaxCallRecords   = 100_000
	defaultHeaderTimeout    = 10 * time.Second
	defaultBodyTimeout      = 30 * time.Second
	defaultIdleTimeout      = 2 * time.Minute
	defaultWriteStall       = 30 * time.Second
	defaultEventStall       = 5 * time.Second
)

// Bounds of the values.
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

// Parse reads settings written in JSON with comments; name is what errors
// call the text, such as its file, and a refused text is an *Error.
func Parse(name string, text []byte) (Settings, error) {
	reader := jsonc.NewReader(name, text)
	s := parse(reader.Root().Object())
	if err := reader.Err(); err != nil {
		return Settings{}, refused(err)
	}
	return s, nil
}

func refused(err error) error {
	var problems jsonc.Problems
	errors.As(err, &problems)
	return &Error{problems: problems}
}

func parse(o *jsonc.Object) Settings {
	s := Settings{
		id:               name(o.Required("id")),
		location:         registry.NewLocation(name(o.Required("region")), name(o.Required("failure_domain"))),
		shutdownDeadline: duration(o, "shutdown_deadline", minShutdownDeadline, maxShutdownDeadline, defaultShutdownDeadline),
		logLevel:         logLevel(o.Optional("log_level")),
		limits:           parseLimits(o.Optional("limits").Object()),
	}
	parseAddresses(o, &s)
	return s
}

func parseLimits(o *jsonc.Object) Limits {
	l := Limits{
		maxHeader:         size(o, "max_header", maxSize, defaultMaxHeader),
		maxAnswer:         size(o, "max_answer", maxSize, defaultMaxAnswer),
		maxConnections:    number(o, "max_connections", defaultMaxConnections),
		maxQueued:         number(o, "max_queued", defaultMaxQueued),
		maxCallRecords:    number(o, "max_call_records", defaultMaxCallRecords),
		headerTimeout:     duration(o, "header_timeout", minTimeout, maxTimeout, defaultHeaderTimeout),
		bodyTimeout:       duration(o, "body_timeout", minTimeout, maxTimeout, defaultBodyTimeout),
		idleTimeout:       duration(o, "idle_timeout", minTimeout, maxTimeout, defaultIdleTimeout),
		writeStallTimeout: duration(o, "write_stall", minTimeout, maxTimeout, defaultWriteStall),
		eventStallTimeout: duration(o, "event_stall", minTimeout, maxTimeout, defaultEventStall),
	}
	l.maxBody, l.maxBodyMemory = bodySizes(o)
	return l
}

// bodySizes returns the size of the largest body and the memory of all
// bodies, and reports sizes under which the largest body never finds memory.
func bodySizes(o *jsonc.Object) (body, memory int64) {
	one, all := o.Optional("max_body"), o.Optional("max_body_memory")
	body, bodyGiven := one.Size(minSize, maxSize)
	if !bodyGiven {
		body = defaultMaxBody
	}
	memory, memoryGiven := all.Size(minSize, maxBodyMemory)
	if !memoryGiven {
		memory = defaultMaxBodyMemory
	}
	switch refused := one.Present() != bodyGiven || all.Present() != memoryGiven; {
	case refused || memory >= body:
	case memoryGiven:
		all.Report("is %s, want at least the %s of max_body", jsonc.FormatSize(memory), jsonc.FormatSize(body))
	default:
		one.Report("is %s, want at most the %s of max_body_memory", jsonc.FormatSize(body), jsonc.FormatSize(memory))
	}
	return body, memory
}

func name(v jsonc.Value) string {
	text, ok := v.Text()
	if ok && !registry.IsName(text) {
		v.Report("is %s, want %s", jsonc.Quote(text), registry.NameRule)
	}
	return text
}

func logLevel(v jsonc.Value) string {
	text, ok := v.Text()
	switch {
	case !ok:
		return defaultLogLevel
	case !slices.Contains(logLevels, text):
		v.Report("is %s, want one of %s", jsonc.Quote(text), strings.Join(logLevels, ", "))
	}
	return text
}

func duration(o *jsonc.Object, key string, least, most, byDefault time.Duration) time.Duration {
	if d, ok := o.Optional(key).Duration(least, most); ok {
		return d
	}
	return byDefault
}

func number(o *jsonc.Object, key string, byDefault int) int {
	if n, ok := o.Optional(key).Int(1, maxCount); ok {
		return int(n)
	}
	return byDefault
}

func size(o *jsonc.Object, key string, most, byDefault int64) int64 {
	if n, ok := o.Optional(key).Size(minSize, most); ok {
		return n
	}
	return byDefault
}
