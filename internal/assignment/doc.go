// Package assignment decides which relays of a region serve which destinations.
//
// Destinations are hashed into partitions, and a Map assigns each partition to a few relays, its
// replicas, in at least two zones. One control node at a time, the publisher, plans the next map; a
// majority of the control nodes has to accept it before it is published (Register), so versions are
// totally ordered whoever publishes. Relays pull the part that concerns them (Slice), verify it and
// store it on disk; while no control node is reachable they keep using the last one (Follower).
//
// Each region has its own map and control nodes: regions that are partitioned from each other keep
// changing their maps and have nothing to merge afterwards.
//
// The package does no I/O and reads no clock: times are arguments, bytes go in and out. Each value
// is owned by one goroutine; a published Map and a Slice are immutable and may be read
// concurrently. It never delivers, stores or routes a message: that is up to its callers.
package assignment
