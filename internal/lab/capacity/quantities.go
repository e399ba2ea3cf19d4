package capacity

// sizesByFour returns count sizes that start at first and grow by a factor of four.
func sizesByFour(first, count int) []int {
	sizes := make([]int, 0, count)
	for size := first; len(sizes) < count; size *= 4 {
		sizes = append(sizes, size)
	}
	return sizes
}

// Quantities returns all quantities in the order of the report. The bounds guard against growth
// beyond the present cost.
func Quantities() []Quantity {
	return []Quantity{
		{Name: "destination known", Unit: "bytes", Per: "destinations", MaxSlope: 920, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: destinationMemory},
		{Name: "destination in use", Unit: "bytes", Per: "destinations", MaxSlope: 930, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: activeDestinationMemory},
		{Name: "endpoint", Unit: "bytes", Per: "endpoints", MaxSlope: 290, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: endpointMemory},
		{Name: "list, whole", Unit: "bytes", Per: "endpoints", MaxSlope: 205, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: snapshotBytes},
		{Name: "held message in memory", Unit: "bytes", Per: "messages", MaxSlope: 1160, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: messageMemory},
		{Name: "held message on disk", Unit: "bytes", Per: "messages", MaxSlope: 370, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: messageDiskBytes},
		{Name: "message with a key of its own", Unit: "bytes", Per: "messages", MaxSlope: 360,
			Sizes: sizesByFour(500, 5), ShortSizes: sizesByFour(250, 4), Measure: orderedMessageMemory},
		{Name: "member known", Unit: "bytes", Per: "members", MaxSlope: 200, Sizes: sizesByFour(250, 4),
			ShortSizes: sizesByFour(60, 4), Measure: memberMemory},
		{Name: "membership notes", Unit: "bytes/s", Per: "members", MaxSlope: 0.2, Sizes: sizesByFour(16, 4),
			ShortSizes: sizesByFour(15, 3), Measure: membershipTraffic},
		{Name: "death detected", Unit: "s", Per: "members", MaxSlope: 0.06, Sizes: sizesByFour(16, 4),
			ShortSizes: sizesByFour(15, 3), Measure: deathDetectionTime},
		{Name: "whole list taken in", Unit: "ns", Per: "endpoints", Timed: true, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: snapshotTime},
		{Name: "list change taken in", Unit: "ns", Per: "endpoints", Timed: true, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: listChangeTime},
		{Name: "reload", Unit: "ns", Per: "held messages", Timed: true, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: reloadTime},
		{Name: "step with held messages", Unit: "ns", Per: "held messages", Timed: true, Sizes: sizesByFour(100, 4),
			ShortSizes: sizesByFour(25, 4), Measure: stepTime},
		{Name: "journal read at start", Unit: "ns", Per: "messages", Timed: true, Sizes: sizesByFour(500, 5),
			ShortSizes: sizesByFour(250, 4), Measure: journalReadTime},
	}
}
