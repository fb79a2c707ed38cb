package scene

type (
	// plainRuns is the answer to GET /runs of plain stand-ins.
	plainRuns struct {
		Total     int            `json:"total"`
		ByKey     map[string]int `json:"by-key"`
		ByAttempt map[string]int `json:"by-attempt"`
	}

	// engineRuns is the part of the answer to GET /counters of engine stand-ins that scenarios use.
	engineRuns struct {
		Started int         `json:"runs-started"`
		Runs    []engineRun `json:"runs"`
	}

	// engineRun lists the versions and salts of the cached blocks that a run used.
	engineRun struct {
		Attempt       string   `json:"attempt-id"`
		Version       string   `json:"version"`
		BlockVersions []string `json:"block-versions"`
		BlockSalts    []string `json:"block-salts"`
		Salt          string   `json:"salt"`
	}

	// engineLoad is the part of the answer to GET /load of engine stand-ins that scenarios use.
	engineLoad struct {
		Versions map[string]string `json:"versions"`
	}

	// storeUsage is the part of the answer to GET /usage of store hosts that scenarios use; Queue is
	// in bytes.
	storeUsage struct {
		Queue int64 `json:"link-queue"`
	}

	// platformCalls is the part of the answer to GET /calls of the platform stand-in that scenarios
	// use.
	platformCalls struct {
		Writes int64 `json:"writes"`
	}
)
