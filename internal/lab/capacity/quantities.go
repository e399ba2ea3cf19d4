package capacity

// fourfold returns so many sizes, each four times the one before.
func fourfold(first, count int) []int {
	sizes := make([]int, 0, count)
	for size := first; len(sizes) < count; size *= 4 {
		sizes = append(sizes, size)
	}
	return sizes
}

// Quantities returns everything that is measured, in the order of the report. Bounds lie about a fifth above what was measured when
// they were set; they hold what has been reached.
func Quantities() []Quantity {
	return []Quantity{
		{Name: "destination known", Unit: "bytes", Per: "destinations", MaxSlope: 920, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: destinationsKnown},
		{Name: "destination in use", Unit: "bytes", Per: "destinations", MaxSlope: 930, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: destinationsInUse},
		{Name: "endpoint", Unit: "bytes", Per: "endpoints", MaxSlope: 290, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: endpointsKnown},
		{Name: "list, whole", Unit: "bytes", Per: "endpoints", MaxSlope: 205, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: wholeList},
		{Name: "held message in memory", Unit: "bytes", Per: "messages", MaxSlope: 1160, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: messagesInMemory},
		{Name: "held message on disk", Unit: "bytes", Per: "messages", MaxSlope: 370, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: messagesOnDisk},
		{Name: "message with a key of its own", Unit: "bytes", Per: "messages", MaxSlope: 360, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: keysHeld},
		{Name: "member known", Unit: "bytes", Per: "members", MaxSlope: 200, Sizes: fourfold(250, 4), ShortSizes: fourfold(60, 4), Measure: membersKnown},
		{Name: "membership notes", Unit: "bytes/s", Per: "members", MaxSlope: 0.2, Sizes: fourfold(16, 4), ShortSizes: fourfold(15, 3), Measure: membershipNotes},
		{Name: "death detected", Unit: "s", Per: "members", MaxSlope: 0.06, Sizes: fourfold(16, 4), ShortSizes: fourfold(15, 3), Measure: deathDetected},
		{Name: "whole list taken in", Unit: "ns", Per: "endpoints", Timed: true, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: wholeListTime},
		{Name: "list change taken in", Unit: "ns", Per: "endpoints", Timed: true, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: listChangeTime},
		{Name: "reload", Unit: "ns", Per: "held messages", Timed: true, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: reloadTime},
		{Name: "step with held messages", Unit: "ns", Per: "held messages", Timed: true, Sizes: fourfold(100, 4), ShortSizes: fourfold(25, 4), Measure: stepTime},
		{Name: "journal read at start", Unit: "ns", Per: "messages", Timed: true, Sizes: fourfold(500, 5), ShortSizes: fourfold(250, 4), Measure: journalReadTime},
	}
}
