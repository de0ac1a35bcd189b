//! Message handling of the sides, and execution of attempts at their backend servers.

use crate::node::Job;
use crate::world::{EntryMessage, Event, SidecarMessage, Simulation, stage_output};
use damaskweir_core::prelude::*;
use damaskweir_core::side::SidecarAction;
use rand_core::Rng as _;

impl Simulation<'_> {
    pub(crate) fn receive_at_sidecar(
        &mut self,
        server: usize,
        host: usize,
        connection: u64,
        message: SidecarMessage,
    ) {
        if self.hosts[host].connections[server] != Some(connection) {
            return;
        }
        match message {
            SidecarMessage::Dispatch(dispatch, call, input) => {
                let job = Job { host, connection, call, input, running: false };
                let attempt = dispatch.attempt;
                let known = self.servers[server].jobs.contains_key(&attempt);
                let actions = self.servers[server].sidecar.dispatch(self.now, &dispatch);
                let refused =
                    |a: &SidecarAction| matches!(a, SidecarAction::Refuse(r, _) if *r == attempt);
                if !known && !actions.iter().any(refused) {
                    self.servers[server].jobs.insert(attempt, job);
                }
                for action in &actions {
                    if let SidecarAction::Refuse(attempt, refusal) = action
                        && !self.servers[server].jobs.contains_key(attempt)
                    {
                        self.send_to_entry(server, host, EntryMessage::Refused(*attempt, *refusal));
                    }
                }
                self.sidecar_actions(server, actions);
            }
            SidecarMessage::Cancel(attempt) => {
                let actions = self.servers[server].sidecar.cancel(self.now, attempt);
                self.sidecar_actions(server, actions);
            }
            SidecarMessage::Forbid(request, attempt, incarnation) => {
                let status = self.servers[server].sidecar.forbid(attempt, incarnation);
                let output = self.servers[server].outputs.get(&attempt).copied();
                self.send_to_entry(
                    server,
                    host,
                    EntryMessage::Status(request, attempt, status, output),
                );
            }
        }
    }

    pub(crate) fn sidecar_actions(&mut self, server: usize, actions: Vec<SidecarAction>) {
        for action in actions {
            match action {
                SidecarAction::Start(attempt) => self.start_attempt(server, attempt),
                SidecarAction::Refuse(attempt, refusal) => {
                    if let Some(job) = self.servers[server].jobs.remove(&attempt)
                        && self.hosts[job.host].connections[server] == Some(job.connection)
                    {
                        self.send_to_entry(
                            server,
                            job.host,
                            EntryMessage::Refused(attempt, refusal),
                        );
                    }
                }
                SidecarAction::Abort(attempt) => {
                    self.servers[server].jobs.remove(&attempt);
                }
                SidecarAction::Drained => {
                    if self.servers[server].jobs.values().any(|job| job.running) {
                        let name = self.server_ids(server).1;
                        self.record_violation(
                            "cut off",
                            format!("{name} drained with work running"),
                        );
                    }
                }
            }
        }
        let state = &mut self.servers[server];
        let next = state.sidecar.next_tick();
        if let Some(next) = next.filter(|next| state.next_tick.is_none_or(|at| *next < at)) {
            state.next_tick = Some(next);
            self.schedule(next.max(self.now), Event::SidecarTick(server));
        }
    }

    pub(crate) fn start_attempt(&mut self, server: usize, attempt: AttemptId) {
        let now = self.now;
        let state = &mut self.servers[server];
        let Some(job) = state.jobs.get_mut(&attempt) else { return };
        job.running = true;
        let pool = &self.scenario.pools[state.pool];
        // Counted by the backend server, not by the side, so that it can show the side's errors.
        self.execution_log.starts[server].push(now);
        self.execution_log.requests.insert(attempt.request);
        if pool.once {
            let runs = self.execution_log.runs.entry((state.pool, job.call)).or_default();
            *runs += 1;
        }
        let factor = 0.7 + 0.6 * (self.env_rng.next_u64() % 1_000) as f64 / 1_000.0;
        let time = pool.service_time.scale(factor) * state.slowdown;
        let generation = self.nodes[self.sidecar_node(server)].generation;
        self.schedule_after(time, Event::Finish { server, generation, attempt });
    }

    pub(crate) fn finish_attempt(&mut self, server: usize, generation: u64, attempt: AttemptId) {
        if self.nodes[self.sidecar_node(server)].generation == generation {
            self.end_attempt(server, attempt, Outcome::Finished);
        }
    }

    pub(crate) fn end_attempt(&mut self, server: usize, attempt: AttemptId, outcome: Outcome) {
        let Some(job) = self.servers[server].jobs.remove(&attempt) else { return };
        let input = if self.servers[server].corrupts { !job.input } else { job.input };
        let output = stage_output(input, attempt.stage);
        if self.scenario.pools[self.servers[server].pool].once && outcome == Outcome::Finished {
            self.servers[server].outputs.insert(attempt, output);
        }
        let actions = self.servers[server].sidecar.finish(self.now, attempt, outcome);
        if self.hosts[job.host].connections[server] == Some(job.connection) {
            let message = if self.servers[server].misreports {
                EntryMessage::Refused(attempt, Refusal::Expired)
            } else {
                EntryMessage::Done(attempt, outcome, output)
            };
            self.send_to_entry(server, job.host, message);
        }
        self.sidecar_actions(server, actions);
    }
}
