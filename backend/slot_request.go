package backend

import (
	"time"

	"greengagedock.example/quarantine"
)

// Workload is what a request is for: a model of a service, or a plain service
// if the model is empty.
type Workload struct {
	service string
	model   string
}

// NewWorkload returns the workload of a service's model; the model is empty
// for a plain service.
func NewWorkload(service, model string) Workload { return Workload{service: service, model: model} }

// Service returns the service's name.
func (w Workload) Service() string { return w.service }

// Model returns the model's name, empty for a plain service.
func (w Workload) Model() string { return w.model }

// Class is the size class of a prompt. Classes are queued apart, so that
// short prompts don't wait behind long ones.
type Class string

// Size classes of prompts.
const (
	ClassShort  Class = "short"
	ClassMedium Class = "medium"
	ClassLong   Class = "long"
)

// classes lists the classes in the order in which they are served.
var classes = [...]Class{ClassShort, ClassMedium, ClassLong}

func (c Class) index() int {
	switch c {
	case ClassShort:
		return 0
	case ClassMedium:
		return 1
	default:
		return 2
	}
}

// Upper bounds of the classes, in prompt tokens.
const (
	shortPromptTokens  = 4_000
	mediumPromptTokens = 32_000
)

// Cost is the prompt and answer length of a request, in tokens.
type Cost struct {
	prompt int
	answer int
}

// NewCost returns the cost of a prompt and the longest answer it allows, in
// tokens.
func NewCost(promptTokens, answerTokens int) Cost {
	return Cost{prompt: promptTokens, answer: answerTokens}
}

// Prompt returns the prompt's length in tokens.
func (c Cost) Prompt() int { return c.prompt }

// Answer returns the longest answer's length in tokens.
func (c Cost) Answer() int { return c.answer }

// Tokens returns the KV memory that the request needs, in tokens.
func (c Cost) Tokens() int { return c.prompt + c.answer }

// Class returns the class of the prompt's length.
func (c Cost) Class() Class {
	switch {
	case c.prompt <= shortPromptTokens:
		return ClassShort
	case c.prompt <= mediumPromptTokens:
		return ClassMedium
	default:
		return ClassLong
	}
}

// Owner is an entry incarnation that holds slots and streams; a restarted
// entry is another owner.
type Owner struct {
	entry       string
	incarnation uint64
}

// NewOwner returns the owner for an entry's incarnation.
func NewOwner(entry string, incarnation uint64) Owner {
	return Owner{entry: entry, incarnation: incarnation}
}

// Entry returns the entry's published name.
func (o Owner) Entry() string { return o.entry }

// Incarnation returns the number that the entry drew when it started.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// SlotRequest asks for a slot on some backend server for one attempt.
type SlotRequest struct {
	id       string
	owner    Owner
	account  string
	workload Workload
	cost     Cost
	deadline time.Time
	prefix   uint64
	priority int
	share    int
	avoid    []string
	// fingerprint identifies the request whose attempt this is.
	fingerprint quarantine.Fingerprint
}

// NewSlotRequest returns a request for a slot; the attempt id must be unique.
func NewSlotRequest(id string, owner Owner, account string, workload Workload, cost Cost, deadline time.Time) SlotRequest {
	return SlotRequest{id: id, owner: owner, account: account, workload: workload, cost: cost, deadline: deadline}
}

// WithPrefix returns the request with the hash of its prompt's prefix;
// servers that cache the prefix are preferred. 0 means none.
func (r SlotRequest) WithPrefix(hash uint64) SlotRequest {
	r.prefix = hash
	return r
}

// WithPriority returns the request with a priority, from its document; higher
// ones go first.
func (r SlotRequest) WithPriority(priority int) SlotRequest {
	r.priority = priority
	return r
}

// WithShare returns the request with its account's weight among competing
// accounts; less than 1 counts as 1.
func (r SlotRequest) WithShare(share int) SlotRequest {
	r.share = share
	return r
}

// WithFingerprint returns the request with what identifies the caller's request if it comes
// again.
func (r SlotRequest) WithFingerprint(fingerprint quarantine.Fingerprint) SlotRequest {
	r.fingerprint = fingerprint
	return r
}

// Avoiding returns the request with the ids of servers that have failed it
// already.
func (r SlotRequest) Avoiding(servers ...string) SlotRequest {
	r.avoid = append(r.avoid[:len(r.avoid):len(r.avoid)], servers...)
	return r
}

// Fingerprint returns what identifies the caller's request if it comes again.
func (r SlotRequest) Fingerprint() quarantine.Fingerprint { return r.fingerprint }

// ID returns the attempt's id.
func (r SlotRequest) ID() string { return r.id }

// Owner returns the entry incarnation that asks.
func (r SlotRequest) Owner() Owner { return r.owner }

// Account returns the client account's name.
func (r SlotRequest) Account() string { return r.account }

// Workload returns the service and model asked for.
func (r SlotRequest) Workload() Workload { return r.workload }

// Cost returns the attempt's cost.
func (r SlotRequest) Cost() Cost { return r.cost }

// Deadline returns the time by which the answer must be complete.
func (r SlotRequest) Deadline() time.Time { return r.deadline }

// Prefix returns the hash of the prompt's prefix, 0 for none.
func (r SlotRequest) Prefix() uint64 { return r.prefix }

// Priority returns the priority of the request's document.
func (r SlotRequest) Priority() int { return r.priority }

// Share returns the account's weight, at least 1.
func (r SlotRequest) Share() int { return max(r.share, 1) }

// Avoid returns the ids of servers that have failed the request already.
func (r SlotRequest) Avoid() []string { return r.avoid }
