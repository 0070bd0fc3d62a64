package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/registry"
)

// maxReportBytes bounds the body of a load report.
const maxReportBytes = 4 << 20

// ErrReport is wrapped by every error of LoadReport.
var ErrReport = eris.New("backend: no load report")

type loadReport struct {
	ID          string         `json:"id"`
	Incarnation string         `json:"incarnation"`
	State       registry.State `json:"state"`
	Models      []string       `json:"models"`
	Capacity    int            `json:"capacity_tokens"`
	Used        int            `json:"used_tokens"`
	Running     int            `json:"running"`
	Lag         string         `json:"lag"`
	Held        []heldReport   `json:"held"`
}

type heldReport struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// LoadPath is the path of a server's load report, which costs it next to nothing.
const LoadPath = "/v1/load"

// LoadReport reads the load report of a server at its IP and port. The
// report's lag includes the duration of the read, so that it never looks
// newer than it is.
func (c *Client) LoadReport(ctx context.Context, server, address string) (Report, error) {
	c.setup()
	started := c.clock.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+LoadPath, nil)
	if err != nil {
		return Report{}, eris.Wrapf(ErrReport, "%s: %v", server, err)
	}
	response, err := c.pooled.RoundTrip(request)
	if err != nil {
		return Report{}, eris.Wrapf(ErrReport, "%s: %v", server, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, eris.Wrapf(ErrReport, "%s: status %d", server, response.StatusCode)
	}
	var body loadReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&body); err != nil {
		return Report{}, eris.Wrapf(ErrReport, "%s: %v", server, err)
	}
	return body.report(server, c.clock.Now().Sub(started))
}

// report converts a report that took transit to arrive.
func (r *loadReport) report(server string, transit time.Duration) (Report, error) {
	if r.ID != server {
		return Report{}, eris.Wrapf(ErrReport, "%s: report is from server %q", server, r.ID)
	}
	lag, err := time.ParseDuration(r.Lag)
	if err != nil || lag < 0 {
		return Report{}, eris.Wrapf(ErrReport, "%s: lag %q is not a valid duration", server, r.Lag)
	}
	held := make([]HeldMemory, 0, len(r.Held))
	for _, h := range r.Held {
		held = append(held, NewHeldMemory(h.ID, h.Tokens))
	}
	report := NewReport(server, r.Incarnation, r.State, r.Capacity, r.Used)
	return report.WithModels(r.Models...).WithRunning(r.Running).WithHeld(lag+transit, held...), nil
}

// CancelStream asks the server at an IP and port once, in the background, to
// end an attempt. The server's keeper repeats it as long as needed.
func (c *Client) CancelStream(address, stream string) {
	go func() {
		body, err := json.Marshal(cancelRequest{ID: stream})
		if err != nil {
			return
		}
		c.setup()
		c.sendCancel(context.Background(), Slot{id: stream, address: address}, body)
	}()
}
