package crowdtest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// longItems is the number of items of valueBytes, the longest value, and shortItems that of
	// short ones.
	longItems  = 80
	valueBytes = 1 << 20
	shortItems = 100_000
)

// foreignServer returns a published server of a service that is in no configuration, with a
// further field of some bytes.
func foreignServer(bytes int) map[string]any {
	notes := make([]byte, bytes)
	for i := range notes {
		notes[i] = byte('A' + rand.IntN(26))
	}
	return map[string]any{
		"Service": "press", "Addr": "127.0.0.1:9", "Zone": "a", "Version": "v1", "Slots": 6, "State": "ready",
		"ColdLeftMs": 0, "Seq": 1, "born": 1700000000000, "Notes": string(notes),
	}
}

// foreignItems returns items of another writer, by what they are.
func foreignItems() map[string]map[string]any {
	long := func(prefix string) map[string]any {
		items := make(map[string]any)
		for i := range longItems {
			items[fmt.Sprint(prefix, "long-", i)] = foreignServer(valueBytes - 512)
		}
		return items
	}
	short := func(field string, value any) map[string]any {
		item := foreignServer(100)
		item[field] = value
		items := make(map[string]any)
		for i := range shortItems {
			items[fmt.Sprint("servers/a-", i)] = item
		}
		return items
	}
	blank := make(map[string]any)
	for i := range longItems {
		item := foreignServer(0)
		item["Notes"] = strings.Repeat(" ", valueBytes-512)
		blank[fmt.Sprint("servers/blank-", i)] = item
	}
	return map[string]map[string]any{
		"long servers":                      long("servers/"),
		"long evacuations":                  long("op/evacuate/"),
		"long items of another application": long("another/"),
		"long values that compress well":    blank,
		"many short servers":                short("Seq", 2),
		"many malformed servers":            short("Slots", "six"),
	}
}

// Guards against entries that end for what another writer puts into the store, as they watch it
// and as they start: one that follows, one that starts beside it, and one that starts alone.
func TestCrowdGatewayItemsOfAnotherWriter(t *testing.T) {
	for name, items := range foreignItems() {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // no case depends on the descriptors of another one
			c := qt.New(t)
			g := startGateway(t)
			g.store.PutAll(items)
			g.awaitContent(c)
			await(c, "an ordinary request beside the items", g.call)
			beside := g.startBeside(c, "entry-2")
			beside.awaitContent(c)
			await(c, "an ordinary request beside the items, at the second entry", beside.call)
			g.process.check(gatewayBounds)
			beside.process.check(gatewayBounds)
			_ = g.process.command.Process.Kill()
			<-g.process.ended
			third := beside.startBeside(c, "entry-3")
			third.awaitContent(c)
			await(c, "an ordinary request beside the items, at the third entry", third.call)
			beside.process.check(gatewayBounds)
			third.process.check(gatewayBounds)
		})
	}
}

// startBeside starts another entry on the same store, which knows this one, and waits until it is
// ready.
func (g *gateway) startBeside(c *qt.C, name string) *gateway {
	other := &gateway{store: g.store, server: g.server, storeAddress: g.storeAddress}
	other.start(c, name, g.address(portPeers))
	return other
}

// awaitContent waits until the entry has read what is in the store.
func (g *gateway) awaitContent(c *qt.C) {
	await(c, "content of the store", func() error {
		response, err := client.Get("http://" + g.address(portMetrics) + "/metrics")
		if err != nil {
			return err
		}
		defer response.Body.Close()
		var metrics struct {
			Revision int64 `json:"revision"`
		}
		if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
			return err
		}
		if want := g.store.Revision(); metrics.Revision != want {
			return fmt.Errorf("revision %d, want %d", metrics.Revision, want)
		}
		return nil
	})
}
