//! The entry role: its decisions, and the requests that wait for them.

use goldcrestring::clock::Uptime;
use goldcrestring::name::{QueueName, TeamName, VmId};
use goldcrestring::request::EntryState;
use goldcrestring::request::admission::{Admission, AdmissionRequest, WaiterId};
use goldcrestring::request::routing::ServerChoice;
use std::collections::BTreeMap;

/// A request that waits for its start.
struct Waiter {
    sender: smol::channel::Sender<ServerChoice>,
    team: Option<TeamName>,
}

/// The state of the entry role in this process.
pub(crate) struct Entry {
    pub(crate) state: EntryState,
    waiters: BTreeMap<WaiterId, Waiter>,
}

/// What becomes of a request that asks to start.
pub(crate) enum StartDecision {
    /// It starts on this server.
    Immediate(ServerChoice),
    /// It waits for a server to be chosen.
    Deferred(WaiterId, smol::channel::Receiver<ServerChoice>),
    /// The queue is full.
    QueueFull,
    /// No server serves the queue.
    NoServer,
}

impl Entry {
    /// An entry without a lease, which starts nothing.
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: EntryState::new(seed), waiters: BTreeMap::new() }
    }

    /// Asks to start a request.
    pub(crate) fn request(&mut self, now: Uptime, request: AdmissionRequest) -> StartDecision {
        let team = request.team.clone();
        match self.state.request(now, request) {
            Admission::Start(choice) => StartDecision::Immediate(choice),
            Admission::Wait(id) => {
                let (sender, receiver) = smol::channel::bounded(1);
                self.waiters.insert(id, Waiter { sender, team });
                StartDecision::Deferred(id, receiver)
            }
            Admission::QueueFull => StartDecision::QueueFull,
            Admission::NoServer => StartDecision::NoServer,
        }
    }

    /// Forgets a waiting request; returns whether it still waited.
    pub(crate) fn cancel(&mut self, queue: &QueueName, id: WaiterId) -> bool {
        self.waiters.remove(&id);
        self.state.admission.cancel(queue, id)
    }

    /// Gives back what a task used, and starts what waited for it.
    pub(crate) fn finish(
        &mut self,
        now: Uptime,
        team: Option<&TeamName>,
        vm: &VmId,
        running: Option<u32>,
    ) {
        self.state.finish(team, vm, running);
        self.start_waiting(now);
    }

    /// Starts what can start and tells those who wait for it.
    pub(crate) fn start_waiting(&mut self, now: Uptime) {
        for (id, choice) in self.state.poll(now) {
            let vm = choice.vm.clone();
            let Some(waiter) = self.waiters.remove(&id) else { continue };
            if waiter.sender.try_send(choice).is_err() {
                self.state.finish(waiter.team.as_ref(), &vm, None);
            }
        }
    }
}
