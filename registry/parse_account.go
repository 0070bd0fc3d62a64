package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"greengagedock.example/jsonc"
)

// emptyKeyInputs are what is hashed by mistake if the key is missing or only its line end is there.
var emptyKeyInputs = []string{"", "\n", "\r\n"}

func parseAccounts(v jsonc.Value) []Account {
	names, hashes := make(firstLines), make(firstLines)
	var accounts []Account
	for _, element := range parseArray(v, maxAccounts) {
		accounts = append(accounts, parseAccount(element.Object(), names, hashes))
	}
	if v.IsArray() && v.Len() == 0 {
		v.Report("is empty, want at least one account: nobody could call")
	}
	return accounts
}

func parseAccount(o *jsonc.Object, names, hashes firstLines) Account {
	name := o.Required("name")
	account := Account{
		name:            parseName(name),
		keyHash:         parseKeyHash(o.Required("key_sha256"), hashes),
		share:           intOrDefault(o.Optional("share"), 1, maxShare, 1),
		requests:        intOrDefault(o.Optional("requests"), 0, maxRequests, 0),
		tokensPerSecond: intOrDefault(o.Optional("tokens_per_second"), 0, maxTokens, 0),
	}
	if account.name != "" {
		names.reportDuplicate(name, account.name)
	}
	return account
}

func parseKeyHash(v jsonc.Value, hashes firstLines) (hash [sha256.Size]byte) {
	text, ok := v.Text()
	if !ok {
		return hash
	}
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != sha256.Size {
		v.Report("want the key's SHA-256 hash in 64 hex digits")
		return hash
	}
	hash = [sha256.Size]byte(decoded)
	switch {
	case hash == [sha256.Size]byte{}:
		v.Report("is zero, want the key's SHA-256 hash")
	case isEmptyKey(hash):
		v.Report("is the hash of an empty key")
	default:
		hashes.reportDuplicate(v, string(decoded))
	}
	return hash
}

func isEmptyKey(hash [sha256.Size]byte) bool {
	return slices.ContainsFunc(emptyKeyInputs, func(key string) bool {
		return sha256.Sum256([]byte(key)) == hash
	})
}
