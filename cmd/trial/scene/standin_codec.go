package scene

type (
	// plainRuns is the answer of GET /runs of plain stand-ins.
	plainRuns struct {
		Total     int            `json:"total"`
		ByKey     map[string]int `json:"by-key"`
		ByAttempt map[string]int `json:"by-attempt"`
	}

	// engineRuns is the part of GET /counters of engine stand-ins that scenarios look at.
	engineRuns struct {
		Started int         `json:"runs-started"`
		Runs    []engineRun `json:"runs"`
	}

	// engineRun says which cached blocks a run used.
	engineRun struct {
		Attempt       string   `json:"attempt-id"`
		Version       string   `json:"version"`
		BlockVersions []string `json:"block-versions"`
		BlockSalts    []string `json:"block-salts"`
		Salt          string   `json:"salt"`
	}

	// engineLoad is the part of GET /load of engine stand-ins that scenarios look at.
	engineLoad struct {
		Versions map[string]string `json:"versions"`
	}

	// storeUsage is the part of GET /usage of store hosts that scenarios look at.
	storeUsage struct {
		Queue int64 `json:"link-queue"`
	}

	// platformCalls is the part of GET /calls of the platform stand-in that scenarios look at.
	platformCalls struct {
		Writes int64 `json:"writes"`
	}
)
