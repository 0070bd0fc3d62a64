package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"greengagedock.example/backend"
	"greengagedock.example/registry"
)

// peerEnv makes the test binary an engine with callers, so that what the
// entry alone takes can be measured in the parent.
const peerEnv = "CALLER_TEST_PEER"

func TestMain(m *testing.M) {
	if os.Getenv(peerEnv) != "" {
		runPeer(os.Stdin, os.Stdout)
		return
	}
	os.Exit(m.Run())
}

// round is one round of load: streams at a time, whose engine pauses before
// each token, or holds them open after the first until the next line.
type round struct {
	URL     string
	Streams int
	Tokens  int
	Prompt  int
	Pause   time.Duration
	Hold    bool
}

type benchPeer struct {
	mu    sync.Mutex
	round round
	held  chan struct{}
	first sync.WaitGroup
	done  sync.WaitGroup
}

// runPeer prints its engine's address, then carries out one round for each
// line of in and answers with a line; a held round takes a second line to end.
func runPeer(in io.Reader, out io.Writer) {
	peer := &benchPeer{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go http.Serve(listener, peer)
	fmt.Fprintln(out, listener.Addr())
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		peer.begin(lines.Bytes())
		peer.first.Wait()
		if peer.round.Hold {
			fmt.Fprintln(out, "held")
			lines.Scan()
			close(peer.held)
		}
		peer.done.Wait()
		fmt.Fprintln(out, "done")
	}
}

func (p *benchPeer) begin(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round = round{}
	if err := json.Unmarshal(line, &p.round); err != nil {
		panic(err)
	}
	p.held = make(chan struct{})
	body := fmt.Sprintf(`{"model":"strip-1","stream":true,"prompt":%q}`, strings.Repeat("word", p.round.Prompt))
	for range p.round.Streams {
		p.first.Add(1)
		p.done.Add(1)
		go p.call(p.round.URL, body)
	}
}

func (p *benchPeer) call(url, body string) {
	defer p.done.Done()
	request, err := http.NewRequest("POST", url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+agencyKey)
	response, err := benchClient.Do(request)
	if err != nil {
		panic(err)
	}
	defer response.Body.Close()
	answer := bufio.NewReader(response.Body)
	first, err := answer.ReadString('\n')
	if err != nil || response.StatusCode != http.StatusOK {
		panic(fmt.Sprint(response.Status, first, err))
	}
	p.first.Done()
	rest, err := io.ReadAll(answer)
	if err != nil || !strings.HasSuffix(string(rest), "[DONE]\n\n") {
		panic(fmt.Sprintf("answer cut: %v", err))
	}
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10_000}}

// ServeHTTP answers as an engine.
func (p *benchPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	load, held := p.round, p.held
	p.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	for n := range load.Tokens {
		fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"choices\":[{\"text\":\"word \"}]}\n\n", id, n)
		if n == 0 && load.Hold {
			w.(http.Flusher).Flush()
			<-held
		}
		if load.Pause > 0 {
			w.(http.Flusher).Flush()
			time.Sleep(load.Pause)
		}
	}
	io.WriteString(w, fakeStream(id, load.Tokens, load.Tokens))
}

// peerProcess is a child process that is an engine with callers.
type peerProcess struct {
	in  io.WriteCloser
	out *bufio.Reader
}

// startPeer returns a child process and an entry before its engine.
func startPeer(t testing.TB) (*peerProcess, *testEntry) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), peerEnv+"=1")
	command.Stderr = os.Stderr
	in, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	peer := &peerProcess{in: in, out: bufio.NewReader(out)}
	t.Cleanup(func() {
		in.Close()
		command.Wait()
	})
	place := registry.NewLocation("scl", "scl-a")
	engine := registry.NewServer("engine-1", registry.KindEngine, place, registry.StateLive, peer.line(t), "strip")
	return peer, newTestEntry(t, Limits{}, backend.NewServer(engine, backend.Capacity{}))
}

func (p *peerProcess) line(t testing.TB) string {
	line, err := p.out.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// run carries out a round and calls during while its streams are held open.
func (p *peerProcess) run(t testing.TB, load round, during func()) {
	text, err := json.Marshal(load)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(p.in, "%s\n", text)
	if load.Hold {
		p.line(t)
		during()
		fmt.Fprintln(p.in)
	}
	p.line(t)
}
