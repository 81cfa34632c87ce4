package stand

import "time"

// config is what options set.
type config struct {
	classes  map[string]Class
	services map[string]Service
	journal  *Journal
	clock    func() time.Time
	store    Store
	budget   *Budget
	seed     uint64
}

// Option changes how a stand-in is built.
type Option func(*config)

// WithClass adds a batch class.
func WithClass(name string, c Class) Option { return func(g *config) { g.classes[name] = c } }

// WithService adds a service.
func WithService(name string, s Service) Option { return func(g *config) { g.services[name] = s } }

// WithJournal records in j rather than in a journal of its own.
func WithJournal(j *Journal) Option { return func(g *config) { g.journal = j } }

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option { return func(g *config) { g.clock = now } }

// WithStore sets where a worker keeps checkpoints and finds inputs.
func WithStore(s Store) Option { return func(g *config) { g.store = s } }

// WithBudget replaces the platform's budget of calls.
func WithBudget(b *Budget) Option { return func(g *config) { g.budget = b } }

// WithSeed sets the seed of the random choices that faults make.
func WithSeed(n uint64) Option { return func(g *config) { g.seed = n } }

func newConfig(opts []Option) config {
	g := config{
		classes:  map[string]Class{"sleep": Sleep()},
		services: map[string]Service{},
		journal:  new(Journal),
		clock:    time.Now,
	}
	for _, o := range opts {
		o(&g)
	}
	return g
}
