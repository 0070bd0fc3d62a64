package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// result is what a client saw of one attempt.
type result struct {
	id     string
	target string
	sentAt time.Time
	took   time.Duration
	status int // 0 for none
	seal   string
	body   string
	err    error
}

// request is what a client sends.
type request struct {
	method, host, target, apiKey, body string
	limit                              time.Duration
}

// clients send requests to the entries that the directory names.
type clients struct {
	name string
	// directories are those that a client asks, the nearest first.
	directories []string
	http        http.Client

	mu      sync.Mutex
	n       int
	addrs   []string
	until   time.Time
	results []result
	running sync.WaitGroup
}

func newClients(name string, directories []string) *clients {
	dialer := net.Dialer{Timeout: time.Second}
	return &clients{name: name, directories: directories, http: http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// resolve returns the addresses of entries, as the directory names them.
func (c *clients) resolve(host string) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.addrs, nil
	}
	client := http.Client{Timeout: time.Second}
	for _, directory := range c.directories {
		response, err := client.Get("http://" + directory + "/v1/resolve?Name=" + url.QueryEscape(host) + "&Region=north&Zone=north-a")
		if err != nil {
			continue
		}
		var body struct {
			Addrs []string
			TTL   float64 `json:"TtlS"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(body.Addrs) > 0 {
			c.addrs, c.until = body.Addrs, time.Now().Add(time.Duration(min(body.TTL, 5)*float64(time.Second)))
			return c.addrs, nil
		}
	}
	if len(c.addrs) > 0 {
		return c.addrs, nil
	}
	return nil, fmt.Errorf("no directory answers")
}

// send sends one attempt to an entry, any one that the directory names if it is empty.
func (c *clients) send(entry string, q request) result {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	c.mu.Unlock()
	out := c.attempt(entry, id, q)
	fields := []any{"client", id, "target", q.target, "status", out.status, "seal", out.seal, "ms", out.took.Milliseconds()}
	if out.err != nil {
		fields = append(fields, "error", out.err.Error())
	}
	record(fields...)
	c.mu.Lock()
	c.results = append(c.results, out)
	c.mu.Unlock()
	return out
}

func (c *clients) attempt(entry, id string, q request) result {
	out := result{id: id, target: q.target, sentAt: time.Now()}
	defer func() { out.took = time.Since(out.sentAt) }()
	if entry == "" {
		addrs, err := c.resolve(q.host)
		if err != nil {
			out.err = err
			return out
		}
		entry = addrs[rand.IntN(len(addrs))]
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+entry+q.target, strings.NewReader(q.body))
	if err != nil {
		unable(err)
	}
	r.Host = q.host
	r.GetBody = nil // an attempt is sent once
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.limit.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+q.apiKey)
	response, err := c.http.Do(r)
	if err != nil {
		out.err = err
		return out
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	out.status, out.seal, out.err = response.StatusCode, response.Header.Get("Runner-Seal"), err
	out.body = string(body[:min(len(body), 200)])
	return out
}

// press sends requests at a rate for a time and waits until all have ended.
func (c *clients) press(perSecond int, d time.Duration, q request) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
		c.running.Go(func() { c.send("", q) })
	}
	c.running.Wait()
}

// all returns what was seen so far.
func (c *clients) all() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.results...)
}
