package capacity

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"oatfold/internal/lab/gossip"
	"oatfold/internal/peers/members"
)

// Loss names what a fleet loses at once.
type Loss string

// Kinds of losses. The zone of a member is its number modulo the number of zones.
const (
	OneMember Loss = "member" // one member dies
	Rack      Loss = "rack"   // RackSize consecutive members die, at most a quarter of the fleet
	Zone      Loss = "zone"   // all members of one zone die
	Region    Loss = "region" // the members of two zones are partitioned from all others for PartitionDuration
)

// Losses lists all losses in the order of the report.
var Losses = []Loss{OneMember, Rack, Zone, Region}

// Shape of the fleets, and the phases of a run.
const (
	RackSize          = 40
	lossZones         = 8
	PartitionDuration = 2 * time.Minute

	settleTime             = 20 * time.Second  // before the loss
	deathObservation       = 60 * time.Second  // after a death
	rejoinObservation      = 120 * time.Second // after a partition has healed
	agreementCheckInterval = members.Period
)

// MinFleetSize is the smallest fleet that a loss can be simulated in: two members per zone.
const MinFleetSize = 2 * lossZones

// ErrInvalidLoss is returned for an unknown loss or a fleet that is too small.
var ErrInvalidLoss = errors.New("capacity: invalid loss")

// Outcome is the result of one loss: a row of the Parquet file. Times count from the loss; for
// Region, AgreedSeconds counts from the end of the partition.
type Outcome struct {
	Loss        Loss    `parquet:"loss,dict"`
	Members     int32   `parquet:"members"`
	LostMembers int32   `parquet:"lost"`      // members that died or were partitioned
	GossipLoss  float64 `parquet:"note_loss"` // share of gossip messages that are dropped
	Seed        uint64  `parquet:"seed"`

	// MedianSeconds is the time until half of the pairs (survivor, lost member) are detected; -1: never.
	MedianSeconds        float64 `parquet:"median_s"`
	P99Seconds           float64 `parquet:"p99_s"`    // until 99% of the pairs are detected; -1: never
	AgreedSeconds        float64 `parquet:"agreed_s"` // until all members agree on who is alive; -1: not by the end
	FalseDeaths          int32   `parquet:"false"`    // live members declared dead by a member on their own side
	BytesPerSecondBefore float64 `parquet:"calm_bytes_s"`
	BytesPerSecondAfter  float64 `parquet:"after_bytes_s"` // sent by each survivor, from the loss to the end
}

// RunLoss simulates one loss in a fleet of the given size. gossipLoss is the share of gossip
// messages that are dropped. It returns ErrInvalidLoss for an unknown loss and for fewer than
// MinFleetSize members.
func RunLoss(loss Loss, size int, gossipLoss float64, seed uint64) (Outcome, error) {
	if size < MinFleetSize || !slices.Contains(Losses, loss) {
		return Outcome{}, fmt.Errorf("%w: %q among %d members, at least %d needed", ErrInvalidLoss, loss, size,
			MinFleetSize)
	}
	simulation := gossip.New(gossip.Config{Relays: size, Zones: lossZones, Loss: gossipLoss, Seed: seed})
	lost := loss.lostMembers(size)
	observer := &lossObserver{lost: lost, detected: map[[2]int]bool{}}
	simulation.OnChange = observer.observe
	simulation.Run(settleTime / 2)
	bytesAtStart := bytesSent(simulation, lost)
	simulation.Run(settleTime)
	bytesAtLoss := bytesSent(simulation, lost)
	observer.lossAt, observer.active = simulation.Now, true

	agreementStart, end := simulation.Now, simulation.Now+deathObservation
	if loss == Region {
		simulation.Blocked = func(from, to int) bool { return lost[from] != lost[to] }
		simulation.Run(simulation.Now + PartitionDuration)
		simulation.Blocked = nil
		agreementStart, end = simulation.Now, simulation.Now+rejoinObservation
	} else {
		for n := range lost {
			simulation.Kill(n)
		}
	}
	agreed := runUntilAgreement(simulation, end)
	simulation.Run(end)

	survivors := float64(size - len(lost))
	out := Outcome{
		Loss:          loss,
		Members:       int32(size),
		LostMembers:   int32(len(lost)),
		GossipLoss:    gossipLoss,
		Seed:          seed,
		FalseDeaths:   int32(observer.falseDeaths),
		AgreedSeconds: -1,
	}
	out.BytesPerSecondBefore = float64(bytesAtLoss-bytesAtStart) / survivors / (settleTime / 2).Seconds()
	out.BytesPerSecondAfter = float64(bytesSent(simulation, lost)-bytesAtLoss) / survivors /
		(end - observer.lossAt).Seconds()
	if agreed >= 0 {
		out.AgreedSeconds = (agreed - agreementStart).Seconds()
	}
	out.MedianSeconds, out.P99Seconds = observer.timeToDetect(size, 0.5), observer.timeToDetect(size, 0.99)
	return out, nil
}

// lostMembers returns the numbers of the members that a loss takes from a fleet.
func (l Loss) lostMembers(size int) map[int]bool {
	lost := map[int]bool{}
	for n := range size {
		zone := n % lossZones
		switch l {
		case OneMember:
			lost[n] = n == size/2
		case Rack:
			lost[n] = n < min(RackSize, size/4)
		case Zone:
			lost[n] = zone == 0
		case Region:
			lost[n] = zone < 2
		}
		if !lost[n] {
			delete(lost, n)
		}
	}
	return lost
}

// bytesSent returns the bytes that the survivors have sent so far.
func bytesSent(simulation *gossip.Simulation, lost map[int]bool) (bytes int) {
	for n, node := range simulation.Nodes {
		if !lost[n] {
			bytes += node.BytesSent
		}
	}
	return bytes
}

// runUntilAgreement runs a fleet until all members agree on who is alive and returns the time; -1
// if they do not agree by the end.
func runUntilAgreement(simulation *gossip.Simulation, end time.Duration) time.Duration {
	for simulation.Now < end {
		simulation.Run(simulation.Now + agreementCheckInterval)
		if ok, _, _ := simulation.CheckAgreement(); ok {
			return simulation.Now
		}
	}
	return -1
}

// lossObserver records when survivors detect lost members.
type lossObserver struct {
	active      bool
	lossAt      time.Duration
	lost        map[int]bool
	detected    map[[2]int]bool // pairs (observer, lost member)
	delays      []time.Duration
	falseDeaths int
}

func (o *lossObserver) observe(e gossip.Event) {
	if !o.active || e.To != members.Dead {
		return
	}
	if o.lost[e.Observer] == o.lost[e.Number] {
		o.falseDeaths++ // both are on the same side; dead members observe nothing
		return
	}
	pair := [2]int{e.Observer, e.Number}
	if o.lost[e.Observer] || o.detected[pair] {
		return
	}
	o.detected[pair] = true
	o.delays = append(o.delays, e.At-o.lossAt)
}

// timeToDetect returns the seconds until a share of all pairs was detected; -1: never.
func (o *lossObserver) timeToDetect(size int, share float64) float64 {
	pairs := (size - len(o.lost)) * len(o.lost)
	needed := int(float64(pairs)*share + 0.5)
	if needed < 1 || len(o.delays) < needed {
		return -1
	}
	slices.Sort(o.delays)
	return o.delays[needed-1].Seconds()
}
