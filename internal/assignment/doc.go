// Package assignment decides which relays of a region serve which destinations.
//
// Destinations are hashed into partitions, and a Map assigns each partition to a
// few relays, its replicas, in at least two zones. One control machine at a time
// plans the next map; a majority of all control machines has to accept it before
// it is published (Register), so that versions form one line whoever publishes.
// Relays pull the part that concerns them (Slice), check it and keep it on disk;
// without any control machine they go on by the last one (Follower).
//
// Each region has a map of its own and control machines of its own: regions that
// lose each other go on changing theirs, and have nothing to join afterwards.
//
// The package does no I/O and reads no clock: times are arguments, bytes go in
// and out. Each value is owned by one goroutine; a published Map and a Slice do
// not change any more and may be read by all. It never delivers, holds or routes
// a message: that is up to its callers.
package assignment
