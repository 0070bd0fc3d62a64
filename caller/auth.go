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
	services []access
}

// access is an account's permission to use one service.
type access struct {
	document *registry.Document
	account  registry.Account
}

// model returns the first service of the account that has the model.
func (i *identity) model(name string) (access, registry.Model, bool) {
	for _, a := range i.services {
		for _, m := range a.document.Models() {
			if m.Name() == name {
				return a, m, true
			}
		}
	}
	return access{}, registry.Model{}, false
}

func (i *identity) service(name string) (access, bool) {
	for _, a := range i.services {
		if a.document.Service() == name {
			return a, true
		}
	}
	return access{}, false
}

// longestPrompt returns the longest prompt in tokens of the account's models.
func (i *identity) longestPrompt() int {
	longest := 0
	for _, a := range i.services {
		for _, m := range a.document.Models() {
			longest = max(longest, m.PromptTokens())
		}
	}
	return longest
}

// keyring finds accounts by their keys in the active documents.
type keyring struct {
	current atomic.Pointer[keyIndex]
}

type keyIndex struct {
	documents  []*registry.Document
	identities map[[sha256.Size]byte]*identity
}

// find returns the identity that the request's bearer key belongs to, nil if
// there is none. Known and unknown keys take the same steps.
func (k *keyring) find(documents []*registry.Document, r *http.Request) *identity {
	key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	found := k.index(documents).identities[hash]
	if !bearer || key == "" {
		return nil
	}
	return found
}

func (k *keyring) index(documents []*registry.Document) *keyIndex {
	current := k.current.Load()
	if current != nil && slices.Equal(current.documents, documents) {
		return current
	}
	index := newKeyIndex(documents)
	k.current.Store(index)
	return index
}

func newKeyIndex(documents []*registry.Document) *keyIndex {
	index := &keyIndex{
		documents:  slices.Clone(documents),
		identities: make(map[[sha256.Size]byte]*identity),
	}
	for _, document := range documents {
		for _, account := range document.Accounts() {
			index.add(document, account)
		}
	}
	return index
}

func (k *keyIndex) add(document *registry.Document, account registry.Account) {
	id := k.identities[account.KeyHash()]
	if id == nil {
		id = &identity{name: account.Name()}
		k.identities[account.KeyHash()] = id
	}
	id.services = append(id.services, access{document: document, account: account})
}
