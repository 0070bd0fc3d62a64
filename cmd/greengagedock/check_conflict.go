package main

import "greengagedock.example/registry"

// reportConflicts reports files that are valid but conflict with each other.
func reportConflicts(files []*checkedFile) {
	c := conflicts{
		entries:  make(map[string]string),
		services: make(map[string]string),
		accounts: make(map[[32]byte]keyOwner),
		models:   make(map[keyModel]string),
	}
	for _, f := range files {
		switch {
		case len(f.problems) > 0:
		case f.document != nil:
			c.addDocument(f)
		default:
			c.addSettings(f)
		}
	}
}

// conflicts records the file in which each thing that must be unique was seen.
type conflicts struct {
	entries  map[string]string
	services map[string]string
	accounts map[[32]byte]keyOwner
	models   map[keyModel]string
}

// keyOwner is the client account that a file gives a key to.
type keyOwner struct {
	account string
	path    string
}

// keyModel is a model that the holder of a key may call.
type keyModel struct {
	key   [32]byte
	model string
}

func (c conflicts) addSettings(f *checkedFile) {
	if path, found := c.entries[f.settings.ID()]; found {
		f.report("id", "is %q as in %s", f.settings.ID(), path)
		return
	}
	c.entries[f.settings.ID()] = f.path
}

func (c conflicts) addDocument(f *checkedFile) {
	if path, found := c.services[f.document.Service()]; found {
		f.report("service", "is %q as in %s", f.document.Service(), path)
		return
	}
	c.services[f.document.Service()] = f.path
	for _, account := range f.document.Accounts() {
		c.addAccount(f, account)
	}
}

// addAccount reports a key that two documents give to accounts of different
// names, and a model name that is ambiguous because two services offer it to
// the same key.
func (c conflicts) addAccount(f *checkedFile, account registry.Account) {
	first, found := c.accounts[account.KeyHash()]
	if found && first.account != account.Name() {
		f.report("accounts", "%q has the key of %q in %s", account.Name(), first.account, first.path)
		return
	}
	c.accounts[account.KeyHash()] = keyOwner{account: account.Name(), path: f.path}
	for _, model := range f.document.Models() {
		key := keyModel{key: account.KeyHash(), model: model.Name()}
		if path, found := c.models[key]; found {
			f.report("models", "%q is also offered to %q in %s", model.Name(), account.Name(), path)
		}
		c.models[key] = f.path
	}
}
