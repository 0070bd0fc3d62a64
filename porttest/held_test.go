package porttest

import (
	"os"
	"os/exec"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against "address already in use": a port that a test has let go of, for an entry
// that starts later, was reserved and bound by the tests of another package.
func TestReservedPortIsHeldFromOtherProcesses(t *testing.T) {
	c := qt.New(t)
	const child = "PORTTEST_HELD_PORT"
	if text := os.Getenv(child); text != "" {
		port, err := strconv.Atoi(text)
		c.Assert(err, qt.IsNil)
		c.Assert(isFree(port), qt.IsTrue)
		c.Assert(hold(port), qt.IsFalse)
		return
	}
	port, err := Reserve(1)
	c.Assert(err, qt.IsNil)
	other := exec.Command(os.Args[0], "-test.run=^TestReservedPortIsHeldFromOtherProcesses$")
	other.Env = append(os.Environ(), child+"="+strconv.Itoa(port))
	out, err := other.CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	c.Assert(hold(port), qt.IsTrue)
}
