package registry

import "github.com/google/go-cmp/cmp"

var (
	cmpModels    = cmp.AllowUnexported(Model{}, Call{})
	cmpInstances = cmp.AllowUnexported(Instance{}, Location{})
)

// invalidDocument is an edit that makes a valid document invalid.
type invalidDocument struct {
	name     string
	calls    bool
	old, new string
	want     []string
}

const hash1 = `"11111111111111111111111111111111111111111111111111111111111111aA"`

var invalidModelDocuments = []invalidDocument{
	{"service missing", false, `"service": "strip-model",`, ``, []string{"doc.json:1: service: missing"}},
	{"service with slash", false, `"strip-model"`, `"a/b"`, []string{`doc.json:2: service: is "a/b", want ` + NameRule}},
	{"team missing", false, `"team": "strips",`, ``, []string{"doc.json:1: team: missing"}},
	{"version zero", false, `"version": 7`, `"version": 0`, []string{"doc.json:2: version: is 0, want 1 to 9007199254740991"}},
	{"version negative", false, `"version": 7`, `"version": -1`, []string{"doc.json:2: version: is -1, want 1 to 9007199254740991"}},
	{"version text", false, `"version": 7`, `"version": "7"`, []string{"doc.json:2: version: is a string, want a whole number"}},
	{"version with exponent", false, `"version": 7`, `"version": 7e1`, []string{"doc.json:2: version: is 7e1, want a whole number"}},
	{"version too large", false, `"version": 7`, `"version": 9007199254740992`, []string{
		"doc.json:2: version: is 9007199254740992, want 1 to 9007199254740991"}},
	{"priority out of range", false, `"priority": 5`, `"priority": 101`, []string{"doc.json:2: priority: is 101, want -100 to 100"}},
	{"unknown key", false, `"priority": 5`, `"priorty": 5`, []string{`doc.json:2: priorty: unknown key, did you mean "priority"?`}},
	{"no accounts", false, `"accounts"`, `"accounts": [], "x"`, []string{
		"doc.json:3: accounts: is empty, want at least one account: nobody could call", "doc.json:3: x: unknown key"}},
	{"account is a name", false, `"accounts": [`, `"accounts": ["desk",`, []string{
		"doc.json:3: accounts[0]: is a string, want an object"}},
	{"account unnamed", false, `"name": "editors", `, ``, []string{"doc.json:4: accounts[0].name: missing"}},
	{"account repeated", false, `"editors"`, `"desk"`, []string{"doc.json:5: accounts[1].name: is the same as on line 4"}},
	{"key missing", false, `, "key_sha256": ` + hash1, ``, []string{"doc.json:4: accounts[0].key_sha256: missing"}},
	{"key repeated", false, hash1, `"2222222222222222222222222222222222222222222222222222222222222222"`, []string{
		"doc.json:5: accounts[1].key_sha256: is the same as on line 4"}},
	{"key itself", false, hash1, `"secret"`, []string{"doc.json:4: accounts[0].key_sha256: want the key's SHA-256 hash in 64 hex digits"}},
	{"key short", false, hash1, `"1111"`, []string{"doc.json:4: accounts[0].key_sha256: want the key's SHA-256 hash in 64 hex digits"}},
	{"key zero", false, hash1, `"0000000000000000000000000000000000000000000000000000000000000000"`, []string{
		"doc.json:4: accounts[0].key_sha256: is zero, want the key's SHA-256 hash"}},
	{"key of nothing", false, hash1, `"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"`, []string{
		"doc.json:4: accounts[0].key_sha256: is the hash of an empty key"}},
	{"key of a line end", false, hash1, `"01ba4719c80b6fe911b091a7c05124b64eeece964e09c058ef8f9805daca546b"`, []string{
		"doc.json:4: accounts[0].key_sha256: is the hash of an empty key"}},
	{"share zero", false, `"share": 3`, `"share": 0`, []string{"doc.json:6: accounts[1].share: is 0, want 1 to 1000000"}},
	{"requests negative", false, `"requests": 9`, `"requests": -9`, []string{"doc.json:6: accounts[1].requests: is -9, want 0 to 1000000"}},
	{"rate negative", false, `"tokens_per_second": 500`, `"tokens_per_second": -1`, []string{
		"doc.json:6: accounts[1].tokens_per_second: is -1, want 0 to 1000000000"}},
	{"neither models nor calls", false, `"models"`, `"Models"`, []string{
		"doc.json:1: has neither models nor calls, want one of both",
		`doc.json:8: Models: unknown key, did you mean "models"?`}},
	{"both models and calls", false, `"models"`, `"calls": [], "models"`, []string{
		"doc.json:8: calls: stands beside models, want one of both: a service is a model service or a plain one",
		"doc.json:8: calls: is empty, want at least one"}},
	{"model unnamed", false, `"name": "strip-1", `, ``, []string{"doc.json:9: models[0].name: missing"}},
	{"model name", false, `"strip-1"`, `"strip 1"`, []string{`doc.json:9: models[0].name: is "strip 1", want ` + modelNameRule}},
	{"model repeated", false, `"org/strip:2"`, `"strip-1"`, []string{"doc.json:10: models[1].name: is the same as on line 9"}},
	{"prompt missing", false, `"prompt_tokens": 1000000, `, ``, []string{"doc.json:9: models[0].prompt_tokens: missing"}},
	{"prompt zero", false, `1000000`, `0`, []string{"doc.json:9: models[0].prompt_tokens: is 0, want 1 to 2000000"}},
	{"prompt too long", false, `1000000`, `2000001`, []string{"doc.json:9: models[0].prompt_tokens: is 2000001, want 1 to 2000000"}},
	{"answer negative", false, `8000`, `-1`, []string{"doc.json:9: models[0].answer_tokens: is -1, want 1 to 1000000"}},
	{"deadline missing", false, `, "deadline": "15m"`, ``, []string{"doc.json:9: models[0].deadline: missing"}},
	{"deadline zero", false, `"15m"`, `"0s"`, []string{"doc.json:9: models[0].deadline: is 0s, want 1ms to 24h0m0s"}},
	{"deadline negative", false, `"15m"`, `"-15m"`, []string{"doc.json:9: models[0].deadline: is -15m0s, want 1ms to 24h0m0s"}},
	{"deadline too long", false, `"15m"`, `"25h"`, []string{"doc.json:9: models[0].deadline: is 25h0m0s, want 1ms to 24h0m0s"}},
	{"deadline bare", false, `"15m"`, `900`, []string{`doc.json:9: models[0].deadline: is a number, want a duration such as "1.5s"`}},
	{"no servers", false, `"backend_servers"`, `"servers"`, []string{
		"doc.json:1: backend_servers: missing", "doc.json:12: servers: unknown key"}},
	{"no cold capacity", false, `"cold": {"requests": 2, "tokens": 48000},`, ``, []string{"doc.json:12: backend_servers.cold: missing"}},
	{"cold requests above warm", false, `"requests": 2,`, `"requests": 25,`, []string{
		"doc.json:13: backend_servers.cold.requests: is 25, want at most the 24 of a warm server"}},
	{"cold tokens above warm", false, `48000}`, `480001}`, []string{
		"doc.json:13: backend_servers.cold.tokens: is 480001, want at most the 480000 of a warm server"}},
	{"capacity of no requests", false, `"requests": 2,`, `"requests": 0,`, []string{
		"doc.json:13: backend_servers.cold.requests: is 0, want 1 to 1000000"}},
	{"model without KV tokens", false, `, "tokens": 480000`, ``, []string{"doc.json:14: backend_servers.warm.tokens: missing"}},
	{"model with no KV tokens", false, `"tokens": 480000`, `"tokens": 0`, []string{
		"doc.json:14: backend_servers.warm.tokens: is 0, want 1 to 1000000000"}},
	{"warm_after missing", false, `"warm_after": 12,`, ``, []string{"doc.json:12: backend_servers.warm_after: missing"}},
	{"warm_after negative", false, `"warm_after": 12`, `"warm_after": -1`, []string{
		"doc.json:15: backend_servers.warm_after: is -1, want 0 to 1000000"}},
	{"warm at once", false, `"warm_after": 12`, `"warm_after": 0`, []string{
		"doc.json:15: backend_servers.warm_after: is 0, want at least 1 where a cold server bears less than a warm one"}},
	{"trailing data", false, "\t},\n}", "\t},\n} // end\n[1]", []string{
		"doc.json:18: column 1: invalid character '[' after top-level value"}},
	{"comma missing", false, `"team": "strips",`, `"team": "strips"`, []string{
		`doc.json:2: column 45: invalid character '"' after object value (expecting ',' or '}')`}},
	{"several at once", false, `"service": "strip-model", "team": "strips", "version": 7,`, `"service": 1, "team": "strips", "team": "x", "version": 7.5,`, []string{
		"doc.json:2: service: is a number, want a string",
		"doc.json:2: team: key repeated, first on line 2",
		"doc.json:2: version: is 7.5, want a whole number"}},
	{"list of documents", false, modelDocument, "[" + modelDocument + "]", []string{"doc.json:1: is an array, want an object"}},
	{"empty", false, modelDocument, "", []string{"doc.json:1: column 1: parsing value: unexpected EOF"}},
}

var invalidCallDocuments = []invalidDocument{
	{"no calls", true, `"calls"`, `"calls": [], "x"`, []string{"doc.json:4: calls: is empty, want at least one", "doc.json:4: x: unknown key"}},
	{"method missing", true, `"method": "POST", `, ``, []string{"doc.json:5: calls[0].method: missing"}},
	{"method in lower case", true, `"POST"`, `"post"`, []string{
		`doc.json:5: calls[0].method: is "post", want one of GET, HEAD, POST, PUT, PATCH, DELETE`}},
	{"path relative", true, `"/grants"`, `"grants"`, []string{`doc.json:5: calls[0].path: is "grants", want ` + pathRule}},
	{"path climbs", true, `"/grants"`, `"/a/../grants"`, []string{`doc.json:5: calls[0].path: is "/a/../grants", want ` + pathRule}},
	{"path with query", true, `"/grants"`, `"/grants?x=1"`, []string{`doc.json:5: calls[0].path: is "/grants?x=1", want ` + pathRule}},
	{"path with half a wildcard", true, `"/grants"`, `"/grants/{id"`, []string{`doc.json:5: calls[0].path: is "/grants/{id", want ` + pathRule}},
	{"path escaped", true, `"/grants"`, `"/%67rants"`, []string{`doc.json:5: calls[0].path: is "/%67rants", want ` + pathRule}},
	{"wildcard in another's path", true, `"/grants", "repeatable": true`, `"/grants/{id}", "repeatable": true, "deadline": "5s"},
		{"method": "GET", "path": "/grants/new", "repeatable": false`, []string{
		"doc.json:7: calls[2].path: overlaps /grants/{id} on line 6, which differs in repeatable or deadline"}},
	{"path twice", true, `"GET"`, `"POST"`, []string{"doc.json:6: calls[1].path: is the same as on line 5"}},
	{"repeatable missing", true, `"repeatable": false, `, ``, []string{"doc.json:5: calls[0].repeatable: missing"}},
	{"repeatable text", true, `"repeatable": false`, `"repeatable": "no"`, []string{
		"doc.json:5: calls[0].repeatable: is a string, want true or false"}},
	{"repeatable null", true, `"repeatable": false`, `"repeatable": null`, []string{
		"doc.json:5: calls[0].repeatable: is null, want true or false"}},
	{"deadline missing", true, `, "deadline": "20s"`, ``, []string{"doc.json:5: calls[0].deadline: missing"}},
	{"KV tokens", true, `{"requests": 8}`, `{"requests": 8, "tokens": 9}`, []string{
		"doc.json:8: backend_servers.cold.tokens: is 9, want none: a plain service has no KV memory"}},
}
