//! A replica that is replaced by one on another node while the leader is lost; then as many disks as a fleet
//! must survive are lost while all other replicas are killed.

use crate::faults;
use crate::system::{LinkState, System, Target};
use goldcrestring_platform_stand_in::FleetSettings;
use goldcrestring_wire::runtime;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The number of replicas at a time.
const REPLICAS: u8 = 5;

/// The number of lost disks that the fleet must survive.
const MAX_LOST_DISKS: usize = 2;

/// How long after the last fault the fleet must survive the next ones.
const CATCH_UP: Duration = Duration::from_secs(4);

/// When the new replica starts.
const START_AT: Duration = Duration::from_millis(1_500);

/// How long the replicas are down in the final fault.
const DOWN: Duration = Duration::from_secs(1);

/// Interval between two changes of the plan.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for the fleet to recover; only bounds a hang.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

type Result<T> = std::result::Result<T, String>;

/// How the leader is lost for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaderLoss {
    None,
    /// It reaches the new replica only.
    CutOff,
    /// It receives messages, but only the new replica receives its own.
    Unheard,
    /// It sends messages, but receives only those of the new replica.
    Deaf,
    Suspended,
    Killed,
    Terminated,
}

const LEADER_LOSSES: [LeaderLoss; 7] = [
    LeaderLoss::None,
    LeaderLoss::CutOff,
    LeaderLoss::Unheard,
    LeaderLoss::Deaf,
    LeaderLoss::Suspended,
    LeaderLoss::Killed,
    LeaderLoss::Terminated,
];

/// What happens to the new replica after its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Setback {
    None,
    Restart,
    LostDisk,
}

/// When the final fault comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalFault {
    /// Once the fleet must survive it.
    AfterCatchUp,
    /// Once all running replicas are voters, however long that takes.
    AfterVoters,
}

/// A replacement; times are since its start.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    pub loss: LeaderLoss,
    pub loss_at: Duration,
    pub loss_duration: Duration,
    /// Whether messages that a cut has held back are lost at its end.
    pub are_messages_lost: bool,
    pub setback: Setback,
    pub setback_at: Duration,
    /// Which follower is replaced, in the order of their numbers.
    pub replaced: usize,
    /// Whether the replaced replica is asked to shut down.
    pub is_planned: bool,
    pub remove_at: Duration,
}

/// The new replica joins at a leader that has just been cut off, and the replaced one leaves later.
impl Default for Replacement {
    fn default() -> Self {
        Self {
            loss: LeaderLoss::CutOff,
            loss_at: START_AT - Duration::from_millis(300),
            loss_duration: Duration::from_millis(2_500),
            are_messages_lost: true,
            setback: Setback::None,
            setback_at: START_AT,
            replaced: 0,
            is_planned: true,
            remove_at: START_AT + CATCH_UP,
        }
    }
}

impl Replacement {
    pub fn draw(random: &mut SmallRng) -> Self {
        let mut between_ms = |from, to| Duration::from_millis(random.random_range(from..=to));
        let setback_at = START_AT + between_ms(50, 1_500);
        let remove_at = between_ms(0, 3_500);
        // Half of the losses come after the replaced replica has left and before the others act on it.
        let (any_time, after_removal) =
            (between_ms(300, 5_500), remove_at + between_ms(300, 2_600));
        let loss_duration = between_ms(400, 3_000);
        let loss_at = if random.random() { any_time } else { after_removal };
        Self {
            loss: LEADER_LOSSES[random.random_range(0..LEADER_LOSSES.len())],
            loss_at,
            loss_duration,
            are_messages_lost: random.random(),
            setback: match random.random_range(0..5) {
                0 => Setback::Restart,
                1 => Setback::LostDisk,
                _ => Setback::None,
            },
            setback_at,
            replaced: random.random_range(0..usize::from(REPLICAS) - 1),
            is_planned: random.random(),
            remove_at,
        }
    }

    /// Plays the replacement and the final fault with the given daemon. Returns how long after the last fault
    /// all running replicas were voters, if they were before the final fault.
    ///
    /// # Errors
    ///
    /// Fails if no leader is elected after the final fault, if an acknowledged plan is gone, or if a running
    /// replica does not become a voter.
    pub fn play(
        self,
        daemon: &Path,
        subnet: u8,
        logs: &Path,
        final_fault: FinalFault,
    ) -> Result<Option<Duration>> {
        let _ = runtime::start(3);
        let settings = FleetSettings {
            subnet,
            replicas: REPLICAS,
            spares: 1,
            is_linked: true,
            logs: Some(logs.to_owned()),
            ..FleetSettings::default()
        };
        let system = System::start(daemon, &settings).map_err(|error| error.to_string())?;
        let system = Arc::new(system);
        faults::grant_all(&system);
        let has_ended = Arc::new(AtomicBool::new(false));
        let operator = change_plans(&system, &has_ended);
        self.inject(&system)?;
        let until_voters = wait_for_voters(&system, final_fault);
        inject_final_fault(&system);
        has_ended.store(true, Ordering::Relaxed);
        wait_until("a leader is elected after the final fault", || {
            smol::block_on(system.leader()).is_some()
        })?;
        operator.join().map_err(|_| "a change of the plan has no answer".to_owned())?;
        system.check_plan()?;
        wait_until("all running replicas are voters after the final fault", || {
            system.are_all_voters()
        })?;
        Ok(until_voters)
    }

    /// Injects all faults but the final one.
    fn inject(self, system: &Arc<System>) -> Result<()> {
        let spare = system.processes() - 1;
        let leader = system.resolve(Target::Leader);
        let mut followers = (0..system.replicas).filter(|number| *number != leader);
        let replaced = followers.nth(self.replaced).expect("fewer than there are followers");
        let start = system.now();
        let steps = [
            spawn_at(system, start + self.loss_at, move |system| {
                self.lose_leader(system, leader, spare);
            }),
            spawn_at(system, start + START_AT, move |system| system.start_spare(spare)),
            spawn_at(system, start + self.setback_at, move |system| match self.setback {
                Setback::None => {}
                Setback::Restart => {
                    system.kill(spare);
                    system.restart(spare);
                }
                Setback::LostDisk => {
                    system.lose_disk(spare);
                    system.restart(spare);
                }
            }),
            spawn_at(system, start + self.remove_at, move |system| {
                system.remove(replaced, self.is_planned);
            }),
        ];
        for step in steps {
            step.join().map_err(|_| "a fault could not be injected".to_owned())?;
        }
        Ok(())
    }

    fn lose_leader(self, system: &System, leader: usize, spare: usize) {
        let replicas = system.replicas_in_service().into_iter();
        let others: Vec<_> = replicas.filter(|other| *other != leader && *other != spare).collect();
        let set_links = |outward, inward| {
            for other in &others {
                system.set_link(leader, *other, outward);
                system.set_link(*other, leader, inward);
            }
        };
        match self.loss {
            LeaderLoss::None => return,
            LeaderLoss::CutOff => set_links(LinkState::Closed, LinkState::Closed),
            LeaderLoss::Unheard => set_links(LinkState::RequestsHeld, LinkState::ResponsesHeld),
            LeaderLoss::Deaf => set_links(LinkState::ResponsesHeld, LinkState::RequestsHeld),
            LeaderLoss::Suspended => system.suspend(leader),
            LeaderLoss::Killed => system.kill(leader),
            LeaderLoss::Terminated => system.terminate(leader),
        }
        std::thread::sleep(self.loss_duration);
        if self.are_messages_lost {
            for other in &others {
                system.close_connections(leader, *other);
                system.close_connections(*other, leader);
            }
        }
        set_links(LinkState::Open, LinkState::Open);
        system.resume(leader);
        system.restart(leader);
    }
}

fn wait_until(what: &str, is_done: impl Fn() -> bool) -> Result<()> {
    let since = Instant::now();
    while !is_done() {
        if since.elapsed() > RECOVERY_TIMEOUT {
            return Err(format!("LOST: not within {RECOVERY_TIMEOUT:?}: {what}"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Waits until the final fault may come. Returns when all running replicas were voters, if they were.
fn wait_for_voters(system: &System, final_fault: FinalFault) -> Option<Duration> {
    let limit = match final_fault {
        FinalFault::AfterCatchUp => CATCH_UP,
        FinalFault::AfterVoters => RECOVERY_TIMEOUT,
    };
    let since = Instant::now();
    let mut until_voters = None;
    while since.elapsed() < limit {
        if until_voters.is_none() && system.are_all_voters() {
            until_voters = Some(since.elapsed());
        }
        if until_voters.is_some() && final_fault == FinalFault::AfterVoters {
            break;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    until_voters
}

/// Runs a function on another thread at a time since the start of the system.
fn spawn_at(
    system: &Arc<System>,
    at: Duration,
    run: impl FnOnce(&System) + Send + 'static,
) -> JoinHandle<()> {
    let system = Arc::clone(system);
    std::thread::spawn(move || {
        std::thread::sleep(at.saturating_sub(system.now()));
        run(&system);
    })
}

/// Changes the plan again and again, each time until it is acknowledged.
fn change_plans(system: &Arc<System>, has_ended: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (system, has_ended) = (Arc::clone(system), Arc::clone(has_ended));
    std::thread::spawn(move || {
        while !has_ended.load(Ordering::Relaxed) {
            faults::grant_all(&system);
            std::thread::sleep(PLAN_INTERVAL);
        }
    })
}

/// Loses the oldest disks and kills all other replicas, then starts all again.
fn inject_final_fault(system: &System) {
    let running = system.replicas_in_service();
    // The new replica has the highest number and the youngest disk.
    for (position, process) in running.iter().enumerate().rev() {
        if position < MAX_LOST_DISKS {
            system.lose_disk(*process);
        } else {
            system.kill(*process);
        }
    }
    std::thread::sleep(DOWN);
    running.iter().for_each(|process| system.restart(*process));
}
