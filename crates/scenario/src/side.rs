//! What the sides of a scenario do, and the backend servers next to them.

use crate::node::Job;
use crate::world::{Event, ToEntry, ToSide, World, mix};
use damaskweir_core::prelude::*;
use damaskweir_core::side::SidecarAction;
use rand_core::Rng as _;

impl World<'_> {
    pub(crate) fn take_at_side(&mut self, server: usize, host: usize, link: u64, message: ToSide) {
        if self.hosts[host].links[server] != Some(link) {
            return;
        }
        match message {
            ToSide::Dispatch(dispatch, call, input) => {
                let job = Job { host, link, call, input, running: false };
                let attempt = dispatch.attempt;
                let known = self.servers[server].jobs.contains_key(&attempt);
                let actions = self.servers[server].side.dispatch(self.now, &dispatch);
                let refused =
                    |a: &SidecarAction| matches!(a, SidecarAction::Refuse(r, _) if *r == attempt);
                if !known && !actions.iter().any(refused) {
                    self.servers[server].jobs.insert(attempt, job);
                }
                for action in &actions {
                    if let SidecarAction::Refuse(attempt, refusal) = action
                        && !self.servers[server].jobs.contains_key(attempt)
                    {
                        self.send_entry(server, host, ToEntry::Refused(*attempt, *refusal));
                    }
                }
                self.side_actions(server, actions);
            }
            ToSide::Cancel(attempt) => {
                let actions = self.servers[server].side.cancel(self.now, attempt);
                self.side_actions(server, actions);
            }
            ToSide::Forbid(request, attempt, incarnation) => {
                let standing = self.servers[server].side.forbid(attempt, incarnation);
                let output = self.servers[server].kept.get(&attempt).copied();
                self.send_entry(server, host, ToEntry::Stands(request, attempt, standing, output));
            }
        }
    }

    pub(crate) fn side_actions(&mut self, server: usize, actions: Vec<SidecarAction>) {
        for action in actions {
            match action {
                SidecarAction::Start(attempt) => self.start(server, attempt),
                SidecarAction::Refuse(attempt, refusal) => {
                    if let Some(job) = self.servers[server].jobs.remove(&attempt)
                        && self.hosts[job.host].links[server] == Some(job.link)
                    {
                        self.send_entry(server, job.host, ToEntry::Refused(attempt, refusal));
                    }
                }
                SidecarAction::Abort(attempt) => {
                    self.servers[server].jobs.remove(&attempt);
                }
                SidecarAction::Drained => {
                    if self.servers[server].jobs.values().any(|job| job.running) {
                        let name = self.name(server).1;
                        self.see("cut off", format!("{name} drained with work running"));
                    }
                }
            }
        }
        let state = &mut self.servers[server];
        let next = state.side.next_tick();
        if let Some(next) = next.filter(|next| state.tick.is_none_or(|at| *next < at)) {
            state.tick = Some(next);
            self.at(next.max(self.now), Event::SideTick(server));
        }
    }

    pub(crate) fn start(&mut self, server: usize, attempt: AttemptId) {
        let now = self.now;
        let state = &mut self.servers[server];
        let Some(job) = state.jobs.get_mut(&attempt) else { return };
        job.running = true;
        let pool = &self.scenario.pools[state.pool];
        // The backend server's own count.
        self.ledger.starts[server].push(now);
        self.ledger.requests.insert(attempt.request);
        if pool.once {
            let runs = self.ledger.runs.entry((state.pool, job.call)).or_default();
            *runs += 1;
        }
        let spread = 0.7 + 0.6 * (self.chance.next_u64() % 1_000) as f64 / 1_000.0;
        let time = pool.time.scale(spread) * state.slow;
        let life = self.nodes[self.side_node(server)].life;
        self.after(time, Event::Finish { server, life, attempt });
    }

    pub(crate) fn finish(&mut self, server: usize, life: u64, attempt: AttemptId) {
        if self.nodes[self.side_node(server)].life == life {
            self.end(server, attempt, Outcome::Finished);
        }
    }

    pub(crate) fn end(&mut self, server: usize, attempt: AttemptId, outcome: Outcome) {
        let Some(job) = self.servers[server].jobs.remove(&attempt) else { return };
        let input = if self.servers[server].garbles { !job.input } else { job.input };
        let output = mix(input, attempt.stage);
        if self.scenario.pools[self.servers[server].pool].once && outcome == Outcome::Finished {
            self.servers[server].kept.insert(attempt, output);
        }
        let actions = self.servers[server].side.finish(self.now, attempt, outcome);
        if self.hosts[job.host].links[server] == Some(job.link) {
            let told = if self.servers[server].misreports {
                ToEntry::Refused(attempt, Refusal::Expired)
            } else {
                ToEntry::Done(attempt, outcome, output)
            };
            self.send_entry(server, job.host, told);
        }
        self.side_actions(server, actions);
    }
}
