package settings

import (
	"net/netip"

	"greengagedock.example/jsonc"
)

// listener is an address that the entry instance listens on, with its settings key and value.
type listener struct {
	key     string
	value   jsonc.Value
	address netip.AddrPort
}

func parseAddresses(o *jsonc.Object, s *Settings) {
	caller := parseListener(o, "caller_address")
	peer := parseListener(o, "peer_address")
	admin := parseListener(o, "admin_address")
	if admin.address.Addr().IsUnspecified() {
		admin.value.Report("is %s, want the address of one interface, since the entry can be drained here", admin.address)
	}
	reportConflict(caller, peer)
	reportConflict(caller, admin)
	reportConflict(peer, admin)
	s.callerAddress, s.peerAddress, s.adminAddress = caller.String(), peer.String(), admin.String()
	s.platformAddresses = platformAddresses(o)
	s.peers = remoteAddresses(o.Optional("peers"))
}

// String returns the IP and port, empty if not set.
func (l listener) String() string {
	if !l.address.IsValid() {
		return ""
	}
	return l.address.String()
}

func parseListener(o *jsonc.Object, key string) listener {
	value := o.Required(key)
	address, ok := parseAddrPort(value)
	if ok && address.Port() == 0 && !address.Addr().IsLoopback() {
		value.Report("is %s, want a port above 0: a port chosen by the system is allowed only on loopback", address)
	}
	return listener{key: key, value: value, address: address}
}

// reportConflict reports b if it can't be opened together with a.
func reportConflict(a, b listener) {
	if a.address.Port() == 0 || a.address.Port() != b.address.Port() {
		return
	}
	overlaps := a.address.Addr() == b.address.Addr() || a.address.Addr().IsUnspecified() || b.address.Addr().IsUnspecified()
	if overlaps {
		b.value.Report("is %s, which %s already uses", b.address, a.key)
	}
}

// platformAddresses returns the replicas of the platform, set as one address or as an array.
func platformAddresses(o *jsonc.Object) []string {
	one, many := o.Optional("platform_address"), o.Optional("platform_addresses")
	switch {
	case one.Present() && many.Present():
		many.Report("is set together with platform_address, want only one of them")
		return nil
	case many.Present():
		list := remoteAddresses(many)
		if many.IsArray() && many.Len() == 0 {
			many.Report("is empty, want at least one address")
		}
		return list
	case one.Present():
		return appendRemote(nil, one)
	default:
		one.Report("missing")
		return nil
	}
}

func remoteAddresses(v jsonc.Value) []string {
	var list []string
	for _, element := range v.Array() {
		list = appendRemote(list, element)
	}
	return list
}

// appendRemote appends an address to connect to and reports duplicates.
func appendRemote(list []string, v jsonc.Value) []string {
	address, ok := parseAddrPort(v)
	switch {
	case !ok:
		return list
	case address.Port() == 0 || address.Addr().IsUnspecified():
		v.Report("is %s, want an address to connect to", address)
		return list
	}
	for _, earlier := range list {
		if earlier == address.String() {
			v.Report("is %s, which is listed already", address)
			return list
		}
	}
	return append(list, address.String())
}

func parseAddrPort(v jsonc.Value) (netip.AddrPort, bool) {
	text, ok := v.Text()
	if !ok {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		v.Report("is %s, want an IP and port such as 127.0.0.1:8100", jsonc.Quote(text))
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), true
}
