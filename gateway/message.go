package gateway

import (
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/mesh"
)

// maxValueBytes bounds one published value (the store holds up to a megabyte).
const maxValueBytes = 2 << 20

// The kinds of calls between entries.
const (
	callBeat   = "beat"
	callItems  = "items"
	callPlace  = "place"
	callEvents = "events"
)

// memberMessage is an entry as it tells of itself, or another tells of it.
type memberMessage struct {
	ID          string
	Incarnation uint64
	Domain      string
	Peers       string
	Callers     string
	State       memberState
	// Processor is the part of a processor that the entry may use, in cores.
	Processor float64
	// Beats counts the entry's rounds of heartbeats.
	Beats uint32
}

// holdMessage is a request on a backend server.
type holdMessage struct {
	ID      string
	Service string
	Server  string
	Helpers []string
	Prompt  int
	Answer  int
	Pause   time.Duration
	Started bool
}

// beatMessage is a heartbeat, and the answer to one.
type beatMessage struct {
	From     memberMessage
	Revision int64
	// StoreAge is how long ago the store last answered the sender, negative if never.
	StoreAge time.Duration
	// Places lists the services that the receiver places, and Holds the
	// sender's requests on their servers.
	Places []string
	Holds  []holdMessage
	// Known is a digest of the entries that the sender knows; Others lists
	// them if the receiver's digest differs.
	Known  uint64
	Others []memberMessage
	// Pulses tells of the entries that the sender heard of.
	Pulses []byte
}

// itemsMessage asks for the items if the receiver's revision is above the one stated.
type itemsMessage struct {
	Revision int64
}

// itemMessage is one item of the store.
type itemMessage struct {
	Key      string
	Revision int64
	Value    []byte
	Packed   []byte
	Removed  bool
}

// encodeItem returns the message of an item, with its value packed if that is not nil.
func encodeItem(i Item, packed []byte) itemMessage {
	m := itemMessage{Key: i.key, Revision: i.revision, Value: i.value, Packed: packed, Removed: i.removed}
	if packed != nil {
		m.Value = nil
	}
	return m
}

func (m itemMessage) decode() (Item, error) {
	item := Item{key: m.Key, revision: m.Revision, value: m.Value, removed: m.Removed}
	if m.Packed == nil {
		return item, nil
	}
	value, err := mesh.Decompress(m.Packed, maxValueBytes)
	item.value = []byte(value)
	return item, err
}

// itemsReply holds what is newer than the revision asked about: all items if
// Whole, else those that changed. A revision of 0 tells that nothing is.
type itemsReply struct {
	Revision int64
	Whole    bool
	// Regained is how long ago the store came back after an outage, negative if there was none.
	Regained time.Duration
	Items    []itemMessage
}

// placeMessage asks for a place on a backend server. Times count from the
// sending, since clocks differ.
type placeMessage struct {
	Entry       string
	Incarnation uint64
	ID          string
	Service     string
	Domain      string
	Prompt      int
	Answer      int
	Rank        int
	Age         time.Duration
	ToObjective time.Duration
	ToDeadline  time.Duration
	ToFirst     time.Duration
	Pause       time.Duration
	Exclude     []string
}

// placeReply answers a placeMessage; neither Server nor Reason tells that the want waits.
type placeReply struct {
	Server   string
	Address  string
	Helpers  []helperMessage
	First    time.Duration
	Waited   time.Duration
	Why      string
	Reason   string
	ComeBack time.Duration
}

type helperMessage struct {
	Server  string
	Address string
	Tokens  int
}

// eventsMessage tells what became of places.
type eventsMessage struct {
	Entry       string
	Incarnation uint64
	Started     []string
	Ended       []endMessage
	Faults      []faultMessage
	Withdrawn   []string
}

type endMessage struct {
	ID      string
	Outcome dispatch.Outcome
}

type faultMessage struct {
	Service string
	Address string
	Outcome dispatch.Outcome
}

// emptyReply answers calls that need no answer.
type emptyReply struct {
}

func encodeWant(owner dispatch.Owner, w dispatch.Request, now time.Time) placeMessage {
	return placeMessage{
		Entry: owner.Entry(), Incarnation: owner.Incarnation(),
		ID: w.ID(), Service: w.Service(), Domain: w.Domain(), Prompt: w.Prompt(), Answer: w.Answer(), Rank: w.Priority(),
		Age: now.Sub(w.Arrived()), ToObjective: w.Objective().Sub(now), ToDeadline: w.Deadline().Sub(now),
		ToFirst: w.FirstTokenDeadline().Sub(now), Pause: w.MaxTokenInterval(), Exclude: w.Exclude(),
	}
}

func (m placeMessage) decode(now time.Time) (dispatch.Owner, dispatch.Request) {
	return dispatch.NewOwner(m.Entry, m.Incarnation), dispatch.NewRequest(m.ID, m.Service).
		WithDomain(m.Domain).
		WithTokens(m.Prompt, m.Answer).
		WithPriority(m.Rank).
		WithTimes(now.Add(-m.Age), now.Add(m.ToObjective), now.Add(m.ToDeadline)).
		WithFirstTokenDeadline(now.Add(m.ToFirst)).
		WithMaxTokenInterval(m.Pause).
		WithExclude(m.Exclude...)
}

func encodeDecision(d dispatch.Decision) placeReply {
	switch d := d.(type) {
	case dispatch.Granted:
		grant := d.Grant()
		reply := placeReply{
			Server: grant.Server(), Address: grant.Address(),
			First: grant.TimeToFirstToken(), Waited: grant.Waited(), Why: grant.Explanation(),
		}
		for _, h := range grant.PrefillWorkers() {
			reply.Helpers = append(reply.Helpers, helperMessage{Server: h.Server(), Address: h.Address(), Tokens: h.ReservedTokens()})
		}
		return reply
	case dispatch.Refused:
		return placeReply{Reason: string(d.Reason()), ComeBack: d.RetryAfter()}
	default:
		return placeReply{}
	}
}

func (m placeReply) decode(id string) dispatch.Decision {
	switch {
	case m.Server != "":
		var helpers []dispatch.PrefillWorker
		for _, h := range m.Helpers {
			helpers = append(helpers, dispatch.NewPrefillWorker(h.Server, h.Address, h.Tokens))
		}
		return dispatch.NewGranted(dispatch.NewGrant(id, m.Server, m.Address, helpers, m.First).WithExplanation(m.Waited, m.Why))
	case m.Reason != "":
		return dispatch.NewRefused(id, dispatch.Reason(m.Reason), m.ComeBack)
	default:
		return dispatch.Queued{}
	}
}

func encodeHold(h dispatch.RunningRequest) holdMessage {
	return holdMessage{ID: h.ID(), Service: h.Service(), Server: h.Server(), Helpers: h.PrefillWorkers(), Prompt: h.Prompt(), Answer: h.Answer(), Pause: h.MaxTokenInterval(), Started: h.Started()}
}

func (m holdMessage) decode() dispatch.RunningRequest {
	return dispatch.RestoreRunningRequest(m.ID, m.Service, m.Server, m.Helpers, m.Prompt, m.Answer, m.Pause, m.Started)
}
