package load

import (
	"encoding/json"
	"fmt"

	"jayloft/work"
)

// orders is the number of different proofs that are asked for.
const orders = 64

// ask is a request's body with the one answer that is right.
type ask struct{ body, want []byte }

// pool holds the requests of one service. Each answer repeats what was asked,
// so an answer that equals want is whole and the request's own.
type pool struct{ asks []ask }

func (p *pool) at(n int) ask { return p.asks[n%len(p.asks)] }

// newPools returns the requests of the services that the loads name.
func newPools(x Experiment) (map[string]*pool, error) {
	make := map[string]func() (*pool, error){"lookup": lookups, "proof": proofs, "printwatch": watches}
	pools := map[string]*pool{}
	for _, l := range x.Loads {
		f, ok := make[l.Service]
		if !ok {
			return nil, fmt.Errorf("load %s: no requests are known for the service %q", l.Name, l.Service)
		}
		p, err := f()
		if err != nil {
			return nil, err
		}
		pools[l.Service] = p
	}
	return pools, nil
}

// lookups asks for every word of the example's slips.
func lookups() (*pool, error) {
	slips, err := readSlips()
	if err != nil {
		return nil, err
	}
	ix, p, seen := work.NewIndex(slips), &pool{}, map[string]bool{}
	for _, s := range slips {
		if seen[s.Headword] {
			continue
		}
		seen[s.Headword] = true
		if err := p.add(work.Lookup{Word: s.Headword}, ix.Answer); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func proofs() (*pool, error) {
	p := &pool{}
	for n := range orders {
		o := work.Order{
			ID: fmt.Sprintf("A-%d", n), Club: fmt.Sprintf("Club %d", n), Jersey: "road",
			Colour: fmt.Sprintf("#%06x", n*4099%0xffffff), Sizes: map[string]int{"M": 1 + n%7, "L": 2},
		}
		if err := p.add(o, work.Proof); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func watches() (*pool, error) {
	p := &pool{}
	for n := range orders {
		body := fmt.Sprintf("dye-%d:%d,dye-%d:0", n, n%9+1, n+1)
		out, err := work.PrintWatch(body)
		if err != nil {
			return nil, err
		}
		p.asks = append(p.asks, ask{[]byte(body), []byte(out)})
	}
	return p, nil
}

func (p *pool) add(v any, answer func([]byte) ([]byte, error)) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	want, err := answer(body)
	if err != nil {
		return err
	}
	p.asks = append(p.asks, ask{body, want})
	return nil
}
