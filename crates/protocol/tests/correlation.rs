//! Answers that are late, doubled, lost, out of order or from a life before
//! reach only the caller that asked, and at most once.

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use protocol::{CallId, Incarnation, PendingCalls};
use std::collections::BTreeMap;

const WAIT: u64 = 100;

#[test]
fn an_answer_ends_the_call_that_it_belongs_to() {
    let mut calls = PendingCalls::new(Incarnation(7), WAIT);
    let first = calls.begin("a", 0, "first");
    let second = calls.begin("a", 0, "second");
    assert_eq!(calls.finish(&"a", second, 1), Some("second"));
    assert_eq!(calls.finish(&"a", second, 1), None, "a second answer");
    assert_eq!(calls.finish(&"b", first, 1), None, "another peer's");
    let earlier = CallId {
        incarnation: Incarnation(6),
        ..first
    };
    assert_eq!(calls.finish(&"a", earlier, 1), None, "another life's");
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
fn what_is_not_answered_in_time_is_dropped() {
    let mut calls = PendingCalls::new(Incarnation(7), WAIT);
    for now in 0..10 * WAIT {
        calls.begin("a", now, ());
        assert!(calls.pending() as u64 <= WAIT);
    }
    let late = calls.begin("a", 10 * WAIT, ());
    assert_eq!(calls.finish(&"a", late, 11 * WAIT), None);
    assert_eq!((calls.pending(), calls.unmatched().not_pending), (0, 1));
}

/// What may be wrong in a pairing, planted to see that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Numbers alone tell calls apart, from 1 in each life.
    LifeIgnored,
    /// Whoever answers is taken for the one that was asked.
    PeerIgnored,
    /// A call stays open after its answer.
    AnsweredTwice,
}

const NODES: usize = 3;

/// Every node asks and answers; what is on its way may arrive at any time, any
/// number of times, and at a node that it was not sent to.
#[derive(Clone, Debug)]
enum Step {
    Ask { from: usize, peer: usize },
    Arrive(Index, Option<usize>),
    Answer(Index, Option<usize>),
    Restart(usize),
    Wait(u64),
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    id: CallId,
    from: usize,
    /// The how many-th life of the caller.
    incarnation: u64,
    peer: usize,
    /// Tells this call from all others of all lives: what the checker goes by.
    name: u64,
}

struct World {
    fault: Fault,
    now: u64,
    lives: [u64; NODES],
    calls: Vec<PendingCalls<usize, u64>>,
    asked: Vec<Asked>,
    answers: Vec<(Asked, usize)>,
    answered: BTreeMap<CallId, u64>,
}

impl World {
    fn start(&mut self, node: usize) -> PendingCalls<usize, u64> {
        self.lives[node] += 1;
        let drawn = (self.lives[node] << 8) + node as u64;
        let incarnation = if self.fault == Fault::LifeIgnored {
            1
        } else {
            drawn
        };
        PendingCalls::new(Incarnation(incarnation), WAIT)
    }

    fn ask(&mut self, from: usize, peer: usize) -> Result<(), String> {
        let name = self.asked.len() as u64 + 1;
        let id = self.calls[from].begin(peer, self.now, name);
        let incarnation = self.lives[from];
        if self.asked.iter().any(|a| a.id == id) && self.fault == Fault::None {
            return Err(format!("{id:?} was used before"));
        }
        self.asked.push(Asked {
            id,
            from,
            incarnation,
            peer,
            name,
        });
        Ok(())
    }

    fn answer(&mut self, (call, by): (Asked, usize), to: usize) -> Result<(), String> {
        let seen = if self.fault == Fault::PeerIgnored {
            call.peer
        } else {
            by
        };
        let mut got = self.calls[to].finish(&seen, call.id, self.now);
        if self.fault == Fault::AnsweredTwice {
            got = got.or(self.answered.get(&call.id).copied());
        }
        let Some(name) = got else { return Ok(()) };
        let right = name == call.name && call.incarnation == self.lives[to];
        let twice = self.answered.insert(call.id, name).is_some();
        if !right || call.from != to || call.peer != by || twice {
            return Err(format!("{call:?}, answered by {by}, reached {name} at {to}"));
        }
        Ok(())
    }
}

/// Plays steps: how many calls were answered, or the first thing that is wrong.
fn run_steps(steps: &[Step], fault: Fault) -> Result<usize, String> {
    let mut world = World {
        fault,
        now: 0,
        lives: [0; NODES],
        calls: Vec::new(),
        asked: Vec::new(),
        answers: Vec::new(),
        answered: BTreeMap::new(),
    };
    for node in 0..NODES {
        let calls = world.start(node);
        world.calls.push(calls);
    }
    for step in steps {
        match step {
            Step::Ask { from, peer } => world.ask(*from, *peer)?,
            Step::Arrive(call, at) if !world.asked.is_empty() => {
                let call = *call.get(&world.asked);
                let answer = (call, at.unwrap_or(call.peer));
                world.answers.push(answer);
            }
            Step::Answer(answer, to) if !world.answers.is_empty() => {
                let answer = *answer.get(&world.answers);
                world.answer(answer, to.unwrap_or(answer.0.from))?;
            }
            Step::Restart(node) => world.calls[*node] = world.start(*node),
            Step::Wait(ms) => world.now += ms,
            Step::Arrive(..) | Step::Answer(..) => {}
        }
    }
    Ok(world.answered.len())
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let (index, node) = (any::<Index>, || 0..NODES);
    let astray = || prop::option::weighted(0.3, node());
    let step = prop_oneof![
        4 => (node(), node()).prop_map(|(from, peer)| Step::Ask { from, peer }),
        5 => (index(), astray()).prop_map(|(call, at)| Step::Arrive(call, at)),
        6 => (index(), astray()).prop_map(|(answer, to)| Step::Answer(answer, to)),
        1 => node().prop_map(Step::Restart),
        1 => (1..WAIT).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

const CASES: u32 = 4000;

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn an_answer_reaches_only_who_asked_and_once(steps in steps()) {
        let outcome = run_steps(&steps, Fault::None);
        prop_assert!(outcome.is_ok(), "{outcome:?}");
    }
}

#[test]
fn planted_faults_are_found_and_the_right_answers_arrive() {
    let mut runner = TestRunner::deterministic();
    let worlds: Vec<_> = (0..CASES)
        .filter_map(|_| Some(steps().new_tree(&mut runner).ok()?.current()))
        .collect();
    for fault in [Fault::LifeIgnored, Fault::PeerIgnored, Fault::AnsweredTwice] {
        let found = worlds.iter().any(|steps| run_steps(steps, fault).is_err());
        assert!(found, "{fault:?} was not found");
    }
    let answered: usize = worlds.iter().filter_map(|w| run_steps(w, Fault::None).ok()).sum();
    assert!(answered > worlds.len() / 2, "{answered} calls were answered");
}
