package main

import "puffinsaddle/internal/core"

// drain begins the end of the process after a notice that arrived at noticedMS, in Unix milliseconds. A process with a
// successor leaves its sockets to it.
func (s *server) drain(noticedMS float64) {
	s.draining = true
	if s.offer.HasSuccessor() {
		s.log.Info().Msg("replaced")
		s.manager.drain()
		s.shutDownWith(func(fronts []core.Front) { s.core.YieldToSuccessor(noticedMS, s.cfg.StopTimeoutMS, fronts...) })
		return
	}
	s.log.Info().Float64("stop_ms", s.cfg.StopTimeoutMS).Msg("draining")
	s.reporter.Leave()
	s.manager.drain()
	if s.replica != nil {
		go s.leaveStore() // the drain needs no quorum
	}
	s.shutDownWith(func(fronts []core.Front) { s.core.Shutdown(noticedMS, s.cfg.StopTimeoutMS, fronts...) })
}

// leaveStore marks this server in the store as draining and hands over the leadership of its replica. It does so at the
// start of the drain: callers may keep the process until it is killed.
func (s *server) leaveStore() {
	logFailure(s.log, s.replica.Set(drainKeyPrefix+s.cfg.Name, []byte("draining")))
	logFailure(s.log, s.replica.TransferLeadership())
}

// shutDownWith closes the fronts in the given way and releases the duties, and then closes drainDone. It does not wait.
func (s *server) shutDownWith(closeFronts func([]core.Front)) {
	var fronts []core.Front
	for _, f := range s.fronts {
		fronts = append(fronts, f)
	}
	go func() {
		shutDown(func() { closeFronts(fronts) }, s.core.StopReached(), s.manager.releaseAll)
		close(s.drainDone)
	}()
}

// shutDown closes the fronts and releases the duties. The duties are released as soon as no further downstream call can
// be made, that is, when the fronts are closed or the module has given its last answers before the stop: callers may keep
// the fronts open until the process is killed, and the leases would then last until they expire.
func shutDown(closeFronts func(), stopReached <-chan struct{}, releaseDuties func()) {
	closed := make(chan struct{})
	go func() {
		closeFronts()
		close(closed)
	}()
	select {
	case <-closed:
	case <-stopReached:
	}
	releaseDuties()
	<-closed
}
