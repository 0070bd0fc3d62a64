package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const listedEngine = `{"id": "engine-7", "kind": "engine", "state": "live", "region": "scl", "failure_domain": "scl-a",
	"address": "127.0.0.1:9007", "control": "", "service": "strip-model", "fences": true}`

func TestParseList(t *testing.T) {
	c := qt.New(t)
	list, err := ParseList(NewItem("servers/scl-a", 9, `[{"id": "z", "kind": "service", "state": "live", "address": "127.0.0.1:1"}, `+listedEngine+`]`))
	c.Assert(err, qt.IsNil)
	c.Check(list.Version(), qt.Equals, int64(9))
	c.Check(list.Len(), qt.Equals, 2)
	engine, ok := list.Find("engine-7")
	c.Check(ok, qt.IsTrue)
	want := NewServer("engine-7", KindEngine, NewLocation("scl", "scl-a"), StateLive, "127.0.0.1:9007", "strip-model")
	want.supportsFencing = true
	c.Check(engine, qt.Equals, want)
	text, err := FormatList(list.All()...)
	c.Assert(err, qt.IsNil)
	again, err := ParseList(NewItem("servers/scl-a", 9, text))
	c.Assert(err, qt.IsNil)
	c.Check(again.All(), qt.CmpEquals(cmpInstances), list.All())
}

func TestParseListIgnoresUnknownValues(t *testing.T) {
	c := qt.New(t)
	list, err := ParseList(NewItem("servers/scl-a", 9,
		`[{"id": "a", "kind": "engine", "state": "paused", "address": "127.0.0.1:1", "weight": 3}, {"id": "b", "kind": "engine", "address": "127.0.0.1:2"},
		{"id": "c", "kind": "cache", "state": "live", "address": "127.0.0.1:3"}]`))
	c.Assert(err, qt.IsNil)
	c.Assert(list.Len(), qt.Equals, 2)
	c.Check(list.All()[0].State(), qt.Equals, StateLeaving)
	c.Check(list.All()[1].State(), qt.Equals, StateLeaving)
	domains, err := ParseDomains(NewItem("domains", 9, `{"scl-a": "in", "scl-b": "out", "scl-c": "draining"}`))
	c.Assert(err, qt.IsNil)
	c.Check(domains, qt.DeepEquals, map[string]State{"scl-a": StateIn, "scl-b": StateOut, "scl-c": StateOut})
}

func TestParseListRefuses(t *testing.T) {
	tests := []struct{ name, value, want string }{
		{"no id", `[{"kind": "engine", "address": "127.0.0.1:1"}]`, `servers/scl-a: instance "": lacks its id`},
		{"no address", `[{"id": "a", "kind": "engine"}]`, `servers/scl-a: instance "a": lacks its address`},
		{"twice", `[` + listedEngine + `,` + listedEngine + `]`, `servers/scl-a: instance "engine-7" stands twice`},
		{"null", ` null `, `servers/scl-a: version 9: is null`},
		{"empty", ``, `servers/scl-a: version 9: unexpected end of JSON input`},
		{"object", `{}`, `servers/scl-a: version 9: json: cannot unmarshal object .*`},
		{"trailing data", `[] []`, `servers/scl-a: version 9: invalid character '\[' after top-level value`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := ParseList(NewItem("servers/scl-a", 9, test.value))
			c.Assert(err, qt.ErrorIs, ErrList)
			c.Assert(err, qt.ErrorMatches, test.want+": registry: list refused")
		})
	}
	for _, value := range []string{`null`, `[]`, `{"scl-a": 1}`, `{} {}`} {
		_, err := ParseDomains(NewItem("domains", 9, value))
		qt.Check(t, err, qt.ErrorIs, ErrList)
	}
}
