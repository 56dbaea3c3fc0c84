//! State of the entry role: decides which requests may start and holds those that wait for
//! capacity.

use goldcrestring::clock::Uptime;
use goldcrestring::name::{QueueName, TeamName, VmId};
use goldcrestring::request::EntryState;
use goldcrestring::request::admission::{Admission, AdmissionRequest, WaiterId};
use goldcrestring::request::routing::ServerChoice;
use std::collections::BTreeMap;

/// A request that waits for capacity.
struct Waiter {
    sender: smol::channel::Sender<ServerChoice>,
    team: Option<TeamName>,
}

/// State of the entry role in this process.
pub(crate) struct Entry {
    pub(crate) state: EntryState,
    waiters: BTreeMap<WaiterId, Waiter>,
}

/// Decision about the start of a request.
pub(crate) enum StartDecision {
    /// The request starts now on the chosen server.
    Immediate(ServerChoice),
    /// The request waits until a server is chosen, which the receiver then yields.
    Deferred(WaiterId, smol::channel::Receiver<ServerChoice>),
    /// The queue is full.
    QueueFull,
    /// No server serves the queue.
    NoServer,
}

impl Entry {
    /// Creates an entry without a configuration lease; it starts nothing until it holds one.
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: EntryState::new(seed), waiters: BTreeMap::new() }
    }

    /// Decides whether a request starts now, waits or is rejected.
    pub(crate) fn admit(&mut self, now: Uptime, request: AdmissionRequest) -> StartDecision {
        let team = request.team.clone();
        match self.state.admit(now, request) {
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

    /// Cancels a waiting request. Returns whether it was still waiting.
    pub(crate) fn cancel(&mut self, queue: &QueueName, id: WaiterId) -> bool {
        self.waiters.remove(&id);
        self.state.admission.cancel(queue, id)
    }

    /// Releases the capacity that a task used and starts requests that waited for it.
    ///
    /// `running` is the number of running tasks that the backend server reported, if it did.
    pub(crate) fn finish(
        &mut self,
        now: Uptime,
        team: Option<&TeamName>,
        vm: &VmId,
        running: Option<u32>,
    ) {
        self.state.finish(team, vm, running);
        self.start_waiting_requests(now);
    }

    /// Starts the waiting requests that now have capacity and notifies their handlers.
    pub(crate) fn start_waiting_requests(&mut self, now: Uptime) {
        for (id, choice) in self.state.poll(now) {
            let vm = choice.vm.clone();
            let Some(waiter) = self.waiters.remove(&id) else { continue };
            if waiter.sender.try_send(choice).is_err() {
                self.state.finish(waiter.team.as_ref(), &vm, None);
            }
        }
    }
}
