package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/timer"
)

// Guards against memory that fills with bytes nobody reads: a server that goes on sending
// after a complete response gets its kept connection closed by the next sweep, though no
// request uses the connection.
func TestIdleConnectionWithBytesIsClosed(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err = fmt.Fprint(conn, responseText("a1", "whole"))
		time.Sleep(50 * time.Millisecond) // the connection is idle by then
		for err == nil {
			_, err = conn.Write(make([]byte, 4096))
		}
	}()
	client := NewClient(testHeaders{}, &timer.Service{}, Dialer{})
	body, err := send(c, client, listener.Addr().String(), "a1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "whole")
	time.Sleep(100 * time.Millisecond)
	client.Sweep(func(string, string, string) bool { return true })
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		c.Fatal("the connection is still open")
	}
}
