package caller

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"greengagedock.example/registry"
)

// identity is the client account that a key belongs to.
type identity struct {
	name     string
	accesses []access
}

// access is an account's leave to call one service.
type access struct {
	document *registry.Document
	account  registry.Account
}

// model returns the first service of the account that has the model.
func (i *identity) model(name string) (access, registry.Model, bool) {
	for _, a := range i.accesses {
		for _, m := range a.document.Models() {
			if m.Name() == name {
				return a, m, true
			}
		}
	}
	return access{}, registry.Model{}, false
}

func (i *identity) service(name string) (access, bool) {
	for _, a := range i.accesses {
		if a.document.Service() == name {
			return a, true
		}
	}
	return access{}, false
}

// longestPrompt returns the longest prompt in tokens of the account's models.
func (i *identity) longestPrompt() int {
	longest := 0
	for _, a := range i.accesses {
		for _, m := range a.document.Models() {
			longest = max(longest, m.PromptTokens())
		}
	}
	return longest
}

// keyring finds accounts by their keys in the documents in force.
type keyring struct {
	current atomic.Pointer[keys]
}

type keys struct {
	documents  []*registry.Document
	identities map[[sha256.Size]byte]*identity
}

// find returns the identity of the request's bearer key, nil if there is none;
// known and unknown keys take the same steps.
func (k *keyring) find(documents []*registry.Document, r *http.Request) *identity {
	key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	found := k.keys(documents).identities[hash]
	if !bearer || key == "" {
		return nil
	}
	return found
}

func (k *keyring) keys(documents []*registry.Document) *keys {
	current := k.current.Load()
	if current != nil && slices.Equal(current.documents, documents) {
		return current
	}
	fresh := newKeys(documents)
	k.current.Store(fresh)
	return fresh
}

func newKeys(documents []*registry.Document) *keys {
	fresh := &keys{
		documents:  slices.Clone(documents),
		identities: make(map[[sha256.Size]byte]*identity),
	}
	for _, document := range documents {
		for _, account := range document.Accounts() {
			fresh.add(document, account)
		}
	}
	return fresh
}

func (k *keys) add(document *registry.Document, account registry.Account) {
	who := k.identities[account.KeyHash()]
	if who == nil {
		who = &identity{name: account.Name()}
		k.identities[account.KeyHash()] = who
	}
	who.accesses = append(who.accesses, access{document: document, account: account})
}
