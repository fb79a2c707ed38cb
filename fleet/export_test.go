package fleet

// WaitFrozen waits until the process is stopped, or until it is no longer stopped.
func (p *Process) WaitFrozen(want bool) error { return p.waitFrozen(want) }
