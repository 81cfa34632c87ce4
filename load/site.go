package load

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"path"
	"strconv"
	"strings"
	"time"

	"jayloft/config"
	"jayloft/core"
	sample "jayloft/examples"
	"jayloft/io"
	"jayloft/query"
	"jayloft/stand"
	"jayloft/wire"
	"jayloft/work"
)

const (
	prepareTime = 30 * time.Second // until a site serves
	usageLag    = 3 * time.Second  // age of the usage that workers report
	pollEvery   = 100 * time.Millisecond
	entryPrefix = "entry-"
)

// anyPort is a free port on loopback.
var anyPort = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// Site is a whole deployment in this process, on loopback: entries, agents and
// the stand-ins beside them.
type Site struct {
	platform *stand.Platform
	store    *host // of the platform
	vms      []*vm
	entries  []*entry
	operator *operator
	policy   []core.Option
}

// NewSite starts the site that the experiment names.
func NewSite(x Experiment, policy ...core.Option) (*Site, error) {
	s := &Site{platform: stand.NewPlatform(stand.WithSeed(x.Seed)), policy: policy}
	err := s.open(x)
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) open(x Experiment) error {
	if err := s.preload(x.Site); err != nil {
		return err
	}
	var err error
	if s.store, err = newHost(anyPort, s.platform.Handler()); err != nil {
		return err
	}
	for n := 1; n <= cmpOr(x.Entries, 3); n++ {
		e := &entry{name: entryPrefix + strconv.Itoa(n), table: s.store.addr(), policy: s.policy}
		if err := e.boot(); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	s.operator = newOperator(s.peers())
	return s.openWorkers(x)
}

func cmpOr(n, other int) int {
	if n > 0 {
		return n
	}
	return other
}

// preload makes objects of the site's files.
func (s *Site) preload(site string) error {
	dir := path.Join(site, "objects")
	err := fs.WalkDir(sample.Files, dir, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		b, err := sample.Files.ReadFile(name)
		if err == nil {
			s.platform.Objects.Preload(strings.TrimPrefix(name, dir+"/"), b)
		}
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		return nil // the site has none
	}
	return err
}

// openWorkers starts the workers with their agents.
func (s *Site) openWorkers(x Experiment) error {
	slips, err := readSlips()
	if err != nil {
		return err
	}
	f, err := readSettings(path.Join(x.Site, "stand.toml"))
	if err != nil {
		return err
	}
	n := len(f.Stand.Workers)
	if x.Workers > 0 {
		n = min(n, x.Workers)
	}
	for i, w := range f.Stand.Workers[:n] {
		v := &vm{
			worker: w.Name, dc: w.DC, rack: w.Rack, entries: s.peers(), policy: s.policy,
			slots: cmpOr(x.Slots, w.Slots),
		}
		opts := append(stand.Standard(slips), stand.WithSeed(x.Seed+uint64(i)), stand.WithStore(s.platform.Objects))
		v.stand = stand.NewWorker(stand.Spec{
			Worker: w.Name, Capacity: w.Size, Slots: v.slots, Services: w.Services, Lag: usageLag,
		}, opts...)
		s.vms = append(s.vms, v)
		if v.inner, err = newHost(anyPort, v.stand.Handler()); err != nil {
			return err
		}
		if err := v.boot(); err != nil {
			return err
		}
	}
	return nil
}

func readSettings(name string) (config.File, error) {
	b, err := sample.Files.ReadFile(name)
	if err != nil {
		return config.File{}, err
	}
	return config.Parse(name, b)
}

func readSlips() ([]work.Slip, error) {
	b, err := sample.Files.ReadFile(sample.Slips)
	if err != nil {
		return nil, err
	}
	return work.ParseSlips(sample.Slips, string(b))
}

// Prepare runs the site's own statements and those of the experiment, and
// waits until every entry knows all workers.
func (s *Site) Prepare(ctx context.Context, x Experiment) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTime)
	defer cancel()
	b, err := sample.Files.ReadFile(path.Join(x.Site, "setup.jay"))
	if err != nil {
		return err
	}
	stmts, err := query.ParseAll(string(b)+"\n"+strings.Join(x.Setup, "\n"), time.Now())
	if err != nil {
		return fmt.Errorf("setup: %w", err)
	}
	for i, st := range stmts {
		req := &wire.DoRequest{Id: fmt.Sprintf("setup-%d", i), Statement: st.Text}
		if _, err := s.operator.ask(ctx, req); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := s.await(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// await waits until an entry knows all workers and their services.
func (s *Site) await(ctx context.Context, e *entry) error {
	o := newOperator([]netip.AddrPort{e.peers.addr()})
	defer o.close()
	want := strconv.Itoa(len(s.vms))
	for {
		workers, err := o.ask(ctx, &wire.DoRequest{Statement: "show workers where state = open"})
		if err == nil && len(workers.GetRows()) == len(s.vms) {
			services, err := o.ask(ctx, &wire.DoRequest{Statement: "show services where endpoints != " + want})
			if err == nil && len(services.GetRows()) == 0 {
				return nil
			}
		}
		if !wait(ctx, time.Now().Add(pollEvery)) {
			return fmt.Errorf("%s doesn't know all %s workers after %s: it has %v", e.name, want, prepareTime, workers.GetRows())
		}
	}
}

// Callers returns where entries take callers' requests.
func (s *Site) Callers() []netip.AddrPort {
	var as []netip.AddrPort
	for _, e := range s.entries {
		as = append(as, e.callers.addr())
	}
	return as
}

func (s *Site) peers() []netip.AddrPort {
	var as []netip.AddrPort
	for _, e := range s.entries {
		as = append(as, e.peers.addr())
	}
	return as
}

// Close ends all at once.
func (s *Site) Close() {
	for _, v := range s.vms {
		v.kill()
		v.inner.kill()
		v.stand.Close()
	}
	for _, e := range s.entries {
		e.kill()
	}
	if s.operator != nil {
		s.operator.close()
	}
	s.store.kill()
}

// entry is an entry that can be killed and booted anew.
type entry struct {
	name           string
	table          netip.AddrPort
	policy         []core.Option
	lives          int
	server         *io.EntryServer
	client         *io.Table
	callers, peers *host
}

// boot starts a new life, at the addresses of the one before.
func (e *entry) boot() error {
	e.lives++
	var err error
	if e.peers, err = e.peers.again(); err != nil {
		return err
	}
	if e.callers, err = e.callers.again(); err != nil {
		return err
	}
	e.client = io.NewTable(e.table)
	site := core.EntryIdentity{ID: core.EntryID(fmt.Sprintf("%s-%d", e.name, e.lives)), Addr: e.peers.addr()}
	e.server = io.NewEntry(site, e.client, io.WithPolicy(e.policy...))
	e.peers.serve(e.server.Peers())
	e.callers.serve(e.server.Callers())
	e.server.Start()
	return nil
}

// kill ends the entry as a crash would.
func (e *entry) kill() {
	if e.server != nil {
		e.server.Close()
	}
	e.peers.kill()
	e.callers.kill()
	if e.client != nil {
		e.client.Close()
	}
}
