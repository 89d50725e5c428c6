package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/emulator/platform"
	"birchstair/internal/golden"
	"birchstair/internal/site"
)

// startExecutor starts an executor. It completes each batch job at once, except one with the body "wait", which it completes when
// the test sends to finish. It sends the id of that one to started.
func startExecutor(t *testing.T, started, finish chan string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		id := r.Header.Get("X-Call-Id")
		line := func(text string) {
			fmt.Fprintf(w, `{"id":%q,"from":"s-a",%s}`+"\n", id, text)
			w.(http.Flusher).Flush()
		}
		line(`"state":"started"`)
		if string(body) == "wait" {
			started <- id
			<-finish
		}
		line(fmt.Sprintf(`"state":"done","result":"%s for %s"`, body, r.URL))
	}))
	t.Cleanup(s.Close)
	return s
}

// configFile is the configuration file of a node. rewrite writes it with the address of another discovery.
type configFile struct {
	t      *testing.T
	file   string
	listen string
}

// freePort returns an unused address and port.
func freePort(t *testing.T) string {
	addr, err := platform.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// newConfigFile writes the configuration file of a new node.
func newConfigFile(t *testing.T, discovery string) configFile {
	c := configFile{t, filepath.Join(t.TempDir(), "config.json"), freePort(t)}
	c.rewrite(discovery)
	return c
}

func (c configFile) rewrite(discovery string) {
	text, _ := json.Marshal(map[string]any{"name": "n0", "listen": c.listen, "discovery": discovery,
		"settings": map[string]any{"balancers": 1, "quantum-s": 0.004, "caps": map[string]any{"max-allocations": 3},
			"domain": map[string]any{"tells-start": true},
			"tracks": []any{map[string]any{"name": "board-read", "quoted-time-s": 60, "outer-limit-s": 60,
				"repeat": "repeatable", "earnings": 1}}}})
	if err := os.WriteFile(c.file, text, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// read reads the file as the program does.
func (c configFile) read() (nodeConfig, error) {
	return readNodeConfig(func(name string) string { return map[string]string{"ROUTER_CONFIG": c.file}[name] }, time.Now())
}

// serve runs the node. It reloads the file on each value from reloads.
func (c configFile) serve(ctx context.Context, reloads chan os.Signal) error {
	t, err := c.read()
	if err != nil {
		c.t.Fatal(err)
	}
	return serve(ctx, t, site.Config{}, reloads, c.read, time.Now(), zerolog.Nop())
}

// startDiscovery starts a discovery whose endpoint list never changes. It sends to watched when a watch begins or ends.
func startDiscovery(t *testing.T, work *httptest.Server, name string, watched chan string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("from") {
			watched <- name + ": watch begins"
			<-r.Context().Done()
			watched <- name + ": watch ends"
			return
		}
		fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[{"host":"s-a","dial":%q,"health":"ready"}]}`,
			work.Listener.Addr())
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestServe runs a node from its start to its graceful shutdown. The node becomes ready when it has the endpoint list, handles batch
// jobs, reloads its configuration while one is in flight, and answers that one before it ends.
func TestServe(t *testing.T) {
	var out strings.Builder
	started, finish := make(chan string, 1), make(chan string)
	work := startExecutor(t, started, finish)
	watched := make(chan string, 100)
	c := newConfigFile(t, startDiscovery(t, work, "the first", watched))
	ctx, stop := context.WithCancel(context.Background())
	ended, reloads := make(chan error, 1), make(chan os.Signal)
	go func() { ended <- c.serve(ctx, reloads) }()

	for ready := false; !ready; time.Sleep(time.Millisecond) {
		select {
		case err := <-ended:
			t.Fatal("the node ended before it was ready: ", err)
		default:
		}
		if a, err := http.Get("http://" + c.listen + "/-/ready"); err == nil {
			a.Body.Close()
			ready = a.StatusCode == http.StatusOK
		}
	}
	submit := func(id, body string) string {
		request, _ := http.NewRequest("POST", "http://"+c.listen+"/api/7f?q="+id, strings.NewReader(body))
		request.Header = http.Header{"X-Call-Id": {id}, "X-Call-Class": {"board-read"}, "X-Budget-Ms": {"60000"},
			"X-Call-Cost": {"1000"}}
		a, err := http.DefaultClient.Do(request)
		if err != nil {
			return id + ": " + err.Error()
		}
		defer a.Body.Close()
		text, _ := io.ReadAll(a.Body)
		return fmt.Sprintf("%s: %d %s", id, a.StatusCode, text)
	}
	out.WriteString(submit("j1", "first") + "\n" + submit("j2", "second") + "\n")
	waited := make(chan string, 1)
	go func() { waited <- submit("j3", "wait") }()
	select {
	case id := <-started:
		out.WriteString(id + " is in flight\nreload, then shutdown\n")
	case early := <-waited:
		t.Fatal("answered before the executor completed it: ", early)
	}
	fmt.Fprintln(&out, <-watched)
	if err := os.WriteFile(c.file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	reloads <- syscall.SIGHUP
	c.rewrite(startDiscovery(t, work, "the second", watched))
	reloads <- syscall.SIGHUP // accepted only after the reload above, which changed nothing
	news := []string{<-watched, <-watched}
	slices.Sort(news) // they come in either order
	fmt.Fprintln(&out, "reloaded:", news)
	stop()
	finish <- ""
	out.WriteString(<-waited + "\n")
	fmt.Fprintln(&out, "ended:", <-ended)
	golden.Compare(t, "serve.txt", out.String())
}

// TestServeAddressInUse checks that serve returns an error if the address for clients is in use.
func TestServeAddressInUse(t *testing.T) {
	c := newConfigFile(t, "127.0.0.1:1")
	l, err := net.Listen("tcp", c.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	err = c.serve(context.Background(), nil)
	if err == nil || !strings.HasPrefix(err.Error(), "listen ") {
		t.Errorf("error %v, want one of listen", err)
	}
}
