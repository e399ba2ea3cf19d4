package main

// settings returns settings like those of a small deployment, after the example of the wire page.
func settings(fleet, me, slots, maxOpen int) object {
	grade := func(name, effect string, deadline, promise int, credit, late float64) object {
		return object{"name": name, "effect": effect, "group": "all", "deadlineUs": deadline, "promiseUs": promise,
			"repeatWindowUs": 5_000_000, "credit": credit, "lateValue": late, "streamed": false}
	}
	return object{
		"clientHabits": object{"marksRetry": false}, "discovery": "push", "family": "deliver",
		"familyInfo": object{"batchByKind": []int{5, 1}, "callSlots": slots, "decay": "linear",
			"feeByZone": []float64{0}, "notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free",
			"reportX0": "share of the allowance that is left", "reportX1": "calls a second that the limit allows",
			"separateRoutes": []bool{false, false}, "turnedAwayPrice": 0.05},
		"fleetSize": fleet, "me": me,
		"grades": []object{
			grade("price-alert", "safe", 6_000_000, 1_500_000, 1, 0),
			grade("order-relay", "keyed", 20_000_000, 3_000_000, 2, 0.3),
			grade("fee-charge", "unsafe", 20_000_000, 2_500_000, 5, 0.3)},
		"guarantees": object{"answerSlackUs": 20000, "askWithinUs": 10_000_000, "coldFrom": 0.2, "coldUs": 11_000_000,
			"drainGraceUs": 1_000_000, "fallUs": 3_000_000, "overloadFactor": 2.0},
		"kinds": []string{"broker", "small-partner"}, "myZone": "porto-dc1", "overShareWorth": 0.1,
		"policyLimits": object{"connIdleUs": 15_000_000, "connectTimeoutUs": 1_500_000, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 750_000, "maxAttempts": 6, "maxOpen": maxOpen, "maxRetryAfterUs": 3_000_000, "maxStreams": 1,
			"mayCancel": true, "peers": true, "probes": true, "retryAfter": true, "secondCopies": false},
		"prices":     object{"handshake": 0.04, "lateFail": 0.02, "peer": 0.01, "probe": 0.011, "waste": 0.042},
		"scoringMix": object{"whole": 0.5, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.3},
		"stage":      0, "stats": object{"columns": []string{}, "source": "off"}, "tenants": []object{}, "tickUs": 5000,
		"tiers": []string{"partners"}, "weightSource": "off", "worthBy": "request", "zones": []string{"porto-dc1"},
	}
}

// config returns the configuration of one relay.
func config(discovery string, diskMB float64, set object) object {
	return object{"discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": diskMB},
		"known":    object{"generation": 0, "reset": true, "instances": []object{}},
		"settings": set}
}
