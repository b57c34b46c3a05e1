//! The checker itself: it accepts what one register explains, and finds each planted
//! fault. Histories are written by hand, one event a line:
//!
//! ```text
//! AT WHO sends ORDER ATTEMPT NODE replace BASE VERSION BODY [invalid] | begin Z | finish Z | read
//! AT NODE replies ATTEMPT STATUS
//! AT WHO hears ATTEMPT STATUS [for ATTEMPT] [VERSION BODY]
//! AT NODE applies INDEX BASE/VERSION/BODY|none [Z=COUNT] [odd]
//! AT NODE effect INDEX ORDER ATTEMPT changed|nothing
//! AT NODE leads TERM | synced INDEX | ends killed|wiped | begins LIFE
//! AT WORKER holds FROM TO FENCE UNTIL
//! ```

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use simulation::checker::{check_history, Check, Guarantees};
use simulation::history::{digest, Content, History, Observation, Replica, Reply, Request};
use std::collections::BTreeMap;

fn number(word: &str) -> u64 {
    word.parse().unwrap_or_else(|_| panic!("{word} is no number"))
}

fn request(words: &[&str]) -> Request {
    match words {
        ["replace", base, version, body, rest @ ..] => Request::Replace {
            content: Content {
                base: number(base),
                version: number(version),
                digest: digest(body.as_bytes()),
            },
            valid: rest.is_empty(),
        },
        ["read"] => Request::Read,
        [what, zone] => Request::Evacuate {
            zone: zone.to_string(),
            begin: *what == "begin",
        },
        other => panic!("{other:?}"),
    }
}

fn replica(index: &str, words: &[&str]) -> Replica {
    let content = match words[0].split('/').collect::<Vec<_>>()[..] {
        [base, version, body] => Some(Content {
            base: number(base),
            version: number(version),
            digest: digest(body.as_bytes()),
        }),
        _ => None,
    };
    let mut evacuated = BTreeMap::new();
    let mut odd = 0;
    for word in &words[1..] {
        match word.split_once('=') {
            Some((zone, count)) => drop(evacuated.insert(zone.to_string(), number(count) as u32)),
            None => odd = 1,
        }
    }
    let index = number(index);
    let digest = digest(format!("{index} {content:?} {evacuated:?}").as_bytes()) + odd;
    Replica {
        index,
        digest,
        content,
        evacuated,
    }
}

fn observation(words: &[&str], process: u64) -> Observation {
    match words {
        ["sends", command, attempt, to, rest @ ..] => Observation::Sent {
            command: number(command),
            attempt: number(attempt),
            to: to.to_string(),
            request: request(rest),
        },
        ["replies", attempt, status] => Observation::ReplySent {
            attempt: number(attempt),
            status: number(status) as u16,
        },
        ["hears", attempt, status, rest @ ..] => {
            let (made_for, rest) = match rest {
                ["for", other, rest @ ..] => (number(other), rest),
                rest => (number(attempt), rest),
            };
            let read = match rest {
                [version, body] => Some((number(version), digest(body.as_bytes()))),
                _ => None,
            };
            Observation::ReplyReceived {
                attempt: number(attempt),
                reply: Reply {
                    status: number(status) as u16,
                    made_for,
                    read,
                },
            }
        }
        ["applies", index, rest @ ..] => Observation::Applied {
            process,
            replica: replica(index, rest),
        },
        ["effect", index, command, attempt, what] => Observation::Effect {
            process,
            index: number(index),
            command: number(command),
            attempt: number(attempt),
            changed: *what == "changed",
        },
        ["leads", term] => Observation::Leads {
            process,
            term: number(term),
        },
        ["synced", index] => Observation::Synced { index: number(index) },
        ["ends", how] => Observation::ProcessEnded {
            process,
            how: if *how == "wiped" { "disk lost" } else { "killed" },
        },
        ["begins", process] => Observation::ProcessStarted {
            process: number(process),
        },
        ["holds", from, to, fence, until] => Observation::KeysHeld {
            from: number(from) as u32,
            to: number(to) as u32,
            fence: number(fence),
            until: number(until),
        },
        other => panic!("{other:?}"),
    }
}

/// Reads a history; a node's life is 1 until a line says that another begins.
fn history(text: &str) -> History {
    let mut processes: BTreeMap<String, u64> = BTreeMap::new();
    let mut history = History::default();
    for line in text.lines().map(str::trim).filter(|l| !l.is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let observation = observation(&words[2..], processes.get(words[1]).copied().unwrap_or(1));
        if let Observation::ProcessStarted { process } = observation {
            processes.insert(words[1].into(), process);
        }
        history.record(number(words[0]), words[1], observation);
    }
    history
}

fn found(text: &str, guarantees: Guarantees) -> Vec<Check> {
    let mut found: Vec<Check> = check_history(&history(text), guarantees)
        .into_iter()
        .map(|v| v.check)
        .collect();
    found.dedup();
    found
}

/// Histories that break nothing.
const SOUND: &[(&str, &str)] = &[
    (
        "an answer is lost, the order sent again is acknowledged, the rival is refused",
        "1 ann sends 1 1 a replace 0 3 x
         2 bob sends 2 2 b replace 0 3 y
         5 a applies 2 0/3/x
         6 b replies 2 412
         7 bob hears 2 412
         9 ann sends 1 3 b replace 0 3 x
         12 b replies 3 200
         13 ann hears 3 200
         14 ann sends 3 4 c read
         20 c replies 4 200
         21 ann hears 4 200 3 x",
    ),
    (
        "an order without a reply takes effect much later",
        "1 ann sends 1 1 a replace 0 3 x
         2 a replies 1 503
         2 ann hears 1 503
         5 bob sends 2 2 b read
         6 b replies 2 404
         7 bob hears 2 404
         50 bob sends 3 3 b read
         51 b replies 3 200
         52 bob hears 3 200 3 x",
    ),
    (
        "a rival is refused since an order without a reply came first",
        "1 ann sends 1 1 a replace 0 3 x
         2 bob sends 2 2 b replace 0 4 y
         3 b replies 2 412
         4 bob hears 2 412
         9 bob sends 3 3 b replace 3 5 z
         10 b replies 3 200
         11 bob hears 3 200",
    ),
    (
        "a refusal and a read that overlap the winner",
        "1 ann sends 1 1 a replace 0 3 x
         2 bob sends 2 2 b read
         3 bob sends 3 3 b replace 0 4 y
         5 a replies 1 200
         6 ann hears 1 200
         7 b replies 2 404
         8 bob hears 2 404
         8 b replies 3 412
         9 bob hears 3 412",
    ),
    (
        "two evacuations of one zone, one taken back",
        "1 ann sends 1 1 a begin z
         1 bob sends 2 2 a begin z
         3 a effect 4 1 1 changed
         3 a effect 5 2 2 changed
         3 a applies 5 none z=2
         4 a replies 1 200
         5 ann hears 1 200
         6 ann sends 3 3 a finish z
         8 a effect 6 3 3 changed
         8 a applies 6 none z=1
         8 b applies 5 none z=2
         9 a replies 3 200
         9 ann hears 3 200
         9 bob sends 4 4 a finish z
         11 a effect 7 4 4 changed
         11 a applies 7 none
         12 bob sends 5 5 a finish z
         13 a effect 8 5 5 nothing
         13 a applies 8 none",
    ),
    (
        "keys change hands, a part of them before their time",
        "1 v holds 0 99 1 100
         5 v holds 50 99 1 5
         6 w holds 50 99 2 200
         100 w holds 0 49 3 200",
    ),
];

/// Planted faults, and the check that finds each.
const FAULTS: &[(&str, Check, &str)] = &[
    (
        "an order that was taken is refused when it comes again",
        Check::TakenRefused,
        "1 ann sends 1 1 a replace 0 1 x
         2 a replies 1 200
         3 ann hears 1 200
         4 ann sends 2 2 a replace 1 2 y
         5 a applies 3 1/2/y
         6 ann sends 3 3 a replace 2 3 z
         7 a replies 3 200
         8 ann hears 3 200
         9 ann sends 2 4 a replace 1 2 y
         10 a replies 4 412
         11 ann hears 4 412",
    ),
    (
        "a deposed leader refuses by its old copy, the order comes through later",
        Check::RefusedInForce,
        "1 ann sends 1 1 a replace 0 1 x
         2 a replies 1 412
         3 ann hears 1 412
         9 b applies 3 0/1/x",
    ),
    (
        "a cut-off leader refuses though nothing else is in force",
        Check::Register,
        "1 ann sends 1 1 a replace 0 1 x
         2 a replies 1 200
         3 ann hears 1 200
         4 ann sends 2 2 b replace 1 2 y
         5 b replies 2 412
         6 ann hears 2 412",
    ),
    (
        "two changes on top of one version",
        Check::TwoForOneBase,
        "1 ann sends 1 1 a replace 0 3 x
         1 bob sends 2 2 b replace 0 4 y
         3 a replies 1 200
         3 b replies 2 200
         4 ann hears 1 200
         4 bob hears 2 200",
    ),
    (
        "an invalid order is acknowledged",
        Check::InvalidInForce,
        "1 ann sends 1 1 a replace 0 3 x invalid
         2 a replies 1 200
         3 ann hears 1 200",
    ),
    (
        "a valid order is called invalid",
        Check::ValidRefused,
        "1 ann sends 1 1 a replace 0 3 x
         2 a replies 1 400
         3 ann hears 1 400",
    ),
    (
        "the body in force is not the one sent under its number",
        Check::UnknownInForce,
        "1 ann sends 1 1 a replace 0 3 x
         4 b applies 3 0/3/y",
    ),
    (
        "an acknowledged order is gone after all lost power",
        Check::LostAfterAck,
        "1 ann sends 1 1 a replace 0 3 x
         2 a replies 1 200
         3 ann hears 1 200
         4 a ends killed
         5 a begins 2
         9 ann sends 2 2 a read
         10 a replies 2 404
         11 ann hears 2 404",
    ),
    (
        "an acknowledged evacuation is gone",
        Check::LostAfterAck,
        "1 ann sends 1 1 a begin z
         3 a replies 1 200
         4 ann hears 1 200
         9 b applies 9 none",
    ),
    (
        "a read out of a copy, without a round",
        Check::StaleRead,
        "1 ann sends 1 1 a replace 0 3 x
         2 a replies 1 200
         3 ann hears 1 200
         9 bob sends 2 2 b read
         10 b replies 2 404
         11 bob hears 2 404
         12 bob sends 3 3 a read
         13 a replies 3 200
         14 bob hears 3 200 3 x",
    ),
    (
        "one read finds a version, a later one does not yet, though none was acknowledged",
        Check::Register,
        "1 ann sends 1 1 a replace 0 3 x
         9 bob sends 2 2 b read
         10 b replies 2 200
         11 bob hears 2 200 3 x
         12 bob sends 3 3 a read
         13 a replies 3 404
         14 bob hears 3 404",
    ),
    (
        "acknowledged by a leader alone",
        Check::TooFewDisks,
        "1 ann sends 1 1 a replace 0 3 x
         2 a synced 4
         3 b synced 3
         3 a effect 4 1 1 changed
         4 a replies 1 200
         5 ann hears 1 200",
    ),
    (
        "acknowledged by two disks of which one is lost",
        Check::TooFewDisks,
        "1 ann sends 1 1 a replace 0 3 x
         2 a synced 4
         3 b synced 4
         4 b ends wiped
         5 b begins 2
         6 a effect 4 1 1 changed
         2000 a replies 1 200
         2001 ann hears 1 200",
    ),
    (
        "an order that was sent again is counted twice",
        Check::MoreThanOnce,
        "1 ann sends 1 1 a begin z
         3 ann sends 1 2 b begin z
         4 a effect 4 1 1 changed
         5 a effect 5 1 2 changed
         5 a applies 5 none z=2",
    ),
    (
        "an attempt that was passed on twice is counted twice",
        Check::MoreThanOnce,
        "1 ann sends 1 1 a begin z
         4 a effect 4 1 1 changed
         400 a effect 5 1 1 changed
         400 a applies 5 none z=2",
    ),
    (
        "an operator's evacuation is swallowed, long after its like",
        Check::Evacuations,
        "1 ann sends 1 1 a begin z
         4 a effect 4 1 1 changed
         900 bob sends 2 2 a begin z
         901 a effect 5 2 2 nothing
         902 a replies 2 200
         903 bob hears 2 200",
    ),
    (
        "one of two operators' evacuations is swallowed",
        Check::LostAfterAck,
        "1 ann sends 1 1 a begin z
         3 a effect 4 1 1 changed
         3 a applies 4 none z=1
         4 a replies 1 200
         5 ann hears 1 200
         6 bob sends 2 2 a begin z
         7 a replies 2 200
         8 bob hears 2 200",
    ),
    (
        "a zone is still empty when all was taken back",
        Check::Evacuations,
        "1 ann sends 1 1 a begin z
         3 a effect 4 1 1 changed
         3 a replies 1 200
         4 ann hears 1 200
         5 ann sends 2 2 a finish z
         6 a effect 5 2 2 nothing
         6 a applies 5 none z=1
         7 a replies 2 200
         8 ann hears 2 200",
    ),
    (
        "evacuations in an order that nobody saw",
        Check::Evacuations,
        "1 ann sends 1 1 a begin z
         3 a effect 4 2 2 changed
         3 a effect 5 1 1 changed
         3 a replies 1 200
         4 ann hears 1 200
         9 bob sends 2 2 a finish z",
    ),
    (
        "a late answer to a call of the life before reaches a new caller",
        Check::WrongCaller,
        "1 ann sends 1 1 a replace 0 3 x
         2 a ends killed
         3 a begins 2
         4 bob sends 2 2 a begin z
         5 a replies 2 200
         6 bob hears 2 200 for 1",
    ),
    (
        "an answer that nobody gave",
        Check::WrongCaller,
        "1 ann sends 1 1 a replace 0 3 x
         2 b replies 1 200
         3 ann hears 1 200",
    ),
    (
        "a copy goes back within a life",
        Check::WentBack,
        "1 ann sends 1 1 a replace 0 3 x
         2 a applies 5 0/3/x
         3 a applies 4 none",
    ),
    (
        "two copies differ",
        Check::CopiesDiffer,
        "2 a applies 5 none
         3 b applies 5 none odd",
    ),
    (
        "one index is two orders'",
        Check::CopiesDiffer,
        "1 ann sends 1 1 a begin z
         1 ann sends 2 2 a begin y
         2 a effect 5 1 1 changed
         3 b effect 5 2 2 changed",
    ),
    (
        "two lead in one term",
        Check::TwoLeaders,
        "2 a leads 5\n3 b leads 5",
    ),
    (
        "a leader forgets what its predecessor granted",
        Check::TwoHolders,
        "1 v holds 0 99 1 100
         50 w holds 90 120 2 150",
    ),
];

#[test]
fn what_one_register_explains_is_accepted() {
    for (name, text) in SOUND {
        assert_eq!(check_history(&history(text), Guarantees::default()), [], "{name}");
    }
}

#[test]
fn each_planted_fault_is_found() {
    for (name, check, text) in FAULTS {
        let disks = if *check == Check::TooFewDisks { 2 } else { 0 };
        let guarantees = Guarantees {
            disks,
            duplicate_window_ms: 100,
            ..Guarantees::default()
        };
        let found = found(text, guarantees);
        assert!(found.contains(check), "{name}: {found:?} instead of {check:?}");
    }
}

#[test]
fn a_read_that_is_never_answered_in_calm_times_is_found() {
    let text = "1 ann sends 1 1 a read\n20 ann sends 2 2 a read\n21 a replies 2 503\n22 ann hears 2 503";
    let guarantees = Guarantees {
        disks: 0,
        fault_free_from: Some(10),
        duplicate_window_ms: 0,
    };
    assert_eq!(found(text, guarantees), [Check::NoReadBack]);
}

/// One attempt in a run of a true register: what is asked, how long the way there and
/// back takes, and whether the reply gets lost.
#[derive(Clone, Debug)]
struct Try {
    at: u64,
    there: u64,
    back: u64,
    lost: bool,
    /// How far behind the newest version that the operator knows its base is.
    stale: u64,
    again: bool,
    read: bool,
}

fn tries() -> impl Strategy<Value = Vec<Try>> {
    let one = (
        0..400u64,
        1..60u64,
        1..60u64,
        any::<bool>(),
        0..3u64,
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(|(at, there, back, lost, stale, again, read)| Try {
            at,
            there,
            back,
            lost,
            stale,
            again,
            read,
        });
    prop::collection::vec(one, 1..40)
}

/// Runs attempts against a register that does what it should.
#[allow(clippy::too_many_lines, reason = "a register in miniature")]
fn outcome(mut tries: Vec<Try>) -> History {
    tries.sort_by_key(|t| t.at);
    // What happens when: 0 sent, 1 at the register, 2 heard.
    let mut agenda: Vec<(u64, u8, usize)> = Vec::new();
    for (i, t) in tries.iter().enumerate() {
        agenda.extend([
            (t.at, 0, i),
            (t.at + t.there, 1, i),
            (t.at + t.there + t.back, 2, i),
        ]);
    }
    agenda.sort_unstable();
    let mut history = History::default();
    let (mut taken, mut known): (Vec<Content>, Vec<u64>) = (Vec::new(), vec![0]);
    let mut asked: Vec<(u64, Request)> = Vec::new();
    let mut replies: BTreeMap<usize, Reply> = BTreeMap::new();
    for (at, what, i) in agenda {
        let attempt = i as u64 + 1;
        match what {
            0 => {
                let t = &tries[i];
                let last = asked.iter().rev().find(|(_, r)| *r != Request::Read).cloned();
                let (command, request) = match last {
                    _ if t.read => (attempt, Request::Read),
                    Some(last) if t.again => last,
                    _ => {
                        let base = known[known.len().saturating_sub(1 + t.stale as usize)];
                        let content = Content {
                            base,
                            version: base + 1 + attempt % 2,
                            digest: attempt,
                        };
                        (attempt, Request::Replace { content, valid: true })
                    }
                };
                asked.push((command, request.clone()));
                let to = "a".into();
                history.record(
                    at,
                    "ann",
                    Observation::Sent {
                        command,
                        attempt,
                        to,
                        request,
                    },
                );
            }
            1 => {
                let (mut status, mut read) = (200, None);
                match &asked[i].1 {
                    Request::Replace { content, .. } => {
                        let newest = taken.last().map_or(0, |c| c.version);
                        if content.base == newest && !taken.contains(content) {
                            taken.push(*content);
                        } else if !taken.contains(content) {
                            status = 412;
                        }
                    }
                    _ => {
                        read = taken.last().map(|c| (c.version, c.digest));
                        status = if read.is_some() { 200 } else { 404 };
                    }
                }
                history.record(at, "a", Observation::ReplySent { attempt, status });
                let made_for = attempt;
                replies.insert(
                    i,
                    Reply {
                        status,
                        made_for,
                        read,
                    },
                );
            }
            _ if tries[i].lost => {}
            _ => {
                let reply = replies[&i].clone();
                if let (200, Request::Replace { content, .. }) = (reply.status, &asked[i].1) {
                    known.push(content.version);
                    known.sort_unstable();
                }
                history.record(at, "ann", Observation::ReplyReceived { attempt, reply });
            }
        }
    }
    history
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    })]

    /// No false alarm, and three mutations that break a history are seen.
    #[test]
    fn a_true_register_is_accepted_and_a_changed_reply_is_not(tries in tries(), pick in any::<prop::sample::Index>()) {
        let history = outcome(tries);
        prop_assert_eq!(check_history(&history, Guarantees::default()), []);
        let heard = |h: &History| -> Vec<usize> {
            let is = |i: &usize| matches!(h.events[*i].observation, Observation::ReplyReceived { .. });
            (0..h.events.len()).filter(is).collect()
        };
        let all = heard(&history);
        prop_assume!(!all.is_empty());
        let mut changed = history.clone();
        if let Observation::ReplyReceived { reply, .. } = &mut changed.events[all[pick.index(all.len())]].observation {
            reply.made_for += 1;
        }
        prop_assert!(!check_history(&changed, Guarantees::default()).is_empty(), "another's reply");
        // The last read hears what was true at the beginning, when more is known.
        let mut changed = history.clone();
        let acknowledged = |e: &simulation::history::Event| matches!(&e.observation, Observation::ReplyReceived { reply, .. } if reply.status == 200 && reply.read.is_none());
        if let Some(first) = history.events.iter().find(|e| acknowledged(e)) {
            let (at, attempt) = (first.at + 1000, 900);
            let (command, request) = (900, Request::Read);
            changed.record(at, "ann", Observation::Sent { command, attempt, to: "a".into(), request });
            changed.record(at + 1, "a", Observation::ReplySent { attempt, status: 404 });
            let reply = Reply { status: 404, made_for: attempt, read: None };
            changed.record(at + 2, "ann", Observation::ReplyReceived { attempt, reply });
            let found = check_history(&changed, Guarantees::default());
            prop_assert!(found.iter().any(|v| v.check == Check::LostAfterAck), "{:?}", found);
        }
    }
}
