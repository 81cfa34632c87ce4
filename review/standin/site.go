package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	visibleMS    = 3000
)

// Zones of the users' sites mwj-orders and fichero-citas-large.
var (
	zonesDar   = []string{"dar-kariakoo", "dar-mikocheni", "dar-temeke"}
	zonesNorte = []string{"norte-a", "norte-b", "norte-c"}
)

// site is a small deployment: the project's processes, and stand-ins for the platform, the
// workers and the requesters.
type site struct {
	rec       *record
	book      *book
	store     *store
	workers   []*worker
	requester *requester
	zones     []string
	net       string // first three bytes of all addresses
	dir       string // for settings and logs
	ctx       context.Context
	ready     []string
	procs     []*process
	spawner   chan func()
}

// newSite starts a site and waits until its daemons are ready.
func newSite(ctx context.Context, rec *record, c testCase) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := newBook(rec)
	s := &site{
		rec: rec, book: b, zones: c.zones, store: newStore(rec), requester: &requester{rec: rec, book: b}, dir: dir, ctx: ctx,
		net: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250)), spawner: make(chan func()),
	}
	go s.spawn()
	if err := s.listen(s.addr(1, 8169), s.store); err != nil {
		return s, err
	}
	s.configure(3, "r-wrr6x73")
	for n := range c.entries {
		if err := s.startEntry(n); err != nil {
			return s, err
		}
	}
	for n := range c.workers {
		if err := s.startAgent(n); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

// spawn starts processes on a thread that lives as long as this program, so that the kernel
// ends them when this program ends in any way.
func (s *site) spawn() {
	runtime.LockOSThread()
	for f := range s.spawner {
		f()
	}
}

// addr returns an address on loopback.
func (s *site) addr(host, port int) string {
	return s.net + strconv.Itoa(host) + ":" + strconv.Itoa(port)
}

// listen serves h at an address until the site ends.
func (s *site) listen(addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	go func() { <-s.ctx.Done(); _ = srv.Close() }()
	return nil
}

// configure writes a version of the operator's configuration: one queue of a name, and its
// service.
func (s *site) configure(version int, queue string) {
	s.store.put("config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": queue, "host": hostName, "path_prefix": pathPrefix, "service": serviceName, "priority": 0,
			"max_attempts": 4, "stretch": 1.5, "target_latency_ms": 250, "timeout_ms": timeBudget.Milliseconds(),
		}},
		"services": []map[string]any{{"name": serviceName, "rejects_overload": false}}, "limits": map[string]any{},
	})
}

// startEntry starts a daemon on a front machine.
func (s *site) startEntry(n int) error {
	host := 10 + n
	s.requester.fronts = append(s.requester.fronts, s.addr(host, 8161))
	s.ready = append(s.ready, s.addr(host, 8167))
	zone := s.zones[n%len(s.zones)]
	return s.startProcess("entry", "front-"+zone+"-"+strconv.Itoa(n/len(s.zones)+1), map[string]string{
		"ip": s.net + strconv.Itoa(host), "zone": zone, "limits.cpu_share": "0.4",
		"listen.front": s.addr(host, 8161), "listen.ready": s.addr(host, 8167),
	})
}

// startAgent starts a worker and the daemon on its machine.
func (s *site) startAgent(n int) error {
	host, zone := 40+n, s.zones[n%len(s.zones)]
	w := newWorker(s.book, n, zone, s.addr(100+n, 8080), s.addr(host, 8166))
	if err := s.listen(w.address, w); err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	go w.live(s.ctx)
	return s.startProcess("agent", "side-"+zone+"-"+strconv.Itoa(n/len(s.zones)+1), map[string]string{
		"ip": s.net + strconv.Itoa(host), "zone": zone, "listen.control": w.control, "app": w.address,
	})
}

var (
	zonesSection   = regexp.MustCompile(`\{\{#zones\}\}.*?\{\{/zones\}\}`)
	sectionMarkers = regexp.MustCompile(`\{\{[#/].*?\}\}`)
)

// startProcess starts a process of a role, with the settings that its template makes.
func (s *site) startProcess(role, node string, values map[string]string) error {
	b, err := os.ReadFile(filepath.Join("deploy", role+".toml"))
	if err != nil {
		return err
	}
	text := zonesSection.ReplaceAllString(string(b), `"`+strings.Join(s.zones, `", "`)+`"`)
	text = sectionMarkers.ReplaceAllString(text, "")
	values["node"], values["platform.address"] = node, s.addr(1, 8169)
	values["bounds.visible_ms"] = strconv.Itoa(visibleMS)
	for name, v := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", v)
	}
	path := filepath.Join(s.dir, node+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, node+".log"))
	if err != nil {
		return err
	}
	p := &process{site: s, node: node, args: []string{role, "-config", path}, log: log}
	s.procs = append(s.procs, p)
	return p.start()
}

// awaitReady waits until all daemons on front machines are ready.
func (s *site) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, addr := range s.ready {
		for !isReady(addr) {
			if time.Now().After(end) {
				return fmt.Errorf("not ready within %v", readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.rec.add("all daemons are ready")
	time.Sleep(4 * time.Second) // agents have found the entries by then
	return nil
}

func isReady(addr string) bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// end ends all processes of the site.
func (s *site) end() {
	for _, p := range s.procs {
		p.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}
