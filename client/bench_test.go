package client_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"oatfold/client"
)

// acceptingServer starts a server that accepts every request, and returns its address.
func acceptingServer(b *testing.B) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(202)
	}))
	b.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

var benchBody = bytes.Repeat([]byte("x"), 212)

// BenchmarkHandIn measures sequential messages sent by the library.
func BenchmarkHandIn(b *testing.B) {
	c := newClient(b, client.Config{Relays: []string{acceptingServer(b)}})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Send(context.Background(), client.Message{Class: "fee-charge", Dest: 7, Key: "k",
			TimeLeft: 15 * time.Second, Body: benchBody}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkBarePost measures the same requests sent by net/http, which may resend one without
// telling.
func BenchmarkBarePost(b *testing.B) {
	url := "http://" + acceptingServer(b) + "/fee-charge"
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		req, err := http.NewRequest("POST", url, bytes.NewReader(benchBody))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", n))
		req.Header.Set("X-Time-Left-Ms", "15000")
		req.Header.Set("Envelope", "dest=7")
		req.Header.Set("Idempotency-Key", "k")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}
