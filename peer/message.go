package peer

import (
	"compress/flate"
	"slices"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/mesh"
	"greengagedock.example/registry"
)

// The kinds of message; short, for they stand in every frame.
const (
	kindHello     messageKind = "hi"
	kindHeartbeat messageKind = "hb"
	kindAsk       messageKind = "ask"
	kindReply     messageKind = "rep"
	kindWithdraw  messageKind = "wd"
	kindRelease   messageKind = "rel"
	kindHold      messageKind = "hold"
	kindClaims    messageKind = "clm"
	kindPull      messageKind = "pull"
	kindItems     messageKind = "item"
)

// newMessage returns an empty message of a kind, nil for an unknown one.
func newMessage(kind messageKind) message {
	switch kind {
	case kindHello:
		return new(hello)
	case kindHeartbeat:
		return new(heartbeat)
	case kindAsk:
		return new(ask)
	case kindReply:
		return new(reply)
	case kindWithdraw:
		return new(withdraw)
	case kindRelease:
		return new(release)
	case kindHold:
		return new(hold)
	case kindClaims:
		return new(claims)
	case kindPull:
		return new(pull)
	case kindItems:
		return new(items)
	default:
		return nil
	}
}

// protocolVersion is the version of the messages between entries.
const protocolVersion = 1

// hello opens each connection and names its sender for all that follows.
type hello struct {
	Protocol    int
	Region      string
	Entry       string
	Incarnation uint64
}

// heartbeat says what its sender knows and vouches for; see docs/DESIGN.md.
type heartbeat struct {
	Seq     uint64
	Clock   int64 // nanoseconds since the sender started
	AckSeq  uint64
	List    int64
	Lowest  int64 // list version when the sender was established, 0 before
	Floor   int64 // every older list below this version is closed
	Digest  uint64
	Streams int
	Drains  bool
	Ends    bool // nothing more will be heard of this incarnation
	Synced  bool
	Contact int64 // milliseconds since the sender last heard the platform, -1 for never
	Silent  []string
	Loads   []workLoad
	Warm    []warmMark
	Lists   uint64      // digest of the lists that the sender knows from its floor on
	Control string      // only to a peer that may not list the sender
	Known   []knownList // only while the lists known differ
}

// knownList is a version of the entry list that the sender has or had.
type knownList struct {
	Version int64
	Members []knownMember
}

// knownMember is an entry with the IP and port on which it hears its peers.
type knownMember struct {
	Entry   string
	Control string
}

// workLoad is what a keeper says it has free for one work.
type workLoad struct {
	Service      string
	Model        string
	FreeRequests int
	FreeTokens   int
	Largest      int
	Queued       int
	Waits        []int64 // milliseconds by class, shortest prompts first
}

// warmMark says how far an incarnation of a kept server is warm.
type warmMark struct {
	Server      string
	Incarnation string
	Step        int
}

// ask asks a keeper for a slot.
type ask struct {
	ID       string
	Account  string
	Service  string
	Model    string
	Prompt   int
	Answer   int
	TimeLeft int64 // milliseconds
	Prefix   uint64
	Priority int
	Share    int
	Avoid    []string
}

// reply answers an ask; Clock is the keeper's when it decided.
type reply struct {
	ID          string
	State       replyState
	Clock       int64
	Server      string
	Incarnation string
	StartWithin int64 // milliseconds from Clock
	Reason      string
	ComeBack    int64 // milliseconds
	Wait        int64 // milliseconds
}

// replyState says what became of an ask.
type replyState string

// The states of an ask.
const (
	replyGranted replyState = "granted"
	replyQueued  replyState = "queued"
	replyDenied  replyState = "denied"
)

// withdraw takes an ask back.
type withdraw struct {
	ID string
}

// release gives a slot back to the keeper of its server.
type release struct {
	ID      string
	Server  string
	Outcome string
}

// hold declares all slots that the sender holds on servers that the receiver
// keeps, and the wants that it waits for.
type hold struct {
	Slots   []heldSlot
	Waiting []string
}

// claims asks for a hold: the sender has begun to keep servers, of which its
// books know nothing.
type claims struct{}

// heldSlot is one slot that its owner still uses.
type heldSlot struct {
	ID          string
	Server      string
	Incarnation string
	Prompt      int
	Answer      int
	TimeLeft    int64 // milliseconds
}

// pull names the versions that the sender has and asks for all newer ones.
type pull struct {
	Versions map[string]int64
}

// items answers a pull, empty if the sender has nothing newer.
type items struct {
	Items []publishedItem
}

// publishedItem is one published value with its version; a long value is packed.
type publishedItem struct {
	Key     string
	Version int64
	Value   string
	Packed  []byte
}

func (*hello) kind() messageKind     { return kindHello }
func (*heartbeat) kind() messageKind { return kindHeartbeat }
func (*ask) kind() messageKind       { return kindAsk }
func (*reply) kind() messageKind     { return kindReply }
func (*withdraw) kind() messageKind  { return kindWithdraw }
func (*release) kind() messageKind   { return kindRelease }
func (*hold) kind() messageKind      { return kindHold }
func (*claims) kind() messageKind    { return kindClaims }
func (*pull) kind() messageKind      { return kindPull }
func (*items) kind() messageKind     { return kindItems }

// newAsk returns the message for a want; its deadline travels as time left.
func newAsk(now time.Time, w backend.SlotRequest) *ask {
	return &ask{
		ID: w.ID(), Account: w.Account(),
		Service: w.Workload().Service(), Model: w.Workload().Model(),
		Prompt: w.Cost().Prompt(), Answer: w.Cost().Answer(),
		TimeLeft: w.Deadline().Sub(now).Milliseconds(),
		Prefix:   w.Prefix(), Priority: w.Priority(), Share: w.Share(), Avoid: w.Avoid(),
	}
}

// want returns the want that an ask of an owner states.
func (a *ask) want(now time.Time, owner backend.Owner) backend.SlotRequest {
	deadline := now.Add(time.Duration(a.TimeLeft) * time.Millisecond)
	work := backend.NewWorkload(a.Service, a.Model)
	cost := backend.NewCost(a.Prompt, a.Answer)
	w := backend.NewSlotRequest(a.ID, owner, a.Account, work, cost, deadline)
	return w.WithPrefix(a.Prefix).WithPriority(a.Priority).WithShare(a.Share).Avoiding(a.Avoid...)
}

// newItems returns the message that carries published items.
func newItems(published []registry.Item) *items {
	m := new(items)
	for _, item := range published {
		sent := publishedItem{Key: item.Key(), Version: item.Version(), Packed: mesh.Compress(item.Value(), flate.BestCompression)}
		if sent.Packed == nil {
			sent.Value = item.Value()
		}
		m.Items = append(m.Items, sent)
	}
	return m
}

// published returns the items that the message carries; one that can't be
// unpacked is left out, and asked for again while the digests differ.
func (m *items) published() []registry.Item {
	out := make([]registry.Item, 0, len(m.Items))
	for _, item := range m.Items {
		value := item.Value
		if item.Packed != nil {
			unpacked, err := mesh.Decompress(item.Packed, maxFrameBytes)
			if err != nil {
				continue
			}
			value = unpacked
		}
		out = append(out, registry.NewItem(item.Key, item.Version, value))
	}
	return out
}

// remove takes a slot out of the declaration.
func (h *hold) remove(id string) {
	h.Slots = slices.DeleteFunc(h.Slots, func(s heldSlot) bool { return s.ID == id })
}
