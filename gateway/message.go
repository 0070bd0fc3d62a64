package gateway

import (
	"time"

	"greengagedock.example/dispatch"
	"greengagedock.example/mesh"
	"greengagedock.example/quarantine"
	"greengagedock.example/routing"
)

// maxValueBytes bounds one published value; the store limits it to a megabyte.
const maxValueBytes = 2 << 20

// Messages carry revisions packed into one number: an entry of a version that knows no
// eras accepts no array with another number of fields, and orders content right.

// Kinds of calls between entries.
const (
	callHeartbeat = "beat"
	callItems     = "items"
	callPlacement = "place"
	callEvents    = "events"
	callLearned   = "learned"
)

// memberMessage describes an entry, as reported by itself or by another one.
type memberMessage struct {
	ID            string
	Incarnation   uint64
	Domain        string
	PeerAddress   string
	CallerAddress string
	State         memberState
	// CPUCores is the CPU time that the entry may use, in cores.
	CPUCores float64
	// Heartbeats is the entry's heartbeat counter: its rounds of heartbeats so far.
	Heartbeats uint32
}

// runningMessage is a request that runs on a backend server.
type runningMessage struct {
	ID             string
	Service        string
	Server         string
	PrefillWorkers []string
	PromptTokens   int
	AnswerTokens   int
	TokenInterval  time.Duration
	Started        bool
	Account        string
}

// heartbeatMessage is a heartbeat or the response to one.
type heartbeatMessage struct {
	From     memberMessage
	Revision int64
	// StoreAge is the time since the store last responded to the sender, negative
	// if it never did.
	StoreAge time.Duration
	// Schedules lists the services that the receiver schedules, Running the
	// sender's requests on servers of these services.
	Schedules []string
	Running   []runningMessage
	// Digest is members.digest of the sender. A response may list Members if the
	// digests differ.
	Digest  uint64
	Members []memberMessage
	// Counters holds the encoded heartbeat counters that the sender knows.
	Counters []byte
	// Light is set if the response is to carry neither Counters nor Members.
	Light bool
	// SuspicionsDigest is control.suspicionsDigest of the sender. A response lists
	// Suspicions if the digests differ.
	SuspicionsDigest uint64
	Suspicions       []suspicionMessage
	// NoticesDigest is the digest of the notices that the sender knows. Notices lists
	// the latest ones, and in a response all of them if the digests differ.
	NoticesDigest uint64
	Notices       []noticeMessage
	// KeptDigest is storeCache.keptDigest of the sender. A response lists Kept, what the
	// sender keeps of the past of a restored store, if the digests differ.
	KeptDigest uint64
	// Baseline is the packed storeCache.baseline of the sender.
	Baseline int64
	Kept     []keptMessage
	// RepeatsDigest is the digest of what the sender knows of repeats. A response lists Repeats if the
	// digests differ.
	RepeatsDigest uint64
	Repeats       []repeatMessage
	// Takeover lists services that the sender begins to schedule. The response lists them as
	// Schedules, and in Running what its sender runs on their servers.
	Takeover []string
	// Unreached lists the servers to which the sender has lost the direct way, unless it is cut
	// off from all, and Tunnels is the number of tunnels that it serves.
	Unreached []unreachedMessage
	Tunnels   int
}

// unreachedMessage is a server to which an entry has lost the direct way.
type unreachedMessage struct {
	Server string
	// Age is the time since then.
	Age time.Duration
}

// noticeMessage is what a backend server stated about itself.
type noticeMessage struct {
	Server string
	// Start identifies the server's incarnation, in Unix milliseconds.
	Start   int64
	Leaving bool
	// Age is the time since the server stated it, or was last known to exist.
	Age time.Duration
	// RefusesFor is the time for which the server wants no more requests, and Hops the
	// number of entries that passed it on.
	RefusesFor time.Duration
	Hops       int
	// RateLimit is how many requests a second the server takes from all entries together,
	// noRateLimit if it has stated that there is no limit, and 0 if it has stated nothing.
	// RateLimitAge is the time since then.
	RateLimit    float64
	RateLimitAge time.Duration
}

// noRateLimit stands for a limit that has ended.
const noRateLimit = -1

// suspicionMessage is a suspicion against parts of the prompts of a service.
type suspicionMessage struct {
	Service string
	Parts   []quarantine.Part
	Crashes int
	// FailedProbes is the number of crashes after a quarantine.
	FailedProbes int
	// CrashAge is the time since the last crash. ClearedAge and ProbeAge are those since
	// a request last settled or was let through, negative for never.
	CrashAge   time.Duration
	ClearedAge time.Duration
	ProbeAge   time.Duration
}

// repeatMessage is what the sender knows of a request that may come again.
type repeatMessage struct {
	Fingerprint quarantine.Fingerprint
	Ends        []repeatEndMessage
	Probes      int
	// SettledAge, AskedAge and ProbeAge are the times since the request last settled, was
	// refused or was let through, negative for never.
	SettledAge time.Duration
	AskedAge   time.Duration
	ProbeAge   time.Duration
}

// repeatEndMessage is the end of a server's incarnation under a request.
type repeatEndMessage struct {
	Server string
	// Age is the time since then, and SentAge that since the request was sent to the server.
	Age     time.Duration
	SentAge time.Duration
}

// itemsMessage requests the changes after a revision.
type itemsMessage struct {
	Revision int64
	// Parts is set if the sender takes the items in parts.
	Parts bool
	// After is the key of the last item of the earlier parts of a whole list.
	After string
}

// itemMessage is one item of the store; a long value is in Compressed in place of
// Value.
type itemMessage struct {
	Key        string
	Revision   int64
	Value      []byte
	Compressed []byte
	Removed    bool
}

// encodeItem returns the message of an item, with the compressed value in place of
// the plain one unless it is nil.
func encodeItem(i Item, compressed []byte) itemMessage {
	m := itemMessage{Key: i.key, Revision: i.revision.Packed(), Value: i.value, Compressed: compressed, Removed: i.removed}
	if compressed != nil {
		m.Value = nil
	}
	return m
}

func (m itemMessage) decode() (Item, error) {
	item := Item{key: m.Key, revision: routing.UnpackRevision(m.Revision), value: m.Value, removed: m.Removed}
	if m.Compressed == nil {
		return item, nil
	}
	value, err := mesh.Decompress(m.Compressed, maxValueBytes)
	item.value = []byte(value)
	return item, err
}

// itemsReply is the response to an itemsMessage: all items if Full, else those that
// changed after its revision. Revision is 0 if there is nothing newer.
type itemsReply struct {
	Revision int64
	Full     bool
	// SinceRecovery is the time since the store recovered from an outage, negative if
	// there was none.
	SinceRecovery time.Duration
	Items         []itemMessage
	// Outage is the length of that outage, 0 if it is not known.
	Outage time.Duration
	// LeftOut is set if the sender had no room for some items.
	LeftOut bool
	// More is set if this is only a part: of all items, those that come first in the order of their
	// keys; of changes, those up to Revision.
	More bool
}

// EncodedBytes returns about the length of the encoded reply.
func (r itemsReply) EncodedBytes() int {
	bytes := 0
	for _, item := range r.Items {
		bytes += len(item.Key) + len(item.Value) + len(item.Compressed) + itemMessageBytes
	}
	return bytes
}

// placementMessage requests a placement on a backend server. Times are relative to
// the sending of the message, since clocks differ.
type placementMessage struct {
	Entry         string
	Incarnation   uint64
	ID            string
	Service       string
	Domain        string
	PromptTokens  int
	AnswerTokens  int
	Priority      int
	Age           time.Duration
	ToObjective   time.Duration
	ToDeadline    time.Duration
	ToFirstToken  time.Duration
	TokenInterval time.Duration
	Exclude       []string
	Parts         []quarantine.Part
	Resumed       bool
	Notices       []noticeMessage
	Fingerprint   quarantine.Fingerprint
	Account       string
}

// placementReply is the response to a placementMessage. The request is queued if
// neither Server nor Reason is set.
type placementReply struct {
	Server           string
	Address          string
	PrefillWorkers   []prefillWorkerMessage
	TimeToFirstToken time.Duration
	Waited           time.Duration
	Why              string
	Reason           string
	RetryAfter       time.Duration
}

type prefillWorkerMessage struct {
	Server  string
	Address string
	Tokens  int
}

// eventsMessage reports the progress and the end of placed requests, failures of
// servers, and withdrawn placement requests.
type eventsMessage struct {
	Entry       string
	Incarnation uint64
	Started     []string
	Ended       []endMessage
	Faults      []faultMessage
	Withdrawn   []string
	Notices     []noticeMessage
	// Loads holds the last load that each server has stated since the previous events.
	Loads []loadMessage
}

// loadMessage is the load that a backend server stated in a response.
type loadMessage struct {
	Service string
	Server  string
	Running int
	Waiting int
	// Age is the time since the response arrived.
	Age time.Duration
}

func encodeLoad(now time.Time, service string, load dispatch.ObservedLoad) loadMessage {
	return loadMessage{Service: service, Server: load.Server(), Running: load.Running(), Waiting: load.Waiting(), Age: now.Sub(load.At())}
}

func (m loadMessage) decode(now time.Time) dispatch.ObservedLoad {
	return dispatch.NewObservedLoad(m.Server, m.Running, m.Waiting, now.Add(-max(0, m.Age)))
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

// emptyReply is the response to calls without results.
type emptyReply struct {
}

func encodeRequest(owner dispatch.Owner, r dispatch.Request, now time.Time) placementMessage {
	return placementMessage{
		Entry: owner.Entry(), Incarnation: owner.Incarnation(),
		ID: r.ID(), Service: r.Service(), Domain: r.Domain(), PromptTokens: r.Prompt(), AnswerTokens: r.Answer(), Priority: r.Priority(),
		Age: now.Sub(r.Arrived()), ToObjective: r.Objective().Sub(now), ToDeadline: r.Deadline().Sub(now),
		ToFirstToken: r.FirstTokenDeadline().Sub(now), TokenInterval: r.MaxTokenInterval(), Exclude: r.Exclude(),
		Parts: r.Parts(), Resumed: r.Resumed(), Fingerprint: r.Fingerprint(), Account: r.Account(),
	}
}

func (m placementMessage) decode(now time.Time) (dispatch.Owner, dispatch.Request) {
	return dispatch.NewOwner(m.Entry, m.Incarnation), dispatch.NewRequest(m.ID, m.Service).
		WithDomain(m.Domain).
		WithTokens(m.PromptTokens, m.AnswerTokens).
		WithPriority(m.Priority).
		WithTimes(now.Add(-m.Age), now.Add(m.ToObjective), now.Add(m.ToDeadline)).
		WithFirstTokenDeadline(now.Add(m.ToFirstToken)).
		WithMaxTokenInterval(m.TokenInterval).
		WithExclude(m.Exclude...).
		WithParts(m.Parts...).
		WithResumed(m.Resumed).
		WithFingerprint(m.Fingerprint).
		WithAccount(m.Account)
}

func encodeDecision(d dispatch.Decision) placementReply {
	switch d := d.(type) {
	case dispatch.Granted:
		grant := d.Grant()
		reply := placementReply{
			Server: grant.Server(), Address: grant.Address(),
			TimeToFirstToken: grant.TimeToFirstToken(), Waited: grant.Waited(), Why: grant.Explanation(),
		}
		for _, worker := range grant.PrefillWorkers() {
			reply.PrefillWorkers = append(reply.PrefillWorkers, prefillWorkerMessage{Server: worker.Server(), Address: worker.Address(), Tokens: worker.ReservedTokens()})
		}
		return reply
	case dispatch.Refused:
		return placementReply{Reason: string(d.Reason()), RetryAfter: d.RetryAfter(), Why: d.Explanation()}
	default:
		return placementReply{}
	}
}

func (m placementReply) decode(id string) dispatch.Decision {
	switch {
	case m.Server != "":
		var workers []dispatch.PrefillWorker
		for _, worker := range m.PrefillWorkers {
			workers = append(workers, dispatch.NewPrefillWorker(worker.Server, worker.Address, worker.Tokens))
		}
		return dispatch.NewGranted(dispatch.NewGrant(id, m.Server, m.Address, workers, m.TimeToFirstToken).WithExplanation(m.Waited, m.Why))
	case m.Reason != "":
		return dispatch.NewRefused(id, dispatch.Reason(m.Reason), m.RetryAfter).WithExplanation(m.Why)
	default:
		return dispatch.Queued{}
	}
}

func encodeRunning(r dispatch.RunningRequest) runningMessage {
	return runningMessage{ID: r.ID(), Service: r.Service(), Server: r.Server(), PrefillWorkers: r.PrefillWorkers(), PromptTokens: r.Prompt(), AnswerTokens: r.Answer(), TokenInterval: r.MaxTokenInterval(), Started: r.Started(), Account: r.Account()}
}

func (m runningMessage) decode() dispatch.RunningRequest {
	return dispatch.RestoreRunningRequest(m.ID, m.Service, m.Server, m.PrefillWorkers, m.PromptTokens, m.AnswerTokens, m.TokenInterval, m.Started).WithAccount(m.Account)
}
