package registry

import "time"

// Document is the service document that a team owns: the client accounts that
// may call, the models or calls that the service offers and the capacity of its
// backend servers.
type Document struct {
	service        string
	team           string
	version        int64
	priority       int
	accounts       []Account
	models         []Model
	calls          []Call
	serverCapacity ServerCapacity
}

// Service returns the service's name.
func (d *Document) Service() string { return d.service }

// Team returns the name of the team that owns the document.
func (d *Document) Team() string { return d.team }

// Version returns the document's version; a rollback is a higher version with old content.
func (d *Document) Version() int64 { return d.version }

// Priority returns the service's priority when capacity is short; a higher one goes first.
func (d *Document) Priority() int { return d.priority }

// Accounts returns the client accounts that may call the service.
func (d *Document) Accounts() []Account { return d.accounts }

// Models returns the models that the service offers, none for a plain service.
func (d *Document) Models() []Model { return d.models }

// Calls returns the calls of a plain service, none for a model service.
func (d *Document) Calls() []Call { return d.calls }

// ServerCapacity returns the capacity of the service's backend servers.
func (d *Document) ServerCapacity() ServerCapacity { return d.serverCapacity }

// Account is a client account that may call a service.
type Account struct {
	name            string
	keyHash         [32]byte
	share           int
	requests        int
	tokensPerSecond int
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// KeyHash returns the SHA-256 hash of the account's key.
func (a Account) KeyHash() [32]byte { return a.keyHash }

// Share returns the account's weight when accounts compete for capacity.
func (a Account) Share() int { return a.share }

// Requests returns the largest number of the account's concurrent requests at one entry, 0 for no limit.
func (a Account) Requests() int { return a.requests }

// TokensPerSecond returns the account's rate limit of prompt and answer tokens at
// one entry, 0 for no limit.
func (a Account) TokensPerSecond() int { return a.tokensPerSecond }

// Model is a model that a service offers.
type Model struct {
	name         string
	promptTokens int
	answerTokens int
	deadline     time.Duration
}

// Name returns the model's name.
func (m Model) Name() string { return m.name }

// PromptTokens returns the longest prompt in tokens.
func (m Model) PromptTokens() int { return m.promptTokens }

// AnswerTokens returns the longest answer in tokens.
func (m Model) AnswerTokens() int { return m.answerTokens }

// Deadline returns how long a request may take when its caller sets no deadline.
func (m Model) Deadline() time.Duration { return m.deadline }

// Call is one call of a plain service.
type Call struct {
	method     string
	path       string
	repeatable bool
	deadline   time.Duration
}

// Method returns the call's HTTP method.
func (c Call) Method() string { return c.method }

// Path returns the call's path below the service.
func (c Call) Path() string { return c.path }

// Repeatable reports whether the call is idempotent, so that it may be retried.
func (c Call) Repeatable() bool { return c.repeatable }

// Deadline returns how long the call may take when its caller sets no deadline.
func (c Call) Deadline() time.Duration { return c.deadline }

// Capacity is the load that one backend server can take concurrently.
type Capacity struct {
	requests int
	tokens   int
}

// Requests returns the number of concurrent requests.
func (b Capacity) Requests() int { return b.requests }

// Tokens returns the KV memory in tokens, 0 for a plain service.
func (b Capacity) Tokens() int { return b.tokens }

// ServerCapacity is the capacity of a service's backend servers, which may be lower
// while they are cold.
type ServerCapacity struct {
	cold      Capacity
	warm      Capacity
	warmAfter int
}

// Cold returns the capacity of a freshly started server.
func (s ServerCapacity) Cold() Capacity { return s.cold }

// Warm returns the capacity of a warm server.
func (s ServerCapacity) Warm() Capacity { return s.warm }

// WarmAfter returns the number of complete responses after which a server is warm.
func (s ServerCapacity) WarmAfter() int { return s.warmAfter }
