package peer

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// The benchmarks of this file measure the slopes that docs/CAPACITY.md works
// from: bytes, processor time and memory of one entry's control state, by the
// number of entries, of kept backend servers and of documents.

// capacityWarmupSeconds is the number of seconds that are not counted, while
// entries exchange their state.
const capacityWarmupSeconds = 60

// capacityTickInterval is the time between two ticks of the node.
const capacityTickInterval = tickInterval

// capacityNode returns a node of the given number of listed entries that keeps
// servers and has documents active.
func capacityNode(entries, servers, documents int) (*Node, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self := registry.NewEntry("entry-0", simLocation(0), registry.StateLive, "10.0.0.1:80", "10.0.0.1:81")
	n := NewNode(now, self, 1<<32)
	var published []registry.Item
	for d := range max(documents, 1) {
		published = append(published, capacityDocument(d))
	}
	published = append(published, capacityEntries(entries), capacityServers(servers))
	n.Step(now, PlatformRead{items: published})
	return n, now
}

func capacityDocument(i int) registry.Item {
	service := fmt.Sprintf("service-%d", i)
	accounts := ""
	for a := range 20 {
		accounts += fmt.Sprintf(`{"name": "account-%d", "key_sha256": "%x", "share": 1},`, a, sha256.Sum256(fmt.Append(nil, i, a)))
	}
	return registry.NewItem(registry.ServicePrefix+service, 1, fmt.Sprintf(`{
		"service": %q, "team": "team", "version": 1, "priority": 1, "accounts": [%s],
		"models": [{"name": "model-%d", "prompt_tokens": 1000000, "answer_tokens": 4096, "deadline": "600s"}],
		"backend_servers": {"cold": {"requests": 2, "tokens": 60000}, "warm": {"requests": 32, "tokens": 400000}, "warm_after": 3}
	}`, service, accounts[:len(accounts)-1], i))
}

// capacityEntries lists the entries, each in a failure domain of its own, so
// that the first keeps exactly the servers of its domain.
func capacityEntries(count int) registry.Item {
	var instances []registry.Instance
	for i := range count {
		location := registry.NewLocation(simRegion, fmt.Sprintf("domain-%d", i))
		if i == 0 {
			location = simLocation(0)
		}
		instances = append(instances, registry.NewEntry(fmt.Sprintf("entry-%d", i), location, registry.StateLive, "10.0.0.1:80", "10.0.0.1:81"))
	}
	text, err := registry.FormatList(instances...)
	if err != nil {
		panic(err)
	}
	return registry.NewItem(registry.EntriesPrefix+simRegion, 1, text)
}

func capacityServers(count int) registry.Item {
	var instances []registry.Instance
	for i := range count {
		instances = append(instances, registry.NewServer(fmt.Sprintf("engine-%d", i), registry.KindEngine,
			simLocation(0), registry.StateLive, "10.0.0.2:90", "service-0"))
	}
	text, err := registry.FormatList(instances...)
	if err != nil {
		panic(err)
	}
	return registry.NewItem(registry.ServersPrefix+simDomains[0], 2, text)
}

// frameBytes returns the size of a message's frame, without TCP's overhead.
func frameBytes(b *testing.B, m message) int {
	frame, err := encodeFrame(m)
	if err != nil {
		b.Fatal(err)
	}
	return len(frame)
}

// capacityHeartbeat returns a heartbeat as a peer that keeps twenty servers
// sends it.
func capacityHeartbeat(n *Node, seq uint64) *heartbeat {
	return &heartbeat{
		Seq: seq, AckSeq: n.membership.seq, ListsDigest: n.membership.knownListsDigest(), Clock: int64(seq) * int64(time.Second), ListVersion: 1, EstablishedVersion: 1, RetiredBelow: 1, ItemsDigest: 1 << 63, OpenRequests: 40, Synced: true, PlatformAgeMs: 300,
		FreeCapacities: []freeCapacity{{
			Service: "service-0", Model: "model-0", FreeRequests: 300, FreeTokens: 4_000_000, LargestFreeTokens: 400_000, QueuedTokens: 0,
			ExpectedWaitsMs: []int64{0, 0, 0},
		}},
	}
}

// BenchmarkCapacityEntries measures one second of membership: heartbeats to
// and from every listed entry of the region, and the ticks.
func BenchmarkCapacityEntries(b *testing.B) {
	for _, entries := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			n, now := capacityNode(entries, 20, 20)
			sent, received, seconds := 0, 0, -capacityWarmupSeconds
			due := now
			var seq uint64
			for id := range n.keeper.kept {
				n.keeper.allocator.InheritWarmth(id, "a", 4)
			}
			second := func() {
				if seconds++; seconds == 0 {
					sent, received = 0, 0
				}
				capacityReports(n, now)
				for range int(time.Second / capacityTickInterval) {
					now = now.Add(capacityTickInterval)
					for _, effect := range n.Step(now, Tick{}) {
						if s, ok := effect.(Send); ok {
							sent += frameBytes(b, s.message)
						}
					}
				}
				if now.Before(due) {
					return
				}
				due = now.Add(heartbeatInterval(n.membership.list))
				seq++
				hb := capacityHeartbeat(n, seq)
				bytes := frameBytes(b, hb)
				for i := 1; i < entries; i++ {
					received += bytes
					n.Step(now, Received{from: backend.NewOwner(fmt.Sprintf("entry-%d", i), 1), message: hb})
				}
			}
			for range capacityWarmupSeconds {
				second()
			}
			for b.Loop() {
				second()
			}
			b.ReportMetric(float64(sent)/float64(seconds), "sent_B/s")
			b.ReportMetric(float64(received)/float64(seconds), "received_B/s")
		})
	}
}

// BenchmarkCapacityServers measures one second of keeping servers: ticks, two
// load reports of each server, and the summaries for a heartbeat.
func BenchmarkCapacityServers(b *testing.B) {
	for _, servers := range []int{20, 100, 500, 2000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			n, now := capacityNode(8, servers, 20)
			for b.Loop() {
				for tick := range int(time.Second / capacityTickInterval) {
					now = now.Add(capacityTickInterval)
					n.Step(now, Tick{})
					if tick%10 != 0 {
						continue
					}
					for i := range servers {
						report := backend.NewReport(fmt.Sprintf("engine-%d", i), "a", registry.StateLive, 400_000, 0)
						n.Step(now, LoadReported{report: report.WithModels("model-0")})
					}
				}
			}
		})
	}
}

// BenchmarkCapacityDocuments measures the activation of a changed document
// among others, and the memory that each active document takes.
func BenchmarkCapacityDocuments(b *testing.B) {
	for _, documents := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("documents=%d", documents), func(b *testing.B) {
			before := heapBytes()
			n, now := capacityNode(8, 20, documents)
			held := heapBytes() - before
			version := int64(1)
			changed := capacityDocument(0)
			bytes := 0
			for b.Loop() {
				version++
				now = now.Add(time.Second)
				text := fmt.Sprintf("// %d\n%s", version, changed.Value())
				item := registry.NewItem(changed.Key(), version, text)
				n.Step(now, PlatformRead{items: []registry.Item{item}})
				bytes = frameBytes(b, newItems([]registry.Item{item}))
			}
			b.ReportMetric(float64(held)/float64(documents), "held_B/document")
			b.ReportMetric(float64(bytes), "sent_B/change")
			b.ReportMetric(float64(frameBytes(b, &pull{Versions: n.items.versions()})), "pull_B")
			b.ReportMetric(float64(frameBytes(b, &heartbeat{ItemsDigest: n.items.digest})), "digest_heartbeat_B")
			runtime.KeepAlive(n)
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkCapacityRequest measures the control work of one request: the slot
// request, the grant and the release, at the keeper and on the wire.
func BenchmarkCapacityRequest(b *testing.B) {
	for _, held := range []int{0, 100, 400} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			benchmarkRequest(b, held)
		})
	}
}

func benchmarkRequest(b *testing.B, held int) {
	n, now := capacityNode(1, 20, 20)
	now = capacityWarmUp(n, now)
	peer := backend.NewOwner("entry-1", 1<<32)
	n.Step(now, Received{from: peer, message: capacityHeartbeat(n, 1)})
	number := 0
	bytes := 0
	request := func(finish bool) {
		number++
		r := &slotRequest{
			ID: backend.AttemptID(peer, fmt.Sprintf("entry-1-abcdefgh-%d", number), 1), Account: "account-1",
			Service: "service-0", Model: "model-0", PromptTokens: 1000, AnswerTokens: 100, TimeLeftMs: 60_000, PrefixHash: 1 << 63, Priority: 1, Share: 1,
		}
		short := func(id string) string { return backend.ShortAttemptID(peer, id) }
		r = mapAttemptIDs(r, short).(*slotRequest)
		bytes = frameBytes(b, r)
		for _, effect := range n.Step(now, Received{from: peer, message: r}) {
			s, ok := effect.(Send)
			if !ok {
				continue
			}
			r, ok := s.message.(*slotReply)
			if !ok || r.State != replyGranted {
				b.Fatalf("not granted: %+v", s.message)
			}
			bytes += frameBytes(b, r)
			if !finish {
				continue
			}
			done := &release{ID: r.ID, Server: r.Server, Outcome: string(backend.OutcomeFinished)}
			bytes += frameBytes(b, done)
			now = now.Add(time.Millisecond)
			n.Step(now, Received{from: peer, message: done})
		}
	}
	for range held {
		request(false)
	}
	for b.Loop() {
		request(true)
		if number%200 == 0 {
			capacityReports(n, now)
		}
	}
	b.ReportMetric(float64(bytes), "wire_B/request")
}

// capacityReports delivers a new load report of every kept server to the node.
func capacityReports(n *Node, now time.Time) {
	for _, id := range sortedKeys(n.keeper.kept) {
		report := backend.NewReport(id, "a", registry.StateLive, 400_000, 0).WithModels("model-0")
		var held []backend.HeldMemory
		for _, slot := range n.keeper.allocator.Slots(backend.NewOwner("entry-1", 1<<32)) {
			if slot.Server() == id {
				held = append(held, backend.NewHeldMemory(slot.ID(), slot.Cost().Tokens()))
			}
		}
		n.Step(now, LoadReported{report: report.WithHeld(0, held...)})
	}
}

// capacityWarmUp advances time until every kept server is reported, leased and
// warm.
func capacityWarmUp(n *Node, now time.Time) time.Time {
	for id := range n.keeper.kept {
		n.keeper.allocator.InheritWarmth(id, "a", 4)
	}
	for range 200 {
		now = now.Add(capacityTickInterval)
		n.Step(now, Tick{})
		capacityReports(n, now)
	}
	return now
}
