package backend

import "time"

// Workload is what a request asks for: a model of a service, or a plain service
// where the model is empty.
type Workload struct {
	service string
	model   string
}

// NewWorkload returns the work of a service's model.
func NewWorkload(service, model string) Workload { return Workload{service: service, model: model} }

// Service returns the service's name.
func (w Workload) Service() string { return w.service }

// Model returns the model's name, empty for a plain service.
func (w Workload) Model() string { return w.model }

// Class groups prompts by length, so that short ones need not wait behind long ones.
type Class string

// The classes of prompts.
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

// Bounds of the classes, in prompt tokens.
const (
	shortPromptTokens  = 4_000
	mediumPromptTokens = 32_000
)

// Cost is what a request takes of a backend server, in tokens.
type Cost struct {
	prompt int
	answer int
}

// NewCost returns the cost of a prompt and the longest answer it allows, in tokens.
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

// Owner is the entry incarnation that holds a slot or a stream; a restarted
// entry is another owner.
type Owner struct {
	entry       string
	incarnation uint64
}

// NewOwner returns the owner that an entry's incarnation is.
func NewOwner(entry string, incarnation uint64) Owner {
	return Owner{entry: entry, incarnation: incarnation}
}

// Entry returns the entry's published name.
func (o Owner) Entry() string { return o.entry }

// Incarnation returns the number that the entry drew when it started.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// SlotRequest is one attempt's need of a slot on some backend server.
type SlotRequest struct {
	id       string
	owner    Owner
	account  string
	work     Workload
	cost     Cost
	deadline time.Time
	prefix   uint64
	priority int
	share    int
	avoid    []string
}

// NewSlotRequest returns the want of an attempt whose id no other attempt has.
func NewSlotRequest(id string, owner Owner, account string, work Workload, cost Cost, deadline time.Time) SlotRequest {
	return SlotRequest{id: id, owner: owner, account: account, work: work, cost: cost, deadline: deadline}
}

// WithPrefix returns the want with the hash of its prompt's beginning, by
// which servers that cache the prefix are preferred; 0 means none.
func (w SlotRequest) WithPrefix(hash uint64) SlotRequest {
	w.prefix = hash
	return w
}

// WithPriority returns the want with its document's priority; a higher one goes first.
func (w SlotRequest) WithPriority(priority int) SlotRequest {
	w.priority = priority
	return w
}

// WithShare returns the want with its account's weight among accounts that
// compete; less than 1 counts as 1.
func (w SlotRequest) WithShare(share int) SlotRequest {
	w.share = share
	return w
}

// Avoiding returns the want with the ids of servers that failed it already.
func (w SlotRequest) Avoiding(servers ...string) SlotRequest {
	w.avoid = append(w.avoid[:len(w.avoid):len(w.avoid)], servers...)
	return w
}

// ID returns the attempt's id.
func (w SlotRequest) ID() string { return w.id }

// Owner returns the entry incarnation that asks.
func (w SlotRequest) Owner() Owner { return w.owner }

// Account returns the client account's name.
func (w SlotRequest) Account() string { return w.account }

// Workload returns the service and model asked for.
func (w SlotRequest) Workload() Workload { return w.work }

// Cost returns what the attempt takes of a server.
func (w SlotRequest) Cost() Cost { return w.cost }

// Deadline returns when the answer must have ended.
func (w SlotRequest) Deadline() time.Time { return w.deadline }

// Prefix returns the hash of the prompt's beginning, 0 for none.
func (w SlotRequest) Prefix() uint64 { return w.prefix }

// Priority returns the priority of the want's document.
func (w SlotRequest) Priority() int { return w.priority }

// Share returns the account's weight, at least 1.
func (w SlotRequest) Share() int { return max(w.share, 1) }

// Avoid returns the ids of servers that failed the request already.
func (w SlotRequest) Avoid() []string { return w.avoid }
