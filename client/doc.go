// Package client submits messages to oatfold relays. Each message has exactly one result, even when
// relays reject requests, restart or stop answering.
//
//	c, err := client.New(client.Config{Relays: []string{"10.0.0.4:8080", "10.0.0.5:8080"}})
//	...
//	res, err := c.Send(ctx, client.Message{Class: "fee-charge", Dest: 7, Effect: client.Unsafe,
//		TimeLeft: 15 * time.Second, Body: charge})
//
// # Retries
//
// An attempt ([Client.HandIn] calls it a hand-in) is one HTTP request. The library makes each attempt itself: no layer
// below it sends a request twice. Whether a message is retried depends on how far the attempt came and on the effect
// of delivering the message twice:
//
//	stage of the attempt           Safe        Keyed                     Unsafe      X-Repeat of the next attempt
//	no byte was sent               retry       retry                     retry       unchanged
//	the last byte was not sent     retry       retry                     retry       again
//	sent whole, no answer          retry       retry within the window   Uncertain   again
//	200, 202                       Taken       Taken                     Taken
//	429, 503                       retry       retry                     retry       1
//	any other status               Failed      Failed                    Failed
//
// Retries are bounded: two after rejections, Config.Repeats after lost answers, and never past the deadline. Each
// attempt has a new correlation id, the same idempotency key, and states the time left at that moment. A malformed
// answer counts as a lost one. So does one that does not arrive within AnswerTimeout: its connection is closed, and a
// later answer is ignored. After a lost answer every outcome except Taken is Uncertain, since the relay may still
// deliver the message.
//
// A Keyed message is retried only as long as partners drop repeats: the time that a retry states ends with the window,
// counted from the first attempt that may have been accepted. That first attempt may itself be delivered as late as
// the time it stated. Set Config.Strict if it must not run after the window either.
//
// # Rejections
//
// 503 comes from a relay that is out of memory or disk space, which says nothing about other relays: Retry-After
// applies to all messages of this client at that relay, and another relay may be tried at once. 429 comes from the
// limit of a destination, which all relays share: Retry-After applies to all messages to that destination at every
// relay. If the wait is longer than the time left, the message ends at once as GivenUp. Retry-After is read as seconds,
// with or without a fraction. If it is missing, negative or not a number, the library waits 100 to 200 ms, doubled with
// each rejection. Up to a tenth is added to each wait, so that clients don't retry all at once.
//
// # Connections
//
// A relay is down if no connection can be made to it, or if it left two attempts in a row unanswered. No message goes
// there until GET /ready succeeds. A relay that is stopping says so in its answers, and the client leaves it at once.
// After a loss, a new connection waits for a random part of Config.Spread, but no longer than a quarter of the
// message's time left. The span doubles while connecting fails. A rate limit on new connections halves with each loss
// and grows back with each answer.
package client
