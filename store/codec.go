package store

import "magnoliaspoke.example/spoke"

type (
	metaBody struct {
		Generation spoke.Generation `json:"generation"`
		Checksum   spoke.Checksum   `json:"checksum"`
		Length     spoke.ByteSize   `json:"length"`
	}

	pinBody struct {
		Generation spoke.Generation `json:"generation"`
		TTL        int64            `json:"ttl-ms"`
	}

	usageBody struct {
		MemoryUsed spoke.ByteSize `json:"memory-used"`
		MemorySize spoke.ByteSize `json:"memory-size"`
		DiskUsed   spoke.ByteSize `json:"disk-used"`
		DiskSize   spoke.ByteSize `json:"disk-size"`
		Blocks     int            `json:"blocks"`
		LinkQueue  spoke.ByteSize `json:"link-queue"`
	}
)
