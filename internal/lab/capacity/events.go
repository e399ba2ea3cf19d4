package capacity

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"oatfold/internal/lab/gossip"
	"oatfold/internal/peers/members"
)

// Loss is what a fleet loses at once.
type Loss string

// The losses that are played. A member's zone is its number modulo the number of zones.
const (
	OneMember Loss = "member" // one member dies
	Rack      Loss = "rack"   // RackSize members with numbers in a row die, a quarter of the fleet at most
	Zone      Loss = "zone"   // all members of one zone die
	Region    Loss = "region" // all members of two zones hear none of the others, and are heard by none, for RegionCut
)

// Losses are all of them, in the order of the report.
var Losses = []Loss{OneMember, Rack, Zone, Region}

// Shape of the fleets that losses are played in.
const (
	RackSize          = 40
	lossZones         = 8
	PartitionDuration = 2 * time.Minute

	settleTime             = 20 * time.Second  // before the loss
	deathObservation       = 60 * time.Second  // after a death
	rejoinObservation      = 120 * time.Second // after a cut has ended
	agreementCheckInterval = members.Period    // between two looks whether all agree
)

// MinFleetSize is the smallest fleet that losses are played in: two members in each zone.
const MinFleetSize = 2 * lossZones

// ErrInvalidLoss says that a fleet is too small, or a loss unknown.
var ErrInvalidLoss = errors.New("capacity: no such event")

// Outcome is what one loss came to. Times count from the loss; for Region, Agreed counts from the end of the cut.
type Outcome struct {
	Loss        Loss    `parquet:"loss,dict"`
	Members     int32   `parquet:"members"`
	LostMembers int32   `parquet:"lost"`      // members that died or were cut off
	GossipLoss  float64 `parquet:"note_loss"` // share of notes that were lost
	Seed        uint64  `parquet:"seed"`

	MedianSeconds        float64 `parquet:"median_s"` // until half of the pairs (who stays, who is lost) are known; -1: they never were
	P99Seconds           float64 `parquet:"p99_s"`    // until 99 of 100 are
	AgreedSeconds        float64 `parquet:"agreed_s"` // until every member is right about every other; -1: not by the end
	FalseDeaths          int32   `parquet:"false"`    // times that a member took one on its own side for away that lived
	BytesPerSecondBefore float64 `parquet:"calm_bytes_s"`
	BytesPerSecondAfter  float64 `parquet:"after_bytes_s"` // sent by each member that stays, a second, from the loss to the end
}

// RunLoss plays one loss in a fleet of that size. It returns ErrFleet for a fleet of fewer than LeastFleet and for an unknown loss.
func RunLoss(loss Loss, size int, gossipLoss float64, seed uint64) (Outcome, error) {
	if size < MinFleetSize || !slices.Contains(Losses, loss) {
		return Outcome{}, fmt.Errorf("%w: %q among %d members, %d at least", ErrInvalidLoss, loss, size, MinFleetSize)
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
	out := Outcome{Loss: loss, Members: int32(size), LostMembers: int32(len(lost)), GossipLoss: gossipLoss, Seed: seed, FalseDeaths: int32(observer.falseDeaths), AgreedSeconds: -1}
	out.BytesPerSecondBefore = float64(bytesAtLoss-bytesAtStart) / survivors / (settleTime / 2).Seconds()
	out.BytesPerSecondAfter = float64(bytesSent(simulation, lost)-bytesAtLoss) / survivors / (end - observer.lossAt).Seconds()
	if agreed >= 0 {
		out.AgreedSeconds = (agreed - agreementStart).Seconds()
	}
	out.MedianSeconds, out.P99Seconds = observer.timeToDetect(size, 0.5), observer.timeToDetect(size, 0.99)
	return out, nil
}

// lostMembers are the numbers of those that a loss takes from a fleet.
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

// bytesSent is how many bytes those that stay have sent.
func bytesSent(simulation *gossip.Simulation, lost map[int]bool) (bytes int) {
	for n, node := range simulation.Nodes {
		if !lost[n] {
			bytes += node.BytesSent
		}
	}
	return bytes
}

// runUntilAgreement runs a fleet until all agree who lives and returns when that was; -1 if they do not by the end.
func runUntilAgreement(simulation *gossip.Simulation, end time.Duration) time.Duration {
	for simulation.Now < end {
		simulation.Run(simulation.Now + agreementCheckInterval)
		if ok, _, _ := simulation.CheckAgreement(); ok {
			return simulation.Now
		}
	}
	return -1
}

// lossObserver notes when those that stay learn of those that are lost.
type lossObserver struct {
	active      bool
	lossAt      time.Duration
	lost        map[int]bool
	detected    map[[2]int]bool // pairs that are known
	delays      []time.Duration
	falseDeaths int
}

func (o *lossObserver) observe(e gossip.Event) {
	if !o.active || e.To != members.Dead {
		return
	}
	if o.lost[e.Observer] == o.lost[e.Number] {
		o.falseDeaths++ // both are on the same side, and dead ones see nothing
		return
	}
	pair := [2]int{e.Observer, e.Number}
	if o.lost[e.Observer] || o.detected[pair] {
		return
	}
	o.detected[pair] = true
	o.delays = append(o.delays, e.At-o.lossAt)
}

// timeToDetect is when that share of all pairs was known, in seconds; -1: never.
func (o *lossObserver) timeToDetect(size int, share float64) float64 {
	pairs := (size - len(o.lost)) * len(o.lost)
	needed := int(float64(pairs)*share + 0.5)
	if needed < 1 || len(o.delays) < needed {
		return -1
	}
	slices.Sort(o.delays)
	return o.delays[needed-1].Seconds()
}
