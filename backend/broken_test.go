package backend

import (
	"context"
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Only a connection that its server closed early says that the server may have ended.
func TestBroken(t *testing.T) {
	c := qt.New(t)
	for err, want := range map[error]bool{
		&AttemptError{outcome: OutcomeFailed, err: io.EOF}:                            true,
		fmt.Errorf("wrapped: %w", &AttemptError{outcome: OutcomeFailed, err: io.EOF}): true,
		&FaultError{fault: FaultTruncated, err: io.ErrUnexpectedEOF}:                  true,
		&FaultError{fault: FaultTruncated, err: ErrStalled}:                           false,
		&FaultError{fault: FaultCrossed}:                                              false,
		&AttemptError{outcome: OutcomeFailed, status: 500, err: io.EOF}:               false,
		&AttemptError{outcome: OutcomeFailed, err: ErrStalled}:                        false,
		&AttemptError{outcome: OutcomeFailed, err: context.Canceled}:                  false,
		&AttemptError{outcome: OutcomeFailed, err: context.DeadlineExceeded}:          false,
		&AttemptError{outcome: OutcomeNotStarted, err: io.EOF}:                        false,
		&AttemptError{outcome: OutcomeRefused, status: 429}:                           false,
		io.EOF: false,
	} {
		c.Check(Broken(err), qt.Equals, want, qt.Commentf("%v", err))
	}
}
