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
	eventZones        = 8
	PartitionDuration = 2 * time.Minute

	settleTime = 20 * time.Second  // before the loss
	deathWatch = 60 * time.Second  // after a death
	joinWatch  = 120 * time.Second // after a cut has ended
	agreeTurn  = members.Period    // between two looks whether all agree
)

// MinFleetSize is the smallest fleet that losses are played in: two members in each zone.
const MinFleetSize = 2 * eventZones

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
func RunLoss(loss Loss, size int, noteLoss float64, seed uint64) (Outcome, error) {
	if size < MinFleetSize || !slices.Contains(Losses, loss) {
		return Outcome{}, fmt.Errorf("%w: %q among %d members, %d at least", ErrInvalidLoss, loss, size, MinFleetSize)
	}
	w := gossip.New(gossip.Config{Relays: size, Zones: eventZones, Loss: noteLoss, Seed: seed})
	lost := loss.members(size)
	watch := &lossWatch{lost: lost, taken: map[[2]int]bool{}}
	w.OnChange = watch.see
	w.Run(settleTime / 2)
	atStart := sent(w, lost)
	w.Run(settleTime)
	atLoss := sent(w, lost)
	watch.at, watch.on = w.Now, true

	agreeFrom, end := w.Now, w.Now+deathWatch
	if loss == Region {
		w.Blocked = func(from, to int) bool { return lost[from] != lost[to] }
		w.Run(w.Now + PartitionDuration)
		w.Blocked = nil
		agreeFrom, end = w.Now, w.Now+joinWatch
	} else {
		for n := range lost {
			w.Kill(n)
		}
	}
	agreed := agreesAt(w, end)
	w.Run(end)

	stay := float64(size - len(lost))
	out := Outcome{Loss: loss, Members: int32(size), LostMembers: int32(len(lost)), GossipLoss: noteLoss, Seed: seed, FalseDeaths: int32(watch.wrong), AgreedSeconds: -1}
	out.BytesPerSecondBefore = float64(atLoss-atStart) / stay / (settleTime / 2).Seconds()
	out.BytesPerSecondAfter = float64(sent(w, lost)-atLoss) / stay / (end - watch.at).Seconds()
	if agreed >= 0 {
		out.AgreedSeconds = (agreed - agreeFrom).Seconds()
	}
	out.MedianSeconds, out.P99Seconds = watch.share(size, 0.5), watch.share(size, 0.99)
	return out, nil
}

// members are the numbers of those that a loss takes from a fleet.
func (l Loss) members(size int) map[int]bool {
	lost := map[int]bool{}
	for n := range size {
		zone := n % eventZones
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

// sent is how many bytes those that stay have sent.
func sent(w *gossip.Simulation, lost map[int]bool) (bytes int) {
	for n, node := range w.Nodes {
		if !lost[n] {
			bytes += node.BytesSent
		}
	}
	return bytes
}

// agreesAt runs a fleet until all agree who lives and returns when that was; -1 if they do not by the end.
func agreesAt(w *gossip.Simulation, end time.Duration) time.Duration {
	for w.Now < end {
		w.Run(w.Now + agreeTurn)
		if ok, _, _ := w.CheckAgreement(); ok {
			return w.Now
		}
	}
	return -1
}

// lossWatch notes when those that stay learn of those that are lost.
type lossWatch struct {
	on    bool
	at    time.Duration
	lost  map[int]bool
	taken map[[2]int]bool // pairs that are known
	took  []time.Duration
	wrong int
}

func (w *lossWatch) see(e gossip.Event) {
	if !w.on || e.To != members.Dead {
		return
	}
	if w.lost[e.Observer] == w.lost[e.Number] {
		w.wrong++ // both are on the same side, and dead ones see nothing
		return
	}
	pair := [2]int{e.Observer, e.Number}
	if w.lost[e.Observer] || w.taken[pair] {
		return
	}
	w.taken[pair] = true
	w.took = append(w.took, e.At-w.at)
}

// share is when that share of all pairs was known, in seconds; -1: never.
func (w *lossWatch) share(size int, part float64) float64 {
	pairs := (size - len(w.lost)) * len(w.lost)
	need := int(float64(pairs)*part + 0.5)
	if need < 1 || len(w.took) < need {
		return -1
	}
	slices.Sort(w.took)
	return w.took[need-1].Seconds()
}
