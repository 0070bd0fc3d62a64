package main

import "greengagedock.example/registry"

// reportConflicts reports files that are sound but can't stand beside each other.
func reportConflicts(files []*checkedFile) {
	c := conflicts{
		entries:  make(map[string]string),
		services: make(map[string]string),
		accounts: make(map[[32]byte]owner),
		models:   make(map[accountModel]string),
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

// conflicts remembers in which file each thing that may stand once was seen.
type conflicts struct {
	entries  map[string]string
	services map[string]string
	accounts map[[32]byte]owner
	models   map[accountModel]string
}

// owner is the client account that a key has in a file.
type owner struct {
	account string
	path    string
}

// accountModel is a model that a key may call.
type accountModel struct {
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

// addAccount reports a key that two documents give to accounts of unlike
// names, or with which a model's name means two services.
func (c conflicts) addAccount(f *checkedFile, account registry.Account) {
	first, found := c.accounts[account.KeyHash()]
	if found && first.account != account.Name() {
		f.report("accounts", "%q has the key of %q in %s", account.Name(), first.account, first.path)
		return
	}
	c.accounts[account.KeyHash()] = owner{account: account.Name(), path: f.path}
	for _, model := range f.document.Models() {
		key := accountModel{key: account.KeyHash(), model: model.Name()}
		if path, found := c.models[key]; found {
			f.report("models", "%q may be called by %q in %s too", model.Name(), account.Name(), path)
		}
		c.models[key] = f.path
	}
}
