//! Relays of the leader's calls: losses, late and duplicate results, terms and shards.

use goldcrestring::job::engine::{Action, CallId, OrderResponse, PollReport, Target};
use goldcrestring::job::relay::{
    Ack, Batch, CallOutcome, CallResult, Gate, Outbox, RelayEvent, RelayOutput, RelaySettings,
    Relays, owner,
};
use goldcrestring::job::{ServerId, TaskId};
use goldcrestring::name::NodeId;
use goldcrestring::quantity::Term;
use std::collections::BTreeSet;
use std::time::Duration;

const TERM: Term = Term::new(7);

const START: Duration = Duration::from_secs(100);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(name: &str) -> NodeId {
    name.parse().expect("a name")
}

fn call(number: u64) -> CallId {
    CallId::new(TERM, number)
}

fn target(server: &str) -> Target {
    Target { server: server.into(), address: ([127, 0, 0, 1], 1).into() }
}

fn poll(number: u64, server: &str) -> Action {
    Action::Poll {
        call: call(number),
        target: target(server),
        fence: 7,
        recorded_end: 0,
        lease_until_ms: Some(5_000),
        wait: ms(800),
        timeout: ms(1_300),
    }
}

fn stop(number: u64, server: &str) -> Action {
    let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse().expect("a task");
    Action::Stop {
        call: call(number),
        target: target(server),
        fence: 7,
        task,
        attempt: 1,
        timeout: ms(500),
    }
}

fn result(number: u64, outcome: CallOutcome) -> CallResult {
    CallResult { call: call(number), outcome }
}

const DONE: CallOutcome = CallOutcome::Order(OrderResponse::Done { clock_ms: 1 });

const LOST: CallOutcome = CallOutcome::Order(OrderResponse::Lost);

fn accept(now: Duration) -> Ack {
    Ack { is_accepted: true, uptime: now }
}

/// A leader whose relays have all acknowledged a probe.
fn leader(names: &[&str]) -> Relays {
    let mut relays = Relays::new(RelaySettings::default());
    relays.set_members(START, Some(TERM), names.iter().map(|name| id(name)).collect());
    for (relay, number, batch) in relays.take_batches(START) {
        assert!(batch.actions.is_empty());
        relays.handle_ack(START, &relay, number, accept(START));
    }
    assert_eq!(relays.take_output().events.len(), names.len());
    relays
}

/// Hands calls to the only relay and returns the number of their batch.
fn hand_over(relays: &mut Relays, now: Duration, actions: &[Action]) -> u64 {
    for action in actions {
        assert_eq!(relays.submit(now, action.clone()), None);
    }
    let mut batches = relays.take_batches(now);
    batches.retain(|(_, _, batch)| !batch.actions.is_empty());
    assert_eq!(batches.len(), 1);
    assert_eq!(batches[0].2.actions, actions);
    batches[0].1
}

fn outcomes(output: &RelayOutput) -> Vec<CallResult> {
    output.results.clone()
}

/// A start that waits behind unacknowledged batches must not be sent long after its decision, when its
/// job may have been cancelled or its backend server may be draining.
#[test]
fn a_call_that_waits_too_long_for_a_batch_is_decided_anew() {
    let mut relays = leader(&["a"]);
    for number in 0..3 {
        hand_over(&mut relays, START, &[stop(number, "i-1")]);
    }
    assert_eq!(relays.submit(START, stop(3, "i-1")), None);
    assert_eq!(relays.submit(START + ms(300), stop(4, "i-1")), None);
    assert!(relays.take_batches(START + ms(301)).is_empty(), "three are unacknowledged");
    let output = relays.take_output();
    assert!(output.direct.is_empty());
    assert_eq!(outcomes(&output), [result(3, CallOutcome::Dropped)]);
}

/// A leader that was suspended must not make itself what it decided long ago.
#[test]
fn an_old_call_is_not_repeated_by_the_leader() {
    for (age, is_repeated) in [(600, true), (601, false)] {
        let mut relays = leader(&["a"]);
        let batch = hand_over(&mut relays, START, &[poll(1, "i-1"), stop(2, "i-2")]);
        relays.handle_ack(START, &id("a"), batch, accept(START));
        relays.handle_results(START + ms(age), vec![result(2, CallOutcome::Dropped)]);
        relays.handle_results(START + ms(age), vec![result(1, CallOutcome::Dropped)]);
        let output = relays.take_output();
        let dropped = [result(2, CallOutcome::Dropped), result(1, CallOutcome::Dropped)];
        let actions = [stop(2, "i-2"), poll(1, "i-1")];
        assert_eq!(output.direct, if is_repeated { &actions[..] } else { &[] });
        assert_eq!(output.results, if is_repeated { &[] } else { &dropped[..] });
    }
}

/// A fleet without live relays must be called by the leader, as must the platform's APIs.
#[test]
fn without_a_live_relay_the_leader_calls_itself() {
    let mut relays = Relays::new(RelaySettings::default());
    assert!(relays.submit(START, poll(1, "i-1")).is_some());
    relays.set_members(START, Some(TERM), [id("a")].into());
    assert!(relays.submit(START, poll(1, "i-1")).is_some(), "not acknowledged yet");
    let mut relays = leader(&["a"]);
    let list = Action::ListMachines { call: call(2), page: None };
    assert_eq!(relays.submit(START, list.clone()), Some(list));
}

/// A relay that dies with a batch under way must cost no lease: polls are made again at once, and
/// orders that it may have sent count as lost, not as unsent.
#[test]
fn a_relay_lost_in_the_middle_of_a_batch_leaves_no_call_without_a_result() {
    let mut relays = leader(&["a"]);
    let batch = hand_over(&mut relays, START, &[poll(1, "i-1"), stop(2, "i-2")]);
    assert_eq!(relays.submit(START, stop(3, "i-3")), None, "queued, not handed over");
    relays.handle_failure(START + ms(400), &id("a"), batch, false);
    let output = relays.take_output();
    let mut direct = output.direct.clone();
    direct.sort_by_key(|action| matches!(action, Action::Stop { .. }));
    assert_eq!(direct, [poll(1, "i-1"), stop(3, "i-3")]);
    assert_eq!(outcomes(&output), [result(2, LOST)]);
    let lost = RelayEvent::Lost { relay: id("a"), live: 0, repeated: 2, lost: 1 };
    assert_eq!(output.events, [lost]);
    assert!(relays.submit(START + ms(401), poll(4, "i-1")).is_some());
}

/// A batch that a relay surely did not get is made by the leader, orders included.
#[test]
fn a_refused_or_unsent_batch_is_made_by_the_leader() {
    for is_refused in [true, false] {
        let mut relays = leader(&["a"]);
        let batch = hand_over(&mut relays, START, &[poll(1, "i-1"), stop(2, "i-1")]);
        if is_refused {
            let ack = Ack { is_accepted: false, uptime: START };
            relays.handle_ack(START, &id("a"), batch, ack);
        } else {
            relays.handle_failure(START, &id("a"), batch, true);
        }
        let output = relays.take_output();
        assert_eq!(output.direct, [poll(1, "i-1"), stop(2, "i-1")], "in order");
        assert!(output.results.is_empty());
    }
}

/// A leader whose lease runs out for a moment must keep its relays, which are sound: without them it
/// would have to make all calls itself just when it is slow.
#[test]
fn a_leader_without_its_lease_keeps_its_relays() {
    let mut relays = leader(&["a"]);
    let batch = hand_over(&mut relays, START, &[poll(1, "i-1"), stop(2, "i-1")]);
    relays.handle_unsent(START, &id("a"), batch);
    let output = relays.take_output();
    assert_eq!(output.direct, [poll(1, "i-1"), stop(2, "i-1")], "in order");
    assert!(output.events.is_empty() && output.results.is_empty());
    assert_eq!(relays.submit(START, poll(3, "i-1")), None);
}

/// A relay that shuts down refuses batches but still reports the orders that it has sent.
#[test]
fn a_relay_that_refuses_still_reports_its_orders() {
    let mut relays = leader(&["a"]);
    let first = hand_over(&mut relays, START, &[stop(1, "i-1")]);
    relays.handle_ack(START, &id("a"), first, accept(START));
    let second = hand_over(&mut relays, START, &[stop(2, "i-2")]);
    relays.handle_ack(START, &id("a"), second, Ack { is_accepted: false, uptime: START });
    assert!(relays.take_output().results.is_empty());
    relays.handle_results(START, vec![result(1, DONE)]);
    assert_eq!(outcomes(&relays.take_output()), [result(1, DONE)]);
}

/// Results that come twice or after their deadline must not reach the engine again.
#[test]
fn each_call_gets_one_result() {
    let mut relays = leader(&["a"]);
    let batch = hand_over(&mut relays, START, &[stop(1, "i-1"), stop(2, "i-2")]);
    relays.handle_ack(START, &id("a"), batch, accept(START));
    relays.handle_results(START, vec![result(1, DONE), result(1, DONE)]);
    relays.handle_results(START, vec![result(1, LOST)]);
    assert_eq!(outcomes(&relays.take_output()), [result(1, DONE)]);
    relays.tick(START + ms(1_199));
    assert!(relays.take_output().results.is_empty());
    relays.tick(START + ms(1_200));
    let output = relays.take_output();
    assert_eq!(outcomes(&output), [result(2, LOST)]);
    assert_eq!(output.events[0], RelayEvent::ResultsLost { relay: id("a"), count: 1 });
    assert!(matches!(output.events[1], RelayEvent::Lost { .. }));
    relays.handle_results(START + ms(1_201), vec![result(2, DONE)]);
    assert!(relays.take_output().results.is_empty(), "late");
}

/// A new term must get no results of calls that the engine of an earlier one made.
#[test]
fn results_of_another_term_are_ignored() {
    let mut relays = leader(&["a"]);
    hand_over(&mut relays, START, &[stop(1, "i-1")]);
    relays.set_members(START, Some(TERM.next()), [id("a")].into());
    relays.handle_results(START, vec![result(1, DONE)]);
    relays.tick(START + ms(5_000));
    assert!(relays.take_output().results.is_empty());
    assert!(relays.submit(START, stop(2, "i-1")).is_some(), "a call of the earlier term");
}

/// Backend servers that come and go around the limit must not move all calls back and forth, each time
/// with orders that count as lost.
#[test]
fn a_fleet_at_the_limit_keeps_its_relays() {
    let mut relays = Relays::new(RelaySettings::default());
    assert!(!relays.is_needed(100, 100));
    assert!(relays.is_needed(101, 100));
    relays.set_members(START, Some(TERM), [id("a")].into());
    assert!(relays.is_needed(75, 100));
    assert!(!relays.is_needed(74, 100));
    relays.set_members(START, Some(TERM), BTreeSet::new());
    assert!(!relays.is_needed(100, 100));
}

/// A replica that leaves the membership leaves no call without a result.
#[test]
fn a_removed_replica_loses_its_calls() {
    let mut relays = leader(&["a"]);
    hand_over(&mut relays, START, &[poll(1, "i-1"), stop(2, "i-2")]);
    relays.set_members(START, Some(TERM), BTreeSet::new());
    let output = relays.take_output();
    assert_eq!(output.direct, [poll(1, "i-1")]);
    assert_eq!(outcomes(&output), [result(2, LOST)]);
}

/// A lost relay is probed after its exclusion and gets calls again only once it has answered.
#[test]
fn a_lost_relay_returns_after_a_probe() {
    let mut relays = leader(&["a"]);
    let batch = hand_over(&mut relays, START, &[poll(1, "i-1")]);
    relays.handle_failure(START, &id("a"), batch, true);
    assert!(relays.take_batches(START + ms(2_999)).is_empty());
    let (relay, number, _) = relays.take_batches(START + ms(3_000)).remove(0);
    assert!(relays.submit(START + ms(3_000), poll(2, "i-1")).is_some());
    relays.handle_ack(START + ms(3_010), &relay, number, accept(START));
    assert_eq!(relays.submit(START + ms(3_010), poll(3, "i-1")), None);
}

/// A backend server that its relay can't reach is called by the leader, so that a cut between the
/// two does not let its lease run out.
#[test]
fn a_server_that_a_relay_cannot_reach_is_called_by_the_leader() {
    let mut relays = leader(&["a"]);
    hand_over(&mut relays, START, &[poll(1, "i-1")]);
    relays.handle_results(START, vec![result(1, CallOutcome::Poll(None))]);
    assert!(relays.submit(START, poll(2, "i-1")).is_some());
    hand_over(&mut relays, START, &[poll(3, "i-2")]);
    relays.handle_results(START, vec![result(3, CallOutcome::Poll(Some(PollReport::default())))]);
    relays.tick(START + ms(5_000));
    assert_eq!(relays.submit(START + ms(5_000), poll(4, "i-1")), None);
}

/// Orders that a relay can't deliver must not be tried through it again and again: the poll that would
/// tell may wait for more than a second.
#[test]
fn an_order_that_a_relay_cannot_deliver_makes_the_leader_call_the_server() {
    for response in [OrderResponse::Lost, OrderResponse::NotSent] {
        let mut relays = leader(&["a"]);
        hand_over(&mut relays, START, &[stop(1, "i-1")]);
        relays.handle_results(START, vec![result(1, CallOutcome::Order(response))]);
        assert!(relays.submit(START, stop(2, "i-1")).is_some(), "{response:?}");
        assert_eq!(relays.submit(START, stop(3, "i-2")), None, "another server");
    }
}

/// A backend server that the leader can't reach either is called by its relay again, so that its lease
/// is extended while either can.
#[test]
fn a_server_that_the_leader_cannot_reach_is_called_by_its_relay() {
    let mut relays = leader(&["a"]);
    hand_over(&mut relays, START, &[poll(1, "i-1")]);
    relays.handle_results(START, vec![result(1, CallOutcome::Poll(None))]);
    let direct = relays.submit(START, poll(2, "i-1")).expect("a direct call");
    relays.handle_direct_failure(&direct);
    assert_eq!(relays.submit(START, poll(3, "i-1")), None);
}

/// A dropped call was not sent; the leader makes it, which checks its lease again.
#[test]
fn a_dropped_call_is_made_by_the_leader() {
    let mut relays = leader(&["a"]);
    hand_over(&mut relays, START, &[stop(1, "i-1")]);
    relays.handle_results(START, vec![result(1, CallOutcome::Dropped)]);
    let output = relays.take_output();
    assert_eq!(output.direct, [stop(1, "i-1")]);
    assert!(output.results.is_empty());
}

/// Overload must not grow the memory: the leader makes further calls itself.
#[test]
fn a_relay_with_too_many_calls_gets_no_more() {
    let mut relays = leader(&["a"]);
    for number in 0..1_024 {
        assert_eq!(relays.submit(START, stop(number, "i-1")), None);
    }
    assert!(relays.submit(START, stop(1_024, "i-1")).is_some());
}

/// Kept connections are lost only for the backend servers of a relay that is lost.
#[test]
fn the_loss_of_a_relay_moves_only_its_own_servers() {
    let relays: Vec<_> = ["a", "b", "c", "d"].map(id).into();
    let servers: Vec<_> = (0..1_000).map(|n| ServerId::from(format!("i-{n}"))).collect();
    let owners = |relays: &[NodeId]| -> Vec<NodeId> {
        servers.iter().map(|server| owner(server, relays).expect("an owner").clone()).collect()
    };
    let (all, fewer) = (owners(&relays), owners(&relays[1..]));
    for (before, after) in all.iter().zip(&fewer) {
        assert!(before == after || *before == relays[0]);
    }
    for relay in &relays {
        let count = all.iter().filter(|owner| *owner == relay).count();
        assert!((200..300).contains(&count), "{relay}: {count}");
    }
}

fn batch(term: u64, made_after: Option<Duration>, calls: usize) -> Batch {
    let actions = (0..).take(calls).map(|number| stop(number, "i-1")).collect();
    Batch { term: Term::new(term), made_after, actions }
}

/// A batch of a deposed leader must not be carried out once a newer leader is known.
#[test]
fn a_relay_drops_calls_of_an_earlier_term() {
    let mut gate = Gate::default();
    assert!(gate.receive(START, &batch(7, None, 1), false).is_accepted);
    assert!(gate.may_send(START, Term::new(7), START));
    gate.note_term(Term::new(8));
    assert!(!gate.may_send(START, Term::new(7), START));
    assert!(!gate.receive(START, &batch(7, None, 1), false).is_accepted);
    assert!(gate.receive(START, &batch(8, None, 1), false).is_accepted);
}

/// A relay that was suspended must not carry out what the leader has long taken as lost.
#[test]
fn a_relay_drops_what_is_late() {
    let mut gate = Gate::default();
    assert!(gate.may_send(START + ms(300), TERM, START));
    assert!(!gate.may_send(START + ms(301), TERM, START));
    assert!(gate.receive(START, &batch(7, Some(START - ms(600)), 1), false).is_accepted);
    assert!(!gate.receive(START, &batch(7, Some(START - ms(601)), 1), false).is_accepted);
}

/// The leader's batch tells its age on the relay's clock, whatever the difference of the clocks.
#[test]
fn a_batch_carries_the_time_of_its_making_on_the_relays_clock() {
    let mut relays = Relays::new(RelaySettings::default());
    relays.set_members(START, Some(TERM), [id("a")].into());
    let (relay, number, _) = relays.take_batches(START).remove(0);
    relays.handle_ack(START + ms(2), &relay, number, accept(ms(40)));
    assert_eq!(relays.submit(START + ms(12), poll(1, "i-1")), None);
    let (_, _, batch) = relays.take_batches(START + ms(12)).remove(0);
    assert_eq!(batch.made_after, Some(ms(50)));
}

/// A relay that stops or has too many calls refuses further batches.
#[test]
fn a_relay_refuses_when_it_stops_or_is_full() {
    let mut gate = Gate::default();
    assert!(!gate.receive(START, &batch(7, None, 0), true).is_accepted);
    assert!(gate.receive(START, &batch(7, None, 2_048), false).is_accepted);
    assert!(!gate.receive(START, &batch(7, None, 1), false).is_accepted);
    gate.finish(1);
    assert!(gate.receive(START, &batch(7, None, 1), false).is_accepted);
}

/// Results for a leader that has died wait for timeouts; its successor's must not wait with them.
#[test]
fn results_for_a_dead_leader_do_not_delay_those_for_the_next() {
    let (dead, next) = (id("a"), id("b"));
    let mut outbox = Outbox::default();
    assert!(outbox.add(&dead, result(1, LOST)));
    assert_eq!(outbox.take(&dead), Some(vec![result(1, LOST)]), "under way");
    assert!(outbox.add(&next, result(2, DONE)), "sent at once");
    assert_eq!(outbox.take(&next), Some(vec![result(2, DONE)]));
}

/// A busy leader gets the results that wait in one message, not in one each.
#[test]
fn results_wait_while_a_message_to_their_leader_is_under_way() {
    let leader = id("a");
    let mut outbox = Outbox::default();
    assert!(outbox.add(&leader, result(1, DONE)));
    assert_eq!(outbox.take(&leader), Some(vec![result(1, DONE)]));
    assert!(!outbox.add(&leader, result(2, DONE)));
    assert!(!outbox.add(&leader, result(3, DONE)));
    assert_eq!(outbox.take(&leader), Some(vec![result(2, DONE), result(3, DONE)]));
    assert_eq!(outbox.take(&leader), None);
    assert!(outbox.add(&leader, result(4, DONE)), "sending has ended");
}

/// The age of a batch that was made before the relay's VM was started again is unknown: its clock began
/// anew, so a start held back for long would pass as fresh.
#[test]
fn a_relay_that_was_started_again_refuses_a_batch_made_before() {
    let mut gate = Gate::default();
    assert!(!gate.receive(START, &batch(7, Some(START + ms(1)), 1), false).is_accepted);
    assert!(gate.receive(START, &batch(7, Some(START), 1), false).is_accepted);
}
