//! Answers that are late, duplicated, lost, reordered or meant for an earlier incarnation reach only
//! the caller of their call, and at most once.

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use protocol::{CallId, Incarnation, PendingCalls};
use std::collections::BTreeMap;

const TIMEOUT_MS: u64 = 100;

#[test]
fn answer_finishes_the_call_that_it_belongs_to() {
    let mut calls = PendingCalls::new(Incarnation(7), TIMEOUT_MS);
    let first = calls.begin("a", 0, "first");
    let second = calls.begin("a", 0, "second");
    assert_eq!(calls.finish(&"a", second, 1), Some("second"));
    assert_eq!(calls.finish(&"a", second, 1), None, "a second answer");
    assert_eq!(calls.finish(&"b", first, 1), None, "an answer of another peer");
    let of_earlier_incarnation = CallId {
        incarnation: Incarnation(6),
        ..first
    };
    assert_eq!(
        calls.finish(&"a", of_earlier_incarnation, 1),
        None,
        "an answer to another incarnation"
    );
    assert_eq!(calls.finish(&"a", first, 1), Some("first"));
    let unmatched = calls.unmatched();
    assert_eq!(
        (
            unmatched.other_incarnation,
            unmatched.other_peer,
            unmatched.not_pending
        ),
        (1, 1, 1)
    );
}

#[test]
fn expired_calls_are_removed() {
    let mut calls = PendingCalls::new(Incarnation(7), TIMEOUT_MS);
    for now in 0..10 * TIMEOUT_MS {
        calls.begin("a", now, ());
        assert!(calls.pending() as u64 <= TIMEOUT_MS);
    }
    let late = calls.begin("a", 10 * TIMEOUT_MS, ());
    assert_eq!(calls.finish(&"a", late, 11 * TIMEOUT_MS), None);
    assert_eq!((calls.pending(), calls.unmatched().not_pending), (0, 1));
}

/// Faults in the correlation, injected to verify that the checks detect them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Calls are identified by number alone, counted from 1 in each incarnation.
    IncarnationIgnored,
    /// An answer is accepted from any peer.
    PeerIgnored,
    /// A call stays pending after its answer.
    AnsweredTwice,
}

const NODES: usize = 3;

/// One step of the simulation. Every node makes and answers calls. A call or answer in transit may
/// arrive at any time, any number of times, and at a node that it was not sent to.
#[derive(Clone, Debug)]
enum Step {
    Call { from: usize, peer: usize },
    DeliverCall(Index, Option<usize>),
    DeliverAnswer(Index, Option<usize>),
    Restart(usize),
    Wait(u64),
}

#[derive(Clone, Copy, Debug)]
struct SentCall {
    id: CallId,
    from: usize,
    /// Ordinal number of the caller's incarnation, from 1.
    incarnation: u64,
    peer: usize,
    /// Number that is unique among the calls of all nodes and incarnations, used by the checks.
    serial: u64,
}

struct Simulation {
    fault: Fault,
    now: u64,
    incarnations: [u64; NODES],
    calls: Vec<PendingCalls<usize, u64>>,
    sent: Vec<SentCall>,
    answers: Vec<(SentCall, usize)>,
    answered: BTreeMap<CallId, u64>,
}

impl Simulation {
    fn start(&mut self, node: usize) -> PendingCalls<usize, u64> {
        self.incarnations[node] += 1;
        let unique = (self.incarnations[node] << 8) + node as u64;
        let incarnation = if self.fault == Fault::IncarnationIgnored {
            1
        } else {
            unique
        };
        PendingCalls::new(Incarnation(incarnation), TIMEOUT_MS)
    }

    fn call(&mut self, from: usize, peer: usize) -> Result<(), String> {
        let serial = self.sent.len() as u64 + 1;
        let id = self.calls[from].begin(peer, self.now, serial);
        let incarnation = self.incarnations[from];
        if self.sent.iter().any(|call| call.id == id) && self.fault == Fault::None {
            return Err(format!("{id:?} was used before"));
        }
        self.sent.push(SentCall {
            id,
            from,
            incarnation,
            peer,
            serial,
        });
        Ok(())
    }

    fn deliver_answer(&mut self, (call, answerer): (SentCall, usize), to: usize) -> Result<(), String> {
        let apparent_peer = if self.fault == Fault::PeerIgnored {
            call.peer
        } else {
            answerer
        };
        let mut finished = self.calls[to].finish(&apparent_peer, call.id, self.now);
        if self.fault == Fault::AnsweredTwice {
            finished = finished.or(self.answered.get(&call.id).copied());
        }
        let Some(serial) = finished else { return Ok(()) };
        let is_right_call = serial == call.serial && call.incarnation == self.incarnations[to];
        let is_duplicate = self.answered.insert(call.id, serial).is_some();
        if !is_right_call || call.from != to || call.peer != answerer || is_duplicate {
            return Err(format!(
                "the answer of node {answerer} to {call:?} finished call {serial} on node {to}"
            ));
        }
        Ok(())
    }
}

/// Runs the steps and returns the number of answered calls, or the first violation.
fn run_steps(steps: &[Step], fault: Fault) -> Result<usize, String> {
    let mut simulation = Simulation {
        fault,
        now: 0,
        incarnations: [0; NODES],
        calls: Vec::new(),
        sent: Vec::new(),
        answers: Vec::new(),
        answered: BTreeMap::new(),
    };
    for node in 0..NODES {
        let calls = simulation.start(node);
        simulation.calls.push(calls);
    }
    for step in steps {
        match step {
            Step::Call { from, peer } => simulation.call(*from, *peer)?,
            Step::DeliverCall(call, at) if !simulation.sent.is_empty() => {
                let call = *call.get(&simulation.sent);
                let answer = (call, at.unwrap_or(call.peer));
                simulation.answers.push(answer);
            }
            Step::DeliverAnswer(answer, to) if !simulation.answers.is_empty() => {
                let answer = *answer.get(&simulation.answers);
                simulation.deliver_answer(answer, to.unwrap_or(answer.0.from))?;
            }
            Step::Restart(node) => simulation.calls[*node] = simulation.start(*node),
            Step::Wait(ms) => simulation.now += ms,
            Step::DeliverCall(..) | Step::DeliverAnswer(..) => {}
        }
    }
    Ok(simulation.answered.len())
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let (index, node) = (any::<Index>, || 0..NODES);
    let wrong_node = || prop::option::weighted(0.3, node());
    let step = prop_oneof![
        4 => (node(), node()).prop_map(|(from, peer)| Step::Call { from, peer }),
        5 => (index(), wrong_node()).prop_map(|(call, at)| Step::DeliverCall(call, at)),
        6 => (index(), wrong_node()).prop_map(|(answer, to)| Step::DeliverAnswer(answer, to)),
        1 => node().prop_map(Step::Restart),
        1 => (1..TIMEOUT_MS).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

const CASES: u32 = 4000;

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn answer_reaches_only_its_caller_and_only_once(steps in steps()) {
        let outcome = run_steps(&steps, Fault::None);
        prop_assert!(outcome.is_ok(), "{outcome:?}");
    }
}

#[test]
fn injected_faults_are_detected_and_correct_answers_are_delivered() {
    let mut runner = TestRunner::deterministic();
    let cases: Vec<_> = (0..CASES)
        .filter_map(|_| Some(steps().new_tree(&mut runner).ok()?.current()))
        .collect();
    for fault in [
        Fault::IncarnationIgnored,
        Fault::PeerIgnored,
        Fault::AnsweredTwice,
    ] {
        let is_detected = cases.iter().any(|steps| run_steps(steps, fault).is_err());
        assert!(is_detected, "{fault:?} was not detected");
    }
    let answered: usize = cases
        .iter()
        .filter_map(|steps| run_steps(steps, Fault::None).ok())
        .sum();
    assert!(answered > cases.len() / 2, "{answered} calls were answered");
}
