package peer

import (
	"strings"

	"github.com/rotisserie/eris"

	"greengagedock.example/registry"
)

// ErrItem is the error that every refused published item wraps.
var ErrItem = eris.New("peer: published item refused")

// inspect checks a published item with the validator of its kind. A document
// is ordered by the version that it states, since the platform's revision
// would rise on a copy of old content too.
func inspect(item registry.Item) (registry.Item, *registry.Document, error) {
	switch {
	case item.IsDocument():
		return inspectDocument(item)
	case strings.HasPrefix(item.Key(), registry.EntriesPrefix), strings.HasPrefix(item.Key(), registry.ServersPrefix):
		_, err := registry.ParseList(item)
		return item, nil, wrapItem(item, err)
	case item.Key() == registry.DomainsKey:
		_, err := registry.ParseDomains(item)
		return item, nil, wrapItem(item, err)
	default:
		return item, nil, eris.Wrapf(ErrItem, "%s: unknown key", item.Key())
	}
}

func inspectDocument(item registry.Item) (registry.Item, *registry.Document, error) {
	document, err := registry.ParseDocument(item.Key(), []byte(item.Value()))
	if err != nil {
		return item, nil, wrapItem(item, err)
	}
	if item.Key() != registry.ServicePrefix+document.Service() {
		return item, nil, eris.Wrapf(ErrItem, "%s: names the service %q", item.Key(), document.Service())
	}
	return registry.NewItem(item.Key(), document.Version(), item.Value()), document, nil
}

func wrapItem(item registry.Item, err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrapf(ErrItem, "%s: %v", item.Key(), err)
}
