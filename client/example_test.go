package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"oatfold/client"
)

// Send submits a charge that must not run twice, and returns its result.
func ExampleClient_Send() {
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(202) }))
	defer relay.Close()
	c, err := client.New(client.Config{Relays: []string{relay.Listener.Addr().String()}})
	if err != nil {
		panic(err)
	}
	defer c.Close()
	res, err := c.Send(context.Background(), client.Message{Class: "fee-charge", Dest: 7, Effect: client.Unsafe,
		Key: "invoice-41", TimeLeft: 15 * time.Second, Body: []byte(`{"amount":12}`)})
	fmt.Println(res.Outcome, res.HandIns, err)
	// Output: taken 1 <nil>
}

// A Retry-After that is longer than the time left ends the message at once.
func ExampleError() {
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(503)
	}))
	defer relay.Close()
	c, err := client.New(client.Config{Relays: []string{relay.Listener.Addr().String()}})
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, err = c.Send(context.Background(), client.Message{Class: "price-alert", Dest: 7, Effect: client.Safe,
		TimeLeft: time.Second})
	var e *client.Error
	if errors.As(err, &e) {
		fmt.Println(e.Outcome, e.Status, e.Wait, errors.Is(err, client.ErrGivenUp))
	}
	// Output: given_up 503 30s true
}

// HandIn submits many messages without a goroutine for each in the caller; it blocks while too many
// have no result.
func ExampleClient_HandIn() {
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(202) }))
	defer relay.Close()
	c, err := client.New(client.Config{Relays: []string{relay.Listener.Addr().String()}, MaxInFlight: 2})
	if err != nil {
		panic(err)
	}
	taken := make(chan bool, 3)
	for n := range 3 {
		err := c.HandIn(context.Background(), client.Message{Class: "price-alert", Dest: n, Effect: client.Safe,
			TimeLeft: 5 * time.Second},
			func(r client.Result, err error) { taken <- err == nil })
		if err != nil {
			panic(err)
		}
	}
	err = c.Flush(context.Background())
	c.Close()
	fmt.Println(err, <-taken, <-taken, <-taken)
	// Output: <nil> true true true
}
