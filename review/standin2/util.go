package main

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
)

func encodeBase64(b []byte) string { return base64.StdEncoding.EncodeToString(b) }

func compareText(a, b string) int { return cmp.Compare(a, b) }

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, code int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// An error means that the peer has closed the connection.
	_, _ = w.Write(b)
}

// loopback is the address of this run. Calls go out from 127.0.0.1, so that their ports are
// never those that freeAddr has found here.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(254), 1+rand.IntN(254))

// listen returns a listener on a free port of the loopback interface.
func listen() (net.Listener, error) { return net.Listen("tcp", loopback+":0") }

// freeAddr returns a loopback address whose port is free.
func freeAddr() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// serve serves a handler on a free port and returns its address.
func serve(h http.Handler) (*http.Server, string, error) {
	l, err := listen()
	if err != nil {
		return nil, "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readTimeout}
	go func() { _ = srv.Serve(l) }()
	return srv, l.Addr().String(), nil
}
