package standin

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func read(c *qt.C, p *Platform, query string) valuesBody {
	res := send(p, "GET", "/v1/values"+query, "")
	c.Assert(res.status, qt.Equals, http.StatusOK)
	var body valuesBody
	c.Assert(json.Unmarshal([]byte(res.body), &body), qt.IsNil)
	return body
}

func TestPlatformReturnsOldRevisionWhenStale(t *testing.T) {
	c := qt.New(t)
	p := NewPlatform()
	replica := p.Replica()
	p.Set("service/a", "one")
	p.Set("domains", "{}")
	p.Set("service/a", "two")
	c.Assert(read(c, replica, "?prefix=service/"), qt.DeepEquals,
		valuesBody{Revision: 3, Values: []valueBody{{Key: "service/a", Revision: 3, Value: "two"}}})
	replica.Inject(Stale(2))
	c.Assert(read(c, replica, "?prefix=service/"), qt.DeepEquals,
		valuesBody{Revision: 2, Values: []valueBody{{Key: "service/a", Revision: 1, Value: "one"}}})
	c.Assert(read(c, p, "?after=2").Revision, qt.Equals, int64(3))
	replica.Inject(Cleared())
	c.Assert(read(c, replica, "?after=2&prefix=service/").Values, qt.HasLen, 1)
	p.Delete("service/a")
	c.Assert(read(c, p, ""), qt.DeepEquals,
		valuesBody{Revision: 4, Values: []valueBody{{Key: "domains", Revision: 2, Value: "{}"}}})
}

func TestPlatformWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := NewPlatform()
		start := time.Now()
		go func() {
			time.Sleep(3 * time.Second)
			p.Set("domains", "{}")
		}()
		c.Assert(read(c, p, "?wait=1s").Values, qt.HasLen, 0)
		c.Assert(time.Since(start), qt.Equals, time.Second)
		c.Assert(read(c, p, "?wait=1m").Values, qt.HasLen, 1)
		c.Assert(time.Since(start), qt.Equals, 3*time.Second)
		c.Assert(p.Reads(), qt.Equals, int64(2))
		p.SetReadRate(1)
		c.Assert(send(p, "GET", "/v1/values", "").status, qt.Equals, http.StatusOK)
		limited := send(p, "GET", "/v1/values", "")
		c.Assert(limited.status, qt.Equals, http.StatusTooManyRequests)
		c.Assert(limited.header.Get("Retry-After"), qt.Equals, "1")
		time.Sleep(time.Second)
		p.Inject(Down())
		c.Assert(send(p, "GET", "/v1/values", "").aborted, qt.IsTrue)
	})
}
