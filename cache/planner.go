package cache

import "magnoliaspoke.example/spoke"

const (
	stepIdle step = iota
	stepLookup
	stepPin
	stepReady
	stepPull
	stepVerify
	stepUsable
	stepMissed
	stepDoubtful
)

type (
	// step is the progress of the import of one block.
	step int
	// PlacedBlock is a block with the store host that may hold it.
	PlacedBlock struct {
		Key   spoke.BlockKey
		Store spoke.Address
	}

	// PlannerMessage is an input of a Planner.
	PlannerMessage interface{ isPlannerMessage() }

	// BeginImport starts the import of the leading missing blocks of a prompt.
	BeginImport struct{ Blocks []PlacedBlock }
	// MetaDone reports the result of LookupMeta or VerifyMeta.
	MetaDone struct {
		Block int
		Meta  spoke.BlockMeta
		Err   error
	}
	// PinDone reports the result of PinBlock.
	PinDone struct {
		Block int
		Err   error
	}
	// PullDone reports the result of PullBlock; an error means that the engine did not respond.
	PullDone struct {
		Block    int
		Imported bool
		Err      error
	}
	// ImportLimit reports that the time limit of the import has expired.
	ImportLimit struct{}

	// PlannerAction is an output of a Planner.
	PlannerAction interface{ isPlannerAction() }

	// LookupMeta reads the metadata of a block's committed content before the import.
	LookupMeta struct {
		Block int
		PlacedBlock
	}
	// PinBlock pins the generation that LookupMeta returned, so that it stays readable.
	PinBlock struct {
		Block      int
		Generation spoke.Generation
		PlacedBlock
	}
	// PullBlock makes the engine pull the pinned block.
	PullBlock struct {
		Block  int
		Import spoke.BlockImport
	}
	// VerifyMeta reads the metadata again after the pull.
	VerifyMeta struct {
		Block int
		PlacedBlock
	}
	// FinishImport ends the import.
	FinishImport struct {
		// Usable is the number of leading blocks that the engine holds and that are verified.
		Usable int
		// Doubtful lists the blocks that the engine may hold without verification and that no run
		// may use.
		Doubtful []spoke.BlockKey
	}

	// Planner is the state machine of one import: it looks up, pins, pulls and verifies each block.
	// A block that fails a step is a miss, and only the blocks before it can become usable. Planner
	// performs no I/O and reads no clock.
	Planner struct {
		blocks []plannedBlock
		// end is the number of leading blocks that may still become usable.
		end      int
		finished bool
	}

	plannedBlock struct {
		PlacedBlock
		step step
		// meta is the result of LookupMeta.
		meta spoke.BlockMeta
	}
)

func (BeginImport) isPlannerMessage() {}
func (MetaDone) isPlannerMessage()    {}
func (PinDone) isPlannerMessage()     {}
func (PullDone) isPlannerMessage()    {}
func (ImportLimit) isPlannerMessage() {}

func (LookupMeta) isPlannerAction()   {}
func (PinBlock) isPlannerAction()     {}
func (PullBlock) isPlannerAction()    {}
func (VerifyMeta) isPlannerAction()   {}
func (FinishImport) isPlannerAction() {}

// NewPlanner returns a planner that expects BeginImport.
func NewPlanner() *Planner { return &Planner{} }

// Handle processes one message and returns the resulting actions.
func (p *Planner) Handle(message PlannerMessage) []PlannerAction {
	if p.finished {
		return nil
	}
	var actions []PlannerAction
	switch m := message.(type) {
	case BeginImport:
		actions = p.begin(m)
	case MetaDone:
		actions = p.metaDone(m)
	case PinDone:
		p.pinDone(m)
	case PullDone:
		actions = p.pullDone(m)
	case ImportLimit:
		p.expire()
	}
	return append(actions, p.advance()...)
}

func (p *Planner) begin(m BeginImport) []PlannerAction {
	var actions []PlannerAction
	for i, placed := range m.Blocks {
		p.blocks = append(p.blocks, plannedBlock{PlacedBlock: placed, step: stepLookup})
		actions = append(actions, LookupMeta{Block: i, PlacedBlock: placed})
	}
	p.end = len(p.blocks)
	return actions
}

func (p *Planner) metaDone(m MetaDone) []PlannerAction {
	block, ok := p.at(m.Block)
	if !ok {
		return nil
	}
	switch block.step {
	case stepLookup:
		if m.Err != nil || m.Meta.Key != block.Key || m.Meta.Length <= 0 || m.Meta.Generation == 0 {
			p.miss(m.Block, stepMissed)
			return nil
		}
		block.meta = m.Meta
		block.step = stepPin
		return []PlannerAction{PinBlock{Block: m.Block, Generation: m.Meta.Generation, PlacedBlock: block.PlacedBlock}}
	case stepVerify:
		if m.Err != nil || m.Meta != block.meta {
			p.miss(m.Block, stepDoubtful)
			return nil
		}
		block.step = stepUsable
	}
	return nil
}

func (p *Planner) pinDone(m PinDone) {
	block, ok := p.at(m.Block)
	if !ok || block.step != stepPin {
		return
	}
	if m.Err != nil {
		p.miss(m.Block, stepMissed)
		return
	}
	block.step = stepReady
}

func (p *Planner) pullDone(m PullDone) []PlannerAction {
	block, ok := p.at(m.Block)
	if !ok || block.step != stepPull {
		return nil
	}
	switch {
	case m.Err != nil:
		// An engine that did not respond may have imported the block.
		p.miss(m.Block, stepDoubtful)
		return nil
	case !m.Imported:
		p.miss(m.Block, stepMissed)
		return nil
	}
	block.step = stepVerify
	return []PlannerAction{VerifyMeta{Block: m.Block, PlacedBlock: block.PlacedBlock}}
}

// expire abandons the blocks whose pull has not started; pulls and verifications in progress end
// by themselves, because their calls have the same time limit.
func (p *Planner) expire() {
	for i := range p.blocks {
		if p.blocks[i].step < stepPull {
			p.miss(i, stepMissed)
			return
		}
	}
}

// miss records that a block cannot become usable, nor can the blocks after it.
func (p *Planner) miss(at int, as step) {
	p.blocks[at].step = as
	p.end = min(p.end, at)
}

// advance starts the next pull or finishes the import; pulls run one at a time and in order.
func (p *Planner) advance() []PlannerAction {
	for i := range p.end {
		block := &p.blocks[i]
		if block.step == stepPull || block.step < stepReady {
			return nil
		}
		if block.step == stepReady {
			block.step = stepPull
			return []PlannerAction{PullBlock{Block: i, Import: spoke.BlockImport{
				Key:        block.Key,
				Generation: block.meta.Generation,
				Checksum:   block.meta.Checksum,
				Length:     block.meta.Length,
				Store:      block.Store,
			}}}
		}
	}
	for i := range p.blocks {
		if step := p.blocks[i].step; step == stepPull || step == stepVerify {
			return nil
		}
	}
	return []PlannerAction{p.finish()}
}

func (p *Planner) finish() FinishImport {
	p.finished = true
	result := FinishImport{Usable: p.end}
	for _, block := range p.blocks {
		if block.step == stepDoubtful {
			result.Doubtful = append(result.Doubtful, block.Key)
		}
	}
	return result
}

func (p *Planner) at(block int) (*plannedBlock, bool) {
	if block < 0 || block >= len(p.blocks) {
		return nil, false
	}
	return &p.blocks[block], true
}
