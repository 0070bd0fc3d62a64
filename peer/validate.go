package peer

import (
	"strings"

	"github.com/rotisserie/eris"

	"greengagedock.example/registry"
)

// ErrItem is wrapped by the error of every rejected published item.
var ErrItem = eris.New("peer: published item refused")

// validateItem validates a published item by its kind. A document is returned
// with the version that it states, since the platform's revision would also
// rise when old content is published again.
func validateItem(item registry.Item) (registry.Item, *registry.Document, error) {
	switch {
	case item.IsDocument():
		return validateDocument(item)
	case strings.HasPrefix(item.Key(), registry.EntriesPrefix), strings.HasPrefix(item.Key(), registry.ServersPrefix):
		_, err := registry.ParseList(item)
		return item, nil, wrapItemError(item, err)
	case item.Key() == registry.DomainsKey:
		_, err := registry.ParseDomains(item)
		return item, nil, wrapItemError(item, err)
	default:
		return item, nil, eris.Wrapf(ErrItem, "%s: unknown key", item.Key())
	}
}

func validateDocument(item registry.Item) (registry.Item, *registry.Document, error) {
	document, err := registry.ParseDocument(item.Key(), []byte(item.Value()))
	if err != nil {
		return item, nil, wrapItemError(item, err)
	}
	if item.Key() != registry.ServicePrefix+document.Service() {
		return item, nil, eris.Wrapf(ErrItem, "%s: names the service %q", item.Key(), document.Service())
	}
	return registry.NewItem(item.Key(), document.Version(), item.Value()), document, nil
}

func wrapItemError(item registry.Item, err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrapf(ErrItem, "%s: %v", item.Key(), err)
}
