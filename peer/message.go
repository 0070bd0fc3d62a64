package peer

import (
	"compress/flate"
	"slices"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// The kinds of message. They are short because every frame carries one.
const (
	kindHello           messageKind = "hi"
	kindHeartbeat       messageKind = "hb"
	kindSlotRequest     messageKind = "ask"
	kindSlotReply       messageKind = "rep"
	kindWithdraw        messageKind = "wd"
	kindRelease         messageKind = "rel"
	kindSlotDeclaration messageKind = "hold"
	kindPull            messageKind = "pull"
	kindItems           messageKind = "item"
	kindRepeats         messageKind = "rpt"
	kindTunnel          messageKind = "tun"
)

// newMessage returns an empty message of a kind, nil for an unknown one.
func newMessage(kind messageKind) message {
	switch kind {
	case kindHello:
		return new(hello)
	case kindHeartbeat:
		return new(heartbeat)
	case kindSlotRequest:
		return new(slotRequest)
	case kindSlotReply:
		return new(slotReply)
	case kindWithdraw:
		return new(withdraw)
	case kindRelease:
		return new(release)
	case kindSlotDeclaration:
		return new(slotDeclaration)
	case kindPull:
		return new(pull)
	case kindItems:
		return new(items)
	case kindRepeats:
		return new(repeats)
	case kindTunnel:
		return new(tunnel)
	default:
		return nil
	}
}

// protocolVersion is the version of the protocol between entries. Any other one is refused by
// the first version, so what changes is stated in hello.Understands in place of it.
const protocolVersion = 1

// originalKinds lists the kinds that every version understands, and laterKinds the others,
// which are sent only to entries that state them.
var (
	originalKinds = []messageKind{
		kindHello, kindHeartbeat, kindSlotRequest, kindSlotReply, kindWithdraw, kindRelease,
		kindSlotDeclaration, kindPull, kindItems, kindRepeats, kindTunnel,
	}
	laterKinds []messageKind
)

// hello opens each connection and names the sender of all messages that follow.
type hello struct {
	Protocol    int
	Region      string
	Entry       string
	Incarnation uint64
	// Understands lists the kinds of messages that the sender understands.
	Understands []messageKind
}

// tunnel opens a connection on which a tunnel of package mesh is called for, in place of
// hello.
type tunnel struct {
	Protocol int
	Region   string
}

// heartbeat reports the state of its sender and confirms its list version; see
// docs/DESIGN.md.
type heartbeat struct {
	Seq                uint64
	Clock              int64 // nanoseconds since the sender started
	AckSeq             uint64
	ListVersion        int64
	EstablishedVersion int64 // list version when the sender was established, 0 before
	RetiredBelow       int64 // every list below this version is retired
	ItemsDigest        uint64
	OpenRequests       int
	Draining           bool
	Stopping           bool // the last heartbeat of this incarnation
	Synced             bool
	PlatformAgeMs      int64 // since the sender last read the platform, -1 for never
	SilentEntries      []string
	FreeCapacities     []freeCapacity
	Warmth             []serverWarmth
	ListsDigest        uint64      // digest of the versions of the lists that the sender knows
	ControlAddress     string      // sent only to a peer that may not list the sender
	KnownLists         []knownList // sent only while the known lists differ
}

// knownList is a version of the entry list that is or was active at the sender.
type knownList struct {
	Version int64
	Members []knownMember
}

// knownMember is an entry of a list, and the IP and port on which it listens
// for peers.
type knownMember struct {
	Entry          string
	ControlAddress string
}

// freeCapacity is what a keeper's servers have free for one workload.
type freeCapacity struct {
	Service           string
	Model             string
	FreeRequests      int
	FreeTokens        int
	LargestFreeTokens int
	QueuedTokens      int
	ExpectedWaitsMs   []int64 // by size class, shortest prompts first
}

// serverWarmth is the warm-up step that an incarnation of a kept server has
// reached.
type serverWarmth struct {
	Server      string
	Incarnation string
	WarmthStep  int
}

// slotRequest asks a keeper for a slot.
type slotRequest struct {
	ID           string
	Account      string
	Service      string
	Model        string
	PromptTokens int
	AnswerTokens int
	TimeLeftMs   int64
	PrefixHash   uint64
	Priority     int
	Share        int
	Avoid        []string
}

// slotReply answers a slotRequest.
type slotReply struct {
	ID             string
	State          replyState
	KeeperClock    int64 // nanoseconds since the keeper started, at its decision
	Server         string
	Incarnation    string
	StartWithinMs  int64 // from KeeperClock
	Reason         string
	RetryAfterMs   int64
	ExpectedWaitMs int64
}

// replyState is the state of a slot request at its keeper.
type replyState string

// The states of a slot request.
const (
	replyGranted replyState = "granted"
	replyQueued  replyState = "queued"
	replyDenied  replyState = "denied"
)

// withdraw cancels a slotRequest.
type withdraw struct {
	ID string
}

// release returns a slot to the keeper of its server.
type release struct {
	ID      string
	Server  string
	Outcome string
	// RefusesForMs is the time for which the server wants no more requests, 0 if it stated none.
	RefusesForMs int64
}

// slotDeclaration lists all slots that the sender holds on servers that the
// receiver keeps, and the sender's pending requests.
type slotDeclaration struct {
	Slots   []declaredSlot
	Pending []string
}

// declaredSlot is one slot that its owner holds.
type declaredSlot struct {
	ID           string
	Server       string
	Incarnation  string
	PromptTokens int
	AnswerTokens int
	TimeLeftMs   int64
}

// pull requests the published items that are newer than the sender's versions.
type pull struct {
	Versions map[string]int64
}

// items answers a pull; it is empty if there is nothing newer.
type items struct {
	Items []publishedItem
}

// publishedItem is one published value with its version. A long value is
// compressed.
type publishedItem struct {
	Key        string
	Version    int64
	Value      string
	Compressed []byte
}

// repeats is what the sender knows of requests that may come again and of the servers that
// ended under them.
type repeats struct {
	Known []knownRepeat
}

// knownRepeat is one such request. Ages are negative for what never happened.
type knownRepeat struct {
	Fingerprint  []byte
	Servers      []string // incarnations that ended
	EndAgesMs    []int64
	SentAgesMs   []int64
	SettledAgeMs int64
	AskedAgeMs   int64
	Probes       int
	ProbeAgeMs   int64
}

func (*hello) kind() messageKind           { return kindHello }
func (*tunnel) kind() messageKind          { return kindTunnel }
func (*heartbeat) kind() messageKind       { return kindHeartbeat }
func (*slotRequest) kind() messageKind     { return kindSlotRequest }
func (*slotReply) kind() messageKind       { return kindSlotReply }
func (*withdraw) kind() messageKind        { return kindWithdraw }
func (*release) kind() messageKind         { return kindRelease }
func (*slotDeclaration) kind() messageKind { return kindSlotDeclaration }
func (*pull) kind() messageKind            { return kindPull }
func (*items) kind() messageKind           { return kindItems }
func (*repeats) kind() messageKind         { return kindRepeats }

// newSlotRequest returns the message for a slot request. The deadline is sent
// as the time left.
func newSlotRequest(now time.Time, w backend.SlotRequest) *slotRequest {
	return &slotRequest{
		ID: w.ID(), Account: w.Account(),
		Service: w.Workload().Service(), Model: w.Workload().Model(),
		PromptTokens: w.Cost().Prompt(), AnswerTokens: w.Cost().Answer(),
		TimeLeftMs: w.Deadline().Sub(now).Milliseconds(),
		PrefixHash: w.Prefix(), Priority: w.Priority(), Share: w.Share(), Avoid: w.Avoid(),
	}
}

// request returns the slot request of an owner.
func (r *slotRequest) request(now time.Time, owner backend.Owner) backend.SlotRequest {
	deadline := now.Add(time.Duration(r.TimeLeftMs) * time.Millisecond)
	workload := backend.NewWorkload(r.Service, r.Model)
	cost := backend.NewCost(r.PromptTokens, r.AnswerTokens)
	w := backend.NewSlotRequest(r.ID, owner, r.Account, workload, cost, deadline)
	return w.WithPrefix(r.PrefixHash).WithPriority(r.Priority).WithShare(r.Share).Avoiding(r.Avoid...)
}

// newItems returns the message that carries published items.
func newItems(published []registry.Item) *items {
	m := new(items)
	for _, item := range published {
		sent := publishedItem{Key: item.Key(), Version: item.Version(), Compressed: mesh.Compress(item.Value(), flate.BestCompression)}
		if sent.Compressed == nil {
			sent.Value = item.Value()
		}
		m.Items = append(m.Items, sent)
	}
	return m
}

// published returns the items that the message carries. It leaves out an item
// that can't be decompressed; the item is pulled again while the digests
// differ.
func (m *items) published() []registry.Item {
	out := make([]registry.Item, 0, len(m.Items))
	for _, item := range m.Items {
		value := item.Value
		if item.Compressed != nil {
			unpacked, err := mesh.Decompress(item.Compressed, maxFrameBytes)
			if err != nil {
				continue
			}
			value = unpacked
		}
		out = append(out, registry.NewItem(item.Key, item.Version, value))
	}
	return out
}

// removeSlot removes a slot from the declaration.
func (d *slotDeclaration) removeSlot(id string) {
	d.Slots = slices.DeleteFunc(d.Slots, func(s declaredSlot) bool { return s.ID == id })
}
