package spoke

import "time"

type (
	// StreamOrigin is the software version at which a stream began.
	StreamOrigin struct {
		// Request is the caller's request that brought the first event.
		Request RequestID
		// Software is empty if the version is in doubt, so that the stream must not go on.
		Software SoftwareVersion
		// Age is the time since a host began to relay the stream or went on with it.
		Age time.Duration
	}

	// ListedSoftware is a software version of a service, with the time since an upstream was last listed with it.
	ListedSoftware struct {
		Service  ServiceName
		Software SoftwareVersion
		Age      time.Duration
	}
)
