package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Host and prefix of the only queue.
const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
)

// Amounts of the site.
const (
	siteWorkers = 8
	workerCPU   = 32000
)

// zones are those of the site.
var zones = []string{"norte-a", "norte-b"}

// program is one process of the project.
type program struct {
	name   string
	args   []string
	log    string
	record *recorder
	cmd    *exec.Cmd
}

// site is a small installation on loopback addresses.
type site struct {
	repo    string
	dir     string
	net     string // the first three parts of its addresses
	record  *recorder
	store   *store
	address string // of the store
	entries []*program
	agents  []*program
	workers []*worker
}

func newSite(repo string, rec *recorder) (*site, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &site{repo: repo, dir: dir, record: rec, store: newStore()}
	s.net = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 10+rand.IntN(200))
	l, err := net.Listen("tcp", s.net+"2:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	srv := &http.Server{Handler: s.store.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	s.store.put("op", "config", base64.StdEncoding.EncodeToString([]byte(operatorConfig)))
	return s, nil
}

// operatorConfig is the operator's configuration: one queue of one service.
const operatorConfig = `{"version":7,"routes":[{"name":"r-wrr6x73","host":"nony24.example","path_prefix":"/lohu930/",` +
	`"kind":"unsafe","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"huvo11a","max_attempts":4,"stretch":1.5}],` +
	`"services":[{"name":"huvo11a"}],"limits":{}}`

func (s *site) ip(n int) string { return fmt.Sprintf("%s%d", s.net, n) }

// addEntry starts an entry in a zone.
func (s *site) addEntry(zone string) error {
	n := len(s.entries)
	ip := s.ip(10 + n)
	p, err := s.program("entry", fmt.Sprintf("front-%s-%d", zone, n+1), map[string]string{
		"zone": zone, "ip": ip, "limits.cpu_share": "0.4", "limits.memory_mb": "284", "listen.front": ip + ":8161",
		"listen.ready": ip + ":8167", "bounds.visible_ms": "3000",
	})
	if err != nil {
		return err
	}
	s.entries = append(s.entries, p)
	return p.start()
}

// addWorker starts a worker and its agent in a zone.
func (s *site) addWorker(zone string, cpu int64) error {
	n := len(s.workers)
	ip := s.ip(100 + n)
	w := newWorker(n, zone, ip, cpu, s.record)
	s.workers = append(s.workers, w)
	if err := w.start(); err != nil {
		return err
	}
	p, err := s.program("agent", fmt.Sprintf("side-%s-%d", zone, n+1), map[string]string{
		"zone": zone, "ip": ip, "limits.memory_mb": "152", "listen.control": w.beats, "app": w.addr,
	})
	if err != nil {
		return err
	}
	s.agents = append(s.agents, p)
	return p.start()
}

// startAll starts an entry in each zone, and the workers with their agents. There are so many that
// one machine of the system, and one worker, is no larger a share than a disturbance of the users'
// site may have.
func (s *site) startAll() error {
	for _, z := range zones {
		if err := s.addEntry(z); err != nil {
			return err
		}
	}
	for i := range siteWorkers {
		if err := s.addWorker(zones[i%len(zones)], workerCPU); err != nil {
			return err
		}
	}
	if !s.awaitReady(20 * time.Second) {
		return errNotRun
	}
	return nil
}

// program returns a process of a role with its settings, made from the role's template.
func (s *site) program(role, node string, values map[string]string) (*program, error) {
	b, err := os.ReadFile(filepath.Join(s.repo, "deploy", role+".toml"))
	if err != nil {
		return nil, err
	}
	values["node"], values["platform.address"] = node, s.address
	path := filepath.Join(s.dir, node+".toml")
	if err := os.WriteFile(path, []byte(render(string(b), values)), 0o600); err != nil {
		return nil, err
	}
	return &program{
		name: node, args: []string{filepath.Join(s.repo, "target", "jayloft"), role, "-config", path},
		log: filepath.Join(s.dir, node+".log"), record: s.record,
	}, nil
}

var (
	zoneList = regexp.MustCompile(`\{\{#zones\}\}.*?\{\{/zones\}\}`)
	section  = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	value    = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
)

// render fills in a template as the platform does, as far as the project's templates need it.
func render(text string, values map[string]string) string {
	text = zoneList.ReplaceAllString(text, `"`+strings.Join(zones, `", "`)+`"`)
	text = section.ReplaceAllStringFunc(text, func(m string) string {
		parts := section.FindStringSubmatch(m)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return value.ReplaceAllStringFunc(text, func(m string) string { return values[strings.Trim(m, "{}")] })
}

func (p *program) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.record.add("%s starts", p.name)
	return p.cmd.Start()
}

// kill ends the process at once.
func (p *program) kill() {
	p.record.add("%s is killed", p.name)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after grace_s.
func (p *program) stop() {
	p.record.add("%s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	t := time.AfterFunc(6*time.Second, func() { _ = p.cmd.Process.Kill() })
	defer t.Stop()
	_ = p.cmd.Wait()
}

// freeze halts the process for a while.
func (p *program) freeze(d time.Duration) {
	p.record.add("%s is frozen for %s", p.name, d)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.record.add("%s goes on", p.name)
}

// close ends all processes of the site.
func (s *site) close() {
	for _, p := range append(s.entries, s.agents...) {
		if p.cmd != nil && p.cmd.ProcessState == nil {
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// awaitReady waits until each entry is ready and has heard the agents.
func (s *site) awaitReady(limit time.Duration) bool {
	return await(limit, func() bool {
		for i := range s.entries {
			if code, _ := request(http.MethodGet, "http://"+s.ip(10+i)+":8167/ready", ""); code != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// call sends a request about a job to an entry.
func (s *site) call(entry int, method, id, body string) (int, string) {
	code, text := request(method, "http://"+s.ip(10+entry)+":8161"+queuePrefix+id, body)
	s.record.add("%s %s at entry %d: %d %s", method, id, entry+1, code, text)
	return code, text
}

// submit hands a job in until it is accepted.
func (s *site) submit(id, spec string, step map[string]any) bool {
	body, _ := json.Marshal(map[string]any{"task_spec": spec, "steps": []any{step}})
	for i := range 10 {
		if code, _ := s.call(i%len(s.entries), http.MethodPost, id, string(body)); code == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// request sends a request of a requester and returns the status, 0 if there is no answer.
func request(method, url, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(b))
}

// await polls a condition until it holds, and reports false after a time.
func await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// snapshot returns all runs and stop orders of all workers.
func (s *site) snapshot() (runs []run, stops []stopOrder) {
	for _, w := range s.workers {
		r, o := w.snapshot()
		runs, stops = append(runs, r...), append(stops, o...)
	}
	return runs, stops
}
