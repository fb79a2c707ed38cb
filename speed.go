package spoke

type (
	// SpeedTag is a hash of the start and the software version of an upstream.
	SpeedTag uint16

	// SpeedSample is the mean time of calls relative to those of a usual upstream of the service.
	SpeedSample struct {
		// Pace is above 1 for a slower upstream.
		Pace float64
		// Calls is the number of calls that the mean is worth.
		Calls int
	}

	// UpstreamSpeed is what a host has seen of the speed of an upstream by its own calls.
	UpstreamSpeed struct {
		Upstream UpstreamID
		Tag      SpeedTag
		// Recent is the mean over the last second or so, Usual over the last half minute.
		Recent, Usual SpeedSample
	}
)
