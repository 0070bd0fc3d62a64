package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/registry"
)

const validSettings = `{
	"id": "entry-1",
	"region": "scl",
	"failure_domain": "scl-a",
	"caller_address": "127.0.0.1:8100",
	"peer_address": "127.0.0.1:8101",
	"admin_address": "127.0.0.1:8102",
	"platform_address": "127.0.0.1:8200", // one replica
}`

func TestParseDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("entry.json", []byte(validSettings))
	c.Assert(err, qt.IsNil)
	c.Check(s.ID(), qt.Equals, "entry-1")
	c.Check(s.Location(), qt.Equals, registry.NewLocation("scl", "scl-a"))
	c.Check(s.CallerAddress(), qt.Equals, "127.0.0.1:8100")
	c.Check(s.PeerAddress(), qt.Equals, "127.0.0.1:8101")
	c.Check(s.AdminAddress(), qt.Equals, "127.0.0.1:8102")
	c.Check(s.PlatformAddress(), qt.Equals, "127.0.0.1:8200")
	c.Check(s.Peers(), qt.HasLen, 0)
	c.Check(s.ShutdownDeadline(), qt.Equals, time.Minute)
	c.Check(s.LogLevel(), qt.Equals, "info")
	c.Check(s.Limits().MaxBody(), qt.Equals, int64(16_000_000))
	c.Check(s.Limits().MaxConnections(), qt.Equals, 4096)
	c.Check(s.Limits().MaxQueued(), qt.Equals, 1000)
	c.Check(s.Limits().HeaderTimeout(), qt.Equals, 10*time.Second)
	c.Check(s.Limits().IdleTimeout(), qt.Equals, 2*time.Minute)
	c.Check(s.Limits().WriteStallTimeout(), qt.Equals, 30*time.Second)
	c.Check(s.Limits().MaxBodyMemory(), qt.Equals, int64(512_000_000))
	c.Check(s.Limits().MaxHeader(), qt.Equals, int64(16_000))
	c.Check(s.Limits().MaxAnswer(), qt.Equals, int64(4_000_000))
	c.Check(s.Limits().MaxHeaderMemory(), qt.Equals, int64(32_000_000))
	c.Check(s.Limits().MaxCallRecords(), qt.Equals, 100_000)
	c.Check(s.Limits().BodyTimeout(), qt.Equals, 30*time.Second)
	c.Check(s.Limits().EventStallTimeout(), qt.Equals, 5*time.Second)
}

func TestParseEveryKey(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("entry.json", []byte(`{
		"id": "entry-1", "region": "scl", "failure_domain": "scl-a",
		"caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "admin_address": "[::1]:0",
		"platform_addresses": ["10.0.0.1:8200", "10.0.0.2:8200"],
		"peers": ["10.0.1.1:8101"],
		"shutdown_deadline": "90s", "log_level": "debug",
		"limits": {
			"max_body": "32MiB", "max_connections": 10, "max_queued": 20, "header_timeout": "1s",
			"idle_timeout": "2s", "body_timeout": "3s", "write_stall": "4s", "event_stall": "5s",
			"max_body_memory": "1GB", "max_header": "8KB", "max_answer": "1MiB", "max_call_records": 30, "max_header_memory": "3MB",
		},
	}`))
	c.Assert(err, qt.IsNil)
	c.Check(s.AdminAddress(), qt.Equals, "[::1]:0")
	c.Check(s.PlatformAddress(), qt.Equals, "10.0.0.1:8200")
	c.Check(s.PlatformAddresses(), qt.DeepEquals, []string{"10.0.0.1:8200", "10.0.0.2:8200"})
	c.Check(s.Peers(), qt.DeepEquals, []string{"10.0.1.1:8101"})
	c.Check(s.ShutdownDeadline(), qt.Equals, 90*time.Second)
	c.Check(s.LogLevel(), qt.Equals, "debug")
	c.Check(s.Limits().MaxBody(), qt.Equals, int64(32<<20))
	c.Check(s.Limits().MaxConnections(), qt.Equals, 10)
	c.Check(s.Limits().MaxQueued(), qt.Equals, 20)
	c.Check(s.Limits().HeaderTimeout(), qt.Equals, time.Second)
	c.Check(s.Limits().IdleTimeout(), qt.Equals, 2*time.Second)
	c.Check(s.Limits().BodyTimeout(), qt.Equals, 3*time.Second)
	c.Check(s.Limits().WriteStallTimeout(), qt.Equals, 4*time.Second)
	c.Check(s.Limits().EventStallTimeout(), qt.Equals, 5*time.Second)
	c.Check(s.Limits().MaxBodyMemory(), qt.Equals, int64(1_000_000_000))
	c.Check(s.Limits().MaxHeader(), qt.Equals, int64(8000))
	c.Check(s.Limits().MaxAnswer(), qt.Equals, int64(1<<20))
	c.Check(s.Limits().MaxHeaderMemory(), qt.Equals, int64(3_000_000))
	c.Check(s.Limits().MaxCallRecords(), qt.Equals, 30)
}

func TestParseRefuses(t *testing.T) {
	edits := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"unknown key", `"id"`, `"limit": {}, "id"`, []string{`entry.json:2: limit: unknown key, did you mean "limits"?`}},
		{"unknown key, none near", `"id"`, `"colour": 1, "id"`, []string{"entry.json:2: colour: unknown key"}},
		{"unknown limit", `"id"`, `"limits": {"maxBody": "1MB"}, "id"`, []string{
			`entry.json:2: limits.maxBody: unknown key, did you mean "max_body"?`}},
		{"mistyped key", `"region"`, `"regoin"`, []string{
			"entry.json:1: region: missing",
			`entry.json:3: regoin: unknown key, did you mean "region"?`}},
		{"repeated key", `"region"`, `"id": "entry-2", "region"`, []string{"entry.json:3: id: key repeated, first on line 2"}},
		{"number for a string", `"entry-1"`, `1`, []string{"entry.json:2: id: is a number, want a string"}},
		{"null", `"entry-1"`, `null`, []string{"entry.json:2: id: is null, want a string"}},
		{"empty id", `"entry-1"`, `""`, []string{`entry.json:2: id: is "", want ` + registry.NameRule}},
		{"spaced id", `"entry-1"`, `"entry 1"`, []string{`entry.json:2: id: is "entry 1", want ` + registry.NameRule}},
		{"host name", `"127.0.0.1:8100"`, `"localhost:8100"`, []string{
			`entry.json:5: caller_address: is "localhost:8100", want an IP and port such as 127.0.0.1:8100`}},
		{"no port", `"127.0.0.1:8100"`, `"127.0.0.1"`, []string{
			`entry.json:5: caller_address: is "127.0.0.1", want an IP and port such as 127.0.0.1:8100`}},
		{"port too high", `"127.0.0.1:8100"`, `"127.0.0.1:65536"`, []string{
			`entry.json:5: caller_address: is "127.0.0.1:65536", want an IP and port such as 127.0.0.1:8100`}},
		{"any port beyond loopback", `"127.0.0.1:8100"`, `"10.0.0.1:0"`, []string{
			"entry.json:5: caller_address: is 10.0.0.1:0, want a port above 0: a port chosen by the system is allowed only on loopback"}},
		{"same address", `"127.0.0.1:8101"`, `"127.0.0.1:8100"`, []string{
			"entry.json:6: peer_address: is 127.0.0.1:8100, which caller_address already uses"}},
		{"same port on all interfaces", `"127.0.0.1:8101"`, `"0.0.0.0:8102"`, []string{
			"entry.json:7: admin_address: is 127.0.0.1:8102, which peer_address already uses"}},
		{"admin on all interfaces", `"127.0.0.1:8102"`, `"[::]:8102"`, []string{
			"entry.json:7: admin_address: is [::]:8102, want the address of one interface, since the entry can be drained here"}},
		{"no platform", `"platform_address": "127.0.0.1:8200",`, ``, []string{"entry.json:1: platform_address: missing"}},
		{"platform on port 0", `127.0.0.1:8200`, `127.0.0.1:0`, []string{
			"entry.json:8: platform_address: is 127.0.0.1:0, want an address to connect to"}},
		{"platform twice", `"id"`, `"platform_addresses": ["127.0.0.1:8201"], "id"`, []string{
			"entry.json:2: platform_addresses: is set together with platform_address, want only one of them"}},
		{"no replica", `"platform_address": "127.0.0.1:8200"`, `"platform_addresses": []`, []string{
			"entry.json:8: platform_addresses: is empty, want at least one address"}},
		{"replica repeated", `"platform_address": "127.0.0.1:8200"`, `"platform_addresses": ["10.0.0.1:1", "10.0.0.1:1"]`, []string{
			"entry.json:8: platform_addresses[1]: is 10.0.0.1:1, which is listed already"}},
		{"replicas as one", `"platform_address": "127.0.0.1:8200"`, `"platform_addresses": "127.0.0.1:8200"`, []string{
			"entry.json:8: platform_addresses: is a string, want an array"}},
		{"peer is no address", `"id"`, `"peers": ["entry-2"], "id"`, []string{
			`entry.json:2: peers[0]: is "entry-2", want an IP and port such as 127.0.0.1:8100`}},
		{"bare duration", `"id"`, `"shutdown_deadline": 60, "id"`, []string{
			`entry.json:2: shutdown_deadline: is a number, want a duration such as "1.5s"`}},
		{"duration without unit", `"id"`, `"shutdown_deadline": "60", "id"`, []string{
			`entry.json:2: shutdown_deadline: is "60", want a duration such as "1.5s"`}},
		{"duration out of range", `"id"`, `"shutdown_deadline": "-1s", "id"`, []string{
			"entry.json:2: shutdown_deadline: is -1s, want 1s to 24h0m0s"}},
		{"log level", `"id"`, `"log_level": "loud", "id"`, []string{
			`entry.json:2: log_level: is "loud", want one of trace, debug, info, warn, error`}},
		{"limits as array", `"id"`, `"limits": [], "id"`, []string{"entry.json:2: limits: is an array, want an object"}},
		{"size without unit", `"id"`, `"limits": {"max_body": "16"}, "id"`, []string{
			`entry.json:2: limits.max_body: is "16", want a size such as "16MB" in B, KB, MB, GB, KiB, MiB or GiB`}},
		{"size out of range", `"id"`, `"limits": {"max_body": "2GB"}, "id"`, []string{
			"entry.json:2: limits.max_body: is 2GB, want 1KB to 1GB"}},
		{"body beyond the memory of bodies", `"id"`, `"limits": {"max_body": "600MB"}, "id"`, []string{
			"entry.json:2: limits.max_body: is 600MB, want at most the 512MB of max_body_memory"}},
		{"memory of bodies below a body", `"id"`, `"limits": {"max_body_memory": "1MB"}, "id"`, []string{
			"entry.json:2: limits.max_body_memory: is 1MB, want at least the 16MB of max_body"}},
		{"memory of bodies is no size", `"id"`, `"limits": {"max_body": "1GB", "max_body_memory": "much"}, "id"`, []string{
			`entry.json:2: limits.max_body_memory: is "much", want a size such as "16MB" in B, KB, MB, GB, KiB, MiB or GiB`}},
		{"fraction", `"id"`, `"limits": {"max_queued": 1.5}, "id"`, []string{
			"entry.json:2: limits.max_queued: is 1.5, want a whole number"}},
		{"number out of range", `"id"`, `"limits": {"max_connections": 0}, "id"`, []string{
			"entry.json:2: limits.max_connections: is 0, want 1 to 1000000"}},
		{"number beyond 64 bits", `"id"`, `"limits": {"max_connections": 99999999999999999999}, "id"`, []string{
			"entry.json:2: limits.max_connections: is 99999999999999999999, want 1 to 1000000"}},
		{"trailing data", "}", "}\n{}", []string{`entry.json:10: column 1: invalid character '{' after top-level value`}},
		{"not closed", "// one replica\n}", "", []string{`entry.json:8: column 40: parsing value: unexpected EOF`}},
		{"array", validSettings, "[]", []string{"entry.json:1: is an array, want an object"}},
		{"empty", validSettings, "", []string{"entry.json:1: column 1: parsing value: unexpected EOF"}},
		{"not UTF-8", "one replica", "\xff", []string{"entry.json:8: text is not valid UTF-8"}},
		{"several at once", "\"id\": \"entry-1\",\n\t\"region\"", `"id": 7, "zone": 1, "regions"`, []string{
			"entry.json:1: region: missing",
			"entry.json:2: id: is a number, want a string",
			"entry.json:2: zone: unknown key",
			`entry.json:2: regions: unknown key, did you mean "region"?`}},
	}
	for _, test := range edits {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(validSettings, qt.Contains, test.old)
			_, err := Parse("entry.json", []byte(strings.Replace(validSettings, test.old, test.new, 1)))
			c.Assert(errors.Is(err, ErrSettings), qt.IsTrue)
			c.Assert(lines(err), qt.DeepEquals, test.want)
		})
	}
}

func lines(err error) []string {
	var refused *Error
	if !errors.As(err, &refused) {
		return nil
	}
	var texts []string
	for _, problem := range refused.Problems() {
		texts = append(texts, problem.Error())
	}
	return texts
}

func TestReadExamples(t *testing.T) {
	for _, path := range []string{"kinross/entry-1.json", "vineta/entry-2.json"} {
		_, err := Read(filepath.Join("..", "examples", path))
		qt.Check(t, err, qt.IsNil)
	}
}

func TestReadErrorNamesTheFile(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "entry.json")
	c.Assert(os.WriteFile(path, []byte(`{"id": 1}`), 0o600), qt.IsNil)
	_, err := Read(path)
	c.Assert(err, qt.ErrorMatches, `settings: refused: .*entry\.json:1: region: missing; .*; .*entry\.json:1: id: is a number, want a string`)
	_, err = Read(path + ".gone")
	c.Assert(err, qt.ErrorIs, os.ErrNotExist)
}
