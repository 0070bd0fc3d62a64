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

// loadProcessEnv makes the test binary run an engine and callers, so that the
// parent process measures the entry alone.
const loadProcessEnv = "CALLER_TEST_PEER"

func TestMain(m *testing.M) {
	if os.Getenv(loadProcessEnv) != "" {
		runLoadProcess(os.Stdin, os.Stdout)
		return
	}
	os.Exit(m.Run())
}

// round is one round of load. The engine pauses before each token, or holds the
// streams open after the first until the next line of input.
type round struct {
	URL     string
	Streams int
	Tokens  int
	Prompt  int
	Pause   time.Duration
	Hold    bool
}

type loadProcess struct {
	mu    sync.Mutex
	round round
	held  chan struct{}
	first sync.WaitGroup
	done  sync.WaitGroup
}

// runLoadProcess prints the address of its engine, then runs one round for each
// line of in and prints a line at its end. A held round prints a line while its
// streams are open and continues at the next line of in.
func runLoadProcess(in io.Reader, out io.Writer) {
	process := &loadProcess{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go http.Serve(listener, process)
	fmt.Fprintln(out, listener.Addr())
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		process.begin(lines.Bytes())
		process.first.Wait()
		if process.round.Hold {
			fmt.Fprintln(out, "held")
			lines.Scan()
			close(process.held)
		}
		process.done.Wait()
		fmt.Fprintln(out, "done")
	}
}

func (p *loadProcess) begin(line []byte) {
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

func (p *loadProcess) call(url, body string) {
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
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	if err != nil || response.StatusCode != http.StatusOK {
		panic(fmt.Sprint(response.Status, first, err))
	}
	p.first.Done()
	rest, err := io.ReadAll(reader)
	if err != nil || !strings.HasSuffix(string(rest), "[DONE]\n\n") {
		panic(fmt.Sprintf("response truncated: %v", err))
	}
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10_000}}

// ServeHTTP implements http.Handler as an engine.
func (p *loadProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// loadClient is the connection to a child process that runs an engine and
// callers.
type loadClient struct {
	in  io.WriteCloser
	out *bufio.Reader
}

// startLoadProcess returns a child process and an entry in front of its engine.
func startLoadProcess(t testing.TB) (*loadClient, *testEntry) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), loadProcessEnv+"=1")
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
	client := &loadClient{in: in, out: bufio.NewReader(out)}
	t.Cleanup(func() {
		in.Close()
		command.Wait()
	})
	location := registry.NewLocation("scl", "scl-a")
	engine := registry.NewServer("engine-1", registry.KindEngine, location, registry.StateLive, client.line(t), "strip")
	return client, newTestEntry(t, Limits{}, backend.NewServer(engine, backend.Capacity{}))
}

func (p *loadClient) line(t testing.TB) string {
	line, err := p.out.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// run runs a round and calls during while its streams are held open.
func (p *loadClient) run(t testing.TB, load round, during func()) {
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
