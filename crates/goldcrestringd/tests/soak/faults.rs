//! Faults from outside, in series and overlapping, as one seed has them.

use crate::system::{LinkState, SERVERS, System, Target};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Mean time between two faults.
const MEAN_INTERVAL_MS: u64 = 700;

/// A change of the plan that makes calls be refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Withdrawal {
    Key(usize),
    Queue(usize),
}

/// How the leader is kept from answering.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Silence {
    /// Its responses to entries are held back.
    ResponsesHeld,
    Suspended,
    Killed,
}

/// A fault.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    Kill {
        target: Target,
        down: Duration,
    },
    Suspend {
        target: Target,
        duration: Duration,
    },
    Terminate {
        target: Target,
    },
    KillReplicas {
        down: Duration,
    },
    SuspendReplicas {
        count: usize,
        duration: Duration,
    },
    /// One direction or both between a process and all others.
    Cut {
        target: Target,
        state: LinkState,
        duration: Duration,
        closes: bool,
    },
    CloseConnections {
        target: Target,
    },
    /// The leader does not answer submissions that it received, and the plan changes meanwhile so
    /// that later attempts are refused.
    WithdrawDuringSilence {
        silence: Silence,
        withdrawal: Withdrawal,
        duration: Duration,
    },
    CrashServer {
        number: usize,
        down: Duration,
        is_new_id: bool,
    },
    RemoveServer {
        number: usize,
        down: Duration,
    },
    DelayOrders {
        number: usize,
        delay: Duration,
        duration: Duration,
    },
    ChangePlan {
        withdrawal: Withdrawal,
        duration: Duration,
    },
    Evacuate {
        data_centre: &'static str,
        duration: Duration,
    },
}

/// Creates the faults of a run with their times since its start, in order.
pub fn schedule(
    random: &mut SmallRng,
    replicas: usize,
    entries: usize,
    span: Duration,
) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(0..=2 * MEAN_INTERVAL_MS));
        if at >= span {
            return faults;
        }
        faults.push((at, fault(random, replicas, entries)));
    }
}

fn between_ms(random: &mut SmallRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..=to))
}

fn target(random: &mut SmallRng, processes: usize) -> Target {
    if random.random_bool(0.4) {
        Target::Leader
    } else {
        Target::Process(random.random_range(0..processes))
    }
}

fn withdrawal(random: &mut SmallRng) -> Withdrawal {
    if random.random() {
        Withdrawal::Key(random.random_range(0..2))
    } else {
        Withdrawal::Queue(random.random_range(0..2))
    }
}

fn fault(random: &mut SmallRng, replicas: usize, entries: usize) -> Fault {
    let processes = replicas + entries;
    match random.random_range(0..100) {
        0..12 => {
            Fault::Kill { target: target(random, processes), down: between_ms(random, 0, 3_000) }
        }
        12..28 => Fault::Suspend {
            target: target(random, processes),
            duration: between_ms(random, 200, 3_000),
        },
        28..34 => Fault::Terminate { target: target(random, processes) },
        34..37 => Fault::KillReplicas { down: between_ms(random, 0, 1_500) },
        37..42 => Fault::SuspendReplicas {
            count: random.random_range(1..=replicas),
            duration: between_ms(random, 200, 3_000),
        },
        42..52 => Fault::Cut {
            target: target(random, processes),
            state: match random.random_range(0..3) {
                0 => LinkState::Closed,
                1 => LinkState::RequestsHeld,
                _ => LinkState::ResponsesHeld,
            },
            duration: between_ms(random, 200, 3_000),
            closes: random.random(),
        },
        52..57 => Fault::CloseConnections { target: target(random, processes) },
        57..69 => Fault::WithdrawDuringSilence {
            silence: match random.random_range(0..4) {
                0 | 1 => Silence::ResponsesHeld,
                2 => Silence::Suspended,
                _ => Silence::Killed,
            },
            withdrawal: withdrawal(random),
            duration: between_ms(random, 900, 2_500),
        },
        69..77 => Fault::CrashServer {
            number: random.random_range(0..SERVERS),
            down: between_ms(random, 0, 4_000),
            is_new_id: random.random(),
        },
        77..81 => Fault::RemoveServer {
            number: random.random_range(0..SERVERS),
            down: between_ms(random, 0, 2_000),
        },
        81..90 => Fault::DelayOrders {
            number: random.random_range(0..SERVERS),
            delay: between_ms(random, 300, 5_000),
            duration: between_ms(random, 500, 3_000),
        },
        90..96 => Fault::ChangePlan {
            withdrawal: withdrawal(random),
            duration: between_ms(random, 300, 3_000),
        },
        _ => Fault::Evacuate {
            data_centre: if random.random() { "dc-a" } else { "dc-b" },
            duration: between_ms(random, 2_000, 12_000),
        },
    }
}

/// Carries a fault out and ends it.
pub fn inject(system: &Arc<System>, fault: &Fault) {
    match *fault {
        Fault::Kill { target, down } => {
            let process = system.resolve(target);
            system.kill(process);
            std::thread::sleep(down);
            system.restart(process);
        }
        Fault::Suspend { target, duration } => {
            let process = system.resolve(target);
            system.suspend(process);
            std::thread::sleep(duration);
            system.resume(process);
        }
        Fault::Terminate { target } => {
            let process = system.resolve(target);
            system.terminate(process);
            system.restart(process);
        }
        Fault::KillReplicas { down } => {
            let replicas = system.replicas_in_service();
            replicas.iter().for_each(|process| system.kill(*process));
            std::thread::sleep(down);
            replicas.iter().for_each(|process| system.restart(*process));
        }
        Fault::SuspendReplicas { count, duration } => {
            let first = system.resolve(Target::Leader);
            let processes: Vec<_> =
                (0..count).map(|offset| (first + offset) % system.replicas).collect();
            for process in &processes {
                system.suspend(*process);
            }
            std::thread::sleep(duration);
            for process in &processes {
                system.resume(*process);
            }
        }
        Fault::Cut { target, state, duration, closes } => {
            let process = system.resolve(target);
            set_links(system, process, state);
            std::thread::sleep(duration);
            if closes {
                close_connections(system, process);
            }
            set_links(system, process, LinkState::Open);
        }
        Fault::CloseConnections { target } => close_connections(system, system.resolve(target)),
        Fault::WithdrawDuringSilence { silence, withdrawal, duration } => {
            withdraw_during_silence(system, silence, withdrawal, duration);
        }
        Fault::CrashServer { number, down, is_new_id } => {
            system.crash_server(number);
            std::thread::sleep(down);
            let id = is_new_id.then(|| format!("i-{number}-{}", system.now().as_millis()));
            system.restart_server(number, id);
        }
        Fault::RemoveServer { number, down } => {
            system.remove_server(number);
            std::thread::sleep(down);
            let id = format!("i-{number}-{}", system.now().as_millis());
            system.restart_server(number, Some(id));
        }
        Fault::DelayOrders { number, delay, duration } => {
            system.set_order_delay(number, Some(delay));
            std::thread::sleep(duration);
            system.set_order_delay(number, None);
        }
        Fault::ChangePlan { withdrawal, duration } => {
            withdraw(system, withdrawal);
            std::thread::sleep(duration);
            grant_all(system);
        }
        Fault::Evacuate { data_centre, duration } => {
            smol::block_on(system.evacuate(data_centre, duration));
        }
    }
}

fn withdraw_during_silence(
    system: &Arc<System>,
    silence: Silence,
    withdrawal: Withdrawal,
    duration: Duration,
) {
    let leader = system.resolve(Target::Leader);
    let silence = match silence {
        Silence::ResponsesHeld if !system.has_links() => Silence::Suspended,
        silence => silence,
    };
    let entries = system.replicas..system.replicas + system.caller_addresses.len();
    match silence {
        Silence::ResponsesHeld => {
            entries.clone().for_each(|entry| {
                system.set_link(entry, leader, LinkState::ResponsesHeld);
            });
        }
        Silence::Suspended => system.suspend(leader),
        Silence::Killed => system.kill(leader),
    }
    // Submissions reach the leader in the meantime.
    std::thread::sleep(Duration::from_millis(100));
    let operator = {
        let system = Arc::clone(system);
        std::thread::spawn(move || withdraw(&system, withdrawal))
    };
    std::thread::sleep(duration);
    match silence {
        Silence::ResponsesHeld => {
            for entry in entries {
                system.close_connections(entry, leader);
                system.set_link(entry, leader, LinkState::Open);
            }
        }
        Silence::Suspended => system.resume(leader),
        Silence::Killed => system.restart(leader),
    }
    operator.join().expect("the operator");
    std::thread::sleep(duration);
    grant_all(system);
}

fn withdraw(system: &System, withdrawal: Withdrawal) {
    let mut keys = BTreeSet::from([0, 1]);
    let mut queues = BTreeSet::from([0, 1]);
    match withdrawal {
        Withdrawal::Key(key) => keys.remove(&key),
        Withdrawal::Queue(queue) => queues.remove(&queue),
    };
    smol::block_on(system.replace_plan(&keys, &queues));
}

/// Puts the plan with all keys and queues in force.
pub fn grant_all(system: &System) {
    let all = BTreeSet::from([0, 1]);
    smol::block_on(system.replace_plan(&all, &all));
}

fn set_links(system: &System, process: usize, state: LinkState) {
    for other in (0..system.processes()).filter(|other| *other != process) {
        system.set_link(other, process, state);
        system.set_link(
            process,
            other,
            if state == LinkState::Closed { state } else { LinkState::Open },
        );
    }
}

fn close_connections(system: &System, process: usize) {
    for other in (0..system.processes()).filter(|other| *other != process) {
        system.close_connections(other, process);
        system.close_connections(process, other);
    }
}
