package work

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"html"
	"regexp"
	"slices"
	"strings"
)

// Order is a request for a proof of a club's jersey.
type Order struct {
	ID     string         `json:"order"`
	Club   string         `json:"club"`
	Jersey string         `json:"jersey"` // name of the model
	Colour string         `json:"colour"` // as in #1a2b3c
	Sizes  map[string]int `json:"sizes"`
}

// ProofResult is the answer to an Order. It repeats the order's id, so that
// a caller can match the answer to its request.
type ProofResult struct {
	ID      string `json:"order"`
	Jerseys int    `json:"jerseys"`
	SVG     string `json:"svg"`
}

var colour = regexp.MustCompile(`^#[0-9a-fA-F]{6}$`)

// defaultColour applies to orders without a colour.
const defaultColour = "#d8d8d8"

// Proof takes an Order as JSON and returns a ProofResult as JSON. It returns an
// error if the order is malformed or invalid.
func Proof(body []byte) ([]byte, error) {
	var o Order
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, jsonError("proof", body, err)
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.Colour == "" {
		o.Colour = defaultColour
	}
	p := ProofResult{ID: o.ID, SVG: o.render()}
	for _, n := range o.Sizes {
		p.Jerseys += n
	}
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	err := enc.Encode(p)
	return b.Bytes(), err
}

// check returns all validation errors of the order, joined.
func (o *Order) check() error {
	var errs []error
	if o.ID == "" {
		errs = append(errs, errors.New(`proof: "order" is missing or empty`))
	}
	if o.Club == "" {
		errs = append(errs, errors.New(`proof: "club" is missing or empty`))
	}
	if o.Colour != "" && !colour.MatchString(o.Colour) {
		errs = append(errs, fmt.Errorf(`proof: "colour" is %q, want the form #1a2b3c`, o.Colour))
	}
	for name, n := range o.Sizes {
		if !slices.Contains(sizes, name) || n < 0 || n > maxCount {
			errs = append(errs, fmt.Errorf(`proof: "sizes" has %q: %d`, name, n))
		}
	}
	return errors.Join(errs...)
}

// render draws the jersey with the club's name and the size run.
func (o *Order) render() string {
	var b strings.Builder
	b.WriteString(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 200 240">`)
	fmt.Fprintf(&b, `<path d="M60 20h80l50 40-25 35-20-15v120H55V80L35 95 10 60z" fill="%s"/>`, o.Colour)
	fmt.Fprintf(&b, `<text x="100" y="90" text-anchor="middle">%s</text>`, html.EscapeString(o.Club))
	fmt.Fprintf(&b, `<text x="100" y="110" text-anchor="middle">%s</text>`, html.EscapeString(o.Jersey))
	var run []string
	for _, s := range sizes {
		if n := o.Sizes[s]; n > 0 {
			run = append(run, fmt.Sprintf("%s %d", s, n))
		}
	}
	fmt.Fprintf(&b, `<text x="100" y="230" text-anchor="middle">%s</text></svg>`, strings.Join(run, ", "))
	return b.String()
}
