package settings

import (
	"errors"
	"net/netip"
	"slices"
	"testing"

	"greengagedock.example/registry"
)

// FuzzParse checks that no text makes the parser panic, that refused settings
// list their problems and that accepted ones satisfy the rules.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"limits": {"max_body": "1MB"}, "peers": ["[::1]:1"]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz.json", text)
		if err != nil {
			var refused *Error
			if !errors.As(err, &refused) || len(refused.Problems()) == 0 {
				t.Fatalf("refused with %v", err)
			}
			return
		}
		named := registry.IsName(s.ID()) && registry.IsName(s.Location().Region()) && registry.IsName(s.Location().Domain())
		if !named || !slices.Contains(logLevels, s.LogLevel()) || s.ShutdownDeadline() < minShutdownDeadline {
			t.Fatalf("accepted %+v", s)
		}
		addresses := slices.Concat(s.PlatformAddresses(), s.Peers(), []string{s.CallerAddress(), s.PeerAddress(), s.AdminAddress()})
		for _, address := range addresses {
			if _, err := netip.ParseAddrPort(address); err != nil {
				t.Fatalf("accepted the address %q", address)
			}
		}
		l := s.Limits()
		if len(s.PlatformAddresses()) == 0 || l.MaxBody() < minSize || l.MaxBodyMemory() < l.MaxBody() || l.MaxQueued() < 1 {
			t.Fatalf("accepted %+v", s)
		}
	})
}
