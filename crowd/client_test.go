package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// What the clients send.
const (
	headBytes  = 900_000 // of a head, of which the end never comes
	bodyBytes  = 250_000 // of a body, of which the last missing bytes never come
	missing    = 87
	pieces     = 10 // of a body that comes piece by piece
	chunkBytes = 60_000
	tinyBytes  = 5 // of a small chunk
	tinyChunks = 40_000
	// sendTimeout ends a write that nobody reads: the process does without the rest.
	sendTimeout = 20 * time.Second
)

// target is what a crowd sends its requests to.
type target struct {
	addr   netip.AddrPort
	method string
	path   string
}

// head returns the first line and the host of a request.
func (g target) head() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", g.method, g.path, g.addr)
}

// A script yields what one client sends, part by part, before it stops and stays connected.
type script func(g target, send func(string) bool)

// scripts are the kinds of clients that the crowds consist of.
var scripts = map[string]script{
	"heads without end": func(g target, send func(string) bool) {
		for ok, n := send(g.head()), 0; ok && n < headBytes; n += 8000 {
			ok = send(fmt.Sprintf("X-Filler-%d: %s\r\n", n, strings.Repeat("h", 7980)))
		}
	},
	"one header line without end": func(g target, send func(string) bool) {
		for ok, n := send(g.head()+"X-Filler: "), 0; ok && n < headBytes; n += 8000 {
			ok = send(strings.Repeat("h", 8000))
		}
	},
	"empty lines": func(_ target, send func(string) bool) {
		for ok, n := true, 0; ok && n < headBytes; n += 8000 {
			ok = send(strings.Repeat("\r\n", 4000))
		}
	},
	"bodies": func(g target, send func(string) bool) {
		send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n{%s", g.head(), bodyBytes, strings.Repeat(" ", bodyBytes-missing-1)))
	},
	"bodies in pieces": func(g target, send func(string) bool) {
		const piece = (bodyBytes - missing) / pieces
		for ok, n := send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", g.head(), bodyBytes)), 0; ok && n < pieces; n++ {
			ok = send(strings.Repeat(" ", piece))
			time.Sleep(10 * time.Millisecond)
		}
	},
	"large chunks": func(g target, send func(string) bool) {
		for ok, n := send(g.head()+"Transfer-Encoding: chunked\r\n\r\n"), 0; ok && n < bodyBytes-chunkBytes; n += chunkBytes {
			ok = send(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat(" ", chunkBytes)))
		}
	},
	"tiny chunks": func(g target, send func(string) bool) {
		tiny := fmt.Sprintf("%x\r\n%s\r\n", tinyBytes, strings.Repeat(" ", tinyBytes))
		for ok, n := send(g.head()+"Transfer-Encoding: chunked\r\n\r\n"), 0; ok && n < tinyChunks; n += 1000 {
			ok = send(strings.Repeat(tiny, 1000))
		}
	},
}

// crowd is a number of clients that stay connected until they are dismissed.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	stop  context.CancelFunc
}

// gather connects n clients and returns when each has sent all that it can.
func gather(g target, n int, s script) *crowd {
	c := &crowd{stop: func() {}}
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", g.addr.String(), callTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			s(g, func(part string) bool {
				_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
				_, err := io.WriteString(conn, part)
				return err == nil
			})
		})
	}
	wg.Wait()
	return c
}

// streamsPerConn is the number of requests at a time on each HTTP/2 connection of a crowd.
const streamsPerConn = 30

// gatherStreams opens n HTTP/2 requests whose bodies stop short of their end.
func gatherStreams(g target, n int) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{stop: cancel}
	var wg sync.WaitGroup
	for i := 0; i < n; i += streamsPerConn {
		var ps http.Protocols
		ps.SetUnencryptedHTTP2(true)
		t := &http.Transport{Protocols: &ps, MaxConnsPerHost: 1}
		for range streamsPerConn {
			body := &stalledBody{sent: make(chan struct{}), ctx: ctx, left: bodyBytes - missing}
			r, _ := http.NewRequestWithContext(ctx, g.method, "http://"+g.addr.String()+g.path, body)
			r.Header.Set("Content-Type", "application/json")
			go func() {
				if res, err := t.RoundTrip(r); err == nil {
					_ = res.Body.Close()
				}
				body.once.Do(func() { close(body.sent) })
			}()
			wg.Go(func() {
				select {
				case <-body.sent:
				case <-time.After(sendTimeout):
				}
			})
		}
	}
	wg.Wait()
	return c
}

// stalledBody is a body that stops short of its end.
type stalledBody struct {
	ctx  context.Context
	left int
	sent chan struct{} // closed when it stops
	once sync.Once
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.once.Do(func() { close(b.sent) })
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := min(len(p), b.left)
	for i := range p[:n] {
		p[i] = ' '
	}
	b.left -= n
	return n, nil
}

// dismiss closes all connections.
func (c *crowd) dismiss() {
	c.stop()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
