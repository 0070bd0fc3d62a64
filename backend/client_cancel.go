package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Timeout of one cancel request, and bounds of the delay between them.
const (
	cancelRequestTimeout = time.Second
	minCancelBackoff     = 50 * time.Millisecond
	maxCancelBackoff     = time.Second
)

type cancelRequest struct {
	ID string `json:"id"`
}

// Cancel asks the slot's server to end the slot's attempt and repeats the
// request until the server acknowledges it. It returns an error that wraps
// ctx's error if ctx ends first.
func (c *Client) Cancel(ctx context.Context, slot Slot) error {
	c.setup()
	body, err := json.Marshal(cancelRequest{ID: slot.id})
	if err != nil {
		return err
	}
	for backoff := minCancelBackoff; ; backoff = min(2*backoff, maxCancelBackoff) {
		if c.sendCancel(ctx, slot, body) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "backend: cancel of %s not acknowledged", slot.id)
		case <-time.After(backoff):
		}
	}
}

func (c *Client) sendCancel(ctx context.Context, slot Slot, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelRequestTimeout)
	defer cancel()
	url := "http://" + slot.address + "/v1/cancel"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.pooled.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	io.CopyN(io.Discard, response.Body, firstBufferBytes)
	return response.StatusCode == http.StatusOK
}
