//! Tests of the checker: it accepts histories that one register can explain, and finds each
//! planted fault. Histories are written by hand, one event per line:
//!
//! ```text
//! AT WHO sends COMMAND ATTEMPT NODE replace BASE VERSION BODY [invalid] | begin Z | finish Z | read
//! AT NODE replies ATTEMPT STATUS
//! AT WHO hears ATTEMPT STATUS [for ATTEMPT] [VERSION BODY]
//! AT NODE applies INDEX BASE/VERSION/BODY|none [Z=COUNT] [different]
//! AT NODE effect INDEX COMMAND ATTEMPT changed|nothing
//! AT NODE leads TERM | synced INDEX | ends killed|wiped | begins PROCESS
//! AT WORKER holds FROM TO FENCE UNTIL
//! ```

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use simulation::checker::{check_history, Check, Guarantees};
use simulation::history::{digest, Content, History, Observation, Replica, Reply, Request};
use std::collections::BTreeMap;

fn number(word: &str) -> u64 {
    word.parse().unwrap_or_else(|_| panic!("{word} is not a number"))
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
    let mut difference = 0;
    for word in &words[1..] {
        match word.split_once('=') {
            Some((zone, count)) => drop(evacuated.insert(zone.to_string(), number(count) as u32)),
            None => difference = 1,
        }
    }
    let index = number(index);
    let digest = digest(format!("{index} {content:?} {evacuated:?}").as_bytes()) + difference;
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

/// Parses a history. The process number of a node is 1 until a line starts another process.
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

/// Histories without violations.
const CONSISTENT: &[(&str, &str)] = &[
    (
        "an answer is lost, the repeated command is acknowledged, the competing one is refused",
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
        "a command without a reply takes effect much later",
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
        "a competing command is refused because one without a reply took effect first",
        "1 ann sends 1 1 a replace 0 3 x
         2 bob sends 2 2 b replace 0 4 y
         3 b replies 2 412
         4 bob hears 2 412
         9 bob sends 3 3 b replace 3 5 z
         10 b replies 3 200
         11 bob hears 3 200",
    ),
    (
        "a refusal and a read overlap the accepted command",
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
        "two evacuations of one zone, each finished once, then a finish without effect",
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
        "keys change holders, some of them by a release before the hold ends",
        "1 v holds 0 99 1 100
         5 v holds 50 99 1 5
         6 w holds 50 99 2 200
         100 w holds 0 49 3 200",
    ),
];

/// Planted faults, and the check that finds each.
const FAULTS: &[(&str, Check, &str)] = &[
    (
        "an accepted command is refused when it is repeated",
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
        "a deposed leader refuses by its old replica, the command takes effect later",
        Check::RefusedInForce,
        "1 ann sends 1 1 a replace 0 1 x
         2 a replies 1 412
         3 ann hears 1 412
         9 b applies 3 0/1/x",
    ),
    (
        "a leader that is cut off refuses although the base is in force",
        Check::Register,
        "1 ann sends 1 1 a replace 0 1 x
         2 a replies 1 200
         3 ann hears 1 200
         4 ann sends 2 2 b replace 1 2 y
         5 b replies 2 412
         6 ann hears 2 412",
    ),
    (
        "two changes with the same base version",
        Check::TwoForOneBase,
        "1 ann sends 1 1 a replace 0 3 x
         1 bob sends 2 2 b replace 0 4 y
         3 a replies 1 200
         3 b replies 2 200
         4 ann hears 1 200
         4 bob hears 2 200",
    ),
    (
        "an invalid command is acknowledged",
        Check::InvalidInForce,
        "1 ann sends 1 1 a replace 0 3 x invalid
         2 a replies 1 200
         3 ann hears 1 200",
    ),
    (
        "a valid command is refused as invalid",
        Check::ValidRefused,
        "1 ann sends 1 1 a replace 0 3 x
         2 a replies 1 400
         3 ann hears 1 400",
    ),
    (
        "the body in force differs from the one sent with this version",
        Check::UnknownInForce,
        "1 ann sends 1 1 a replace 0 3 x
         4 b applies 3 0/3/y",
    ),
    (
        "an acknowledged command is lost after a restart",
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
        "an acknowledged evacuation is lost",
        Check::LostAfterAck,
        "1 ann sends 1 1 a begin z
         3 a replies 1 200
         4 ann hears 1 200
         9 b applies 9 none",
    ),
    (
        "a read from a replica without confirmation by a majority",
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
        "a read returns a version that a later read does not return, though it was not acknowledged",
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
        "a command is acknowledged while only the leader has it on disk",
        Check::TooFewDisks,
        "1 ann sends 1 1 a replace 0 3 x
         2 a synced 4
         3 b synced 3
         3 a effect 4 1 1 changed
         4 a replies 1 200
         5 ann hears 1 200",
    ),
    (
        "a command is acknowledged by two disks of which one is lost",
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
        "a repeated command is counted twice",
        Check::MoreThanOnce,
        "1 ann sends 1 1 a begin z
         3 ann sends 1 2 b begin z
         4 a effect 4 1 1 changed
         5 a effect 5 1 2 changed
         5 a applies 5 none z=2",
    ),
    (
        "an attempt that was forwarded twice is counted twice",
        Check::MoreThanOnce,
        "1 ann sends 1 1 a begin z
         4 a effect 4 1 1 changed
         400 a effect 5 1 1 changed
         400 a applies 5 none z=2",
    ),
    (
        "an evacuation has no effect although an equal command came long before",
        Check::Evacuations,
        "1 ann sends 1 1 a begin z
         4 a effect 4 1 1 changed
         900 bob sends 2 2 a begin z
         901 a effect 5 2 2 nothing
         902 a replies 2 200
         903 bob hears 2 200",
    ),
    (
        "the evacuation of one of two operators is acknowledged and never applied",
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
        "a zone is still evacuated after all evacuations have been finished",
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
        "evacuations are applied in an order that contradicts the observations",
        Check::Evacuations,
        "1 ann sends 1 1 a begin z
         3 a effect 4 2 2 changed
         3 a effect 5 1 1 changed
         3 a replies 1 200
         4 ann hears 1 200
         9 bob sends 2 2 a finish z",
    ),
    (
        "a late answer to a call of the previous process reaches a new caller",
        Check::WrongCaller,
        "1 ann sends 1 1 a replace 0 3 x
         2 a ends killed
         3 a begins 2
         4 bob sends 2 2 a begin z
         5 a replies 2 200
         6 bob hears 2 200 for 1",
    ),
    (
        "an answer that no node sent",
        Check::WrongCaller,
        "1 ann sends 1 1 a replace 0 3 x
         2 b replies 1 200
         3 ann hears 1 200",
    ),
    (
        "the replica of a process goes back to an earlier index",
        Check::WentBack,
        "1 ann sends 1 1 a replace 0 3 x
         2 a applies 5 0/3/x
         3 a applies 4 none",
    ),
    (
        "two replicas differ",
        Check::CopiesDiffer,
        "2 a applies 5 none
         3 b applies 5 none different",
    ),
    (
        "two commands are applied at one index",
        Check::CopiesDiffer,
        "1 ann sends 1 1 a begin z
         1 ann sends 2 2 a begin y
         2 a effect 5 1 1 changed
         3 b effect 5 2 2 changed",
    ),
    (
        "two leaders in one term",
        Check::TwoLeaders,
        "2 a leads 5\n3 b leads 5",
    ),
    (
        "a leader grants keys again while the grant of its predecessor is in force",
        Check::TwoHolders,
        "1 v holds 0 99 1 100
         50 w holds 90 120 2 150",
    ),
];

#[test]
fn histories_that_one_register_explains_are_accepted() {
    for (name, text) in CONSISTENT {
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
            resend_ms: 100,
            ..Guarantees::default()
        };
        let found = found(text, guarantees);
        assert!(found.contains(check), "{name}: {found:?} instead of {check:?}");
    }
}

#[test]
fn missing_answers_after_all_faults_have_ended_are_found() {
    let text = "1 ann sends 1 1 a read\n20 ann sends 2 2 a read\n21 a replies 2 503\n22 ann hears 2 503";
    let guarantees = Guarantees {
        disks: 0,
        fault_free_from: Some(10),
        duplicate_window_ms: 0,
        resend_ms: 0,
    };
    assert_eq!(found(text, guarantees), [Check::NoReadBack]);
}

/// One attempt on a correct register: the request, the transit times of request and reply, and
/// whether the reply is lost.
#[derive(Clone, Debug)]
struct PlannedAttempt {
    at: u64,
    request_ms: u64,
    reply_ms: u64,
    is_reply_lost: bool,
    /// Number of versions by which the base is older than the newest one that the operator knows.
    versions_behind: u64,
    is_repeated: bool,
    is_read: bool,
}

fn tries() -> impl Strategy<Value = Vec<PlannedAttempt>> {
    let one = (
        0..400u64,
        1..60u64,
        1..60u64,
        any::<bool>(),
        0..3u64,
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(
            |(at, request_ms, reply_ms, is_reply_lost, versions_behind, is_repeated, is_read)| {
                PlannedAttempt {
                    at,
                    request_ms,
                    reply_ms,
                    is_reply_lost,
                    versions_behind,
                    is_repeated,
                    is_read,
                }
            },
        );
    prop::collection::vec(one, 1..40)
}

/// Runs attempts against a correct register.
#[allow(clippy::too_many_lines, reason = "a complete register in one function")]
fn register_history(mut tries: Vec<PlannedAttempt>) -> History {
    tries.sort_by_key(|t| t.at);
    // Events by time: 0 sent, 1 executed by the register, 2 reply received.
    let mut events: Vec<(u64, u8, usize)> = Vec::new();
    for (i, t) in tries.iter().enumerate() {
        events.extend([
            (t.at, 0, i),
            (t.at + t.request_ms, 1, i),
            (t.at + t.request_ms + t.reply_ms, 2, i),
        ]);
    }
    events.sort_unstable();
    let mut history = History::default();
    let (mut accepted, mut known): (Vec<Content>, Vec<u64>) = (Vec::new(), vec![0]);
    let mut sent_requests: Vec<(u64, Request)> = Vec::new();
    let mut replies: BTreeMap<usize, Reply> = BTreeMap::new();
    for (at, what, i) in events {
        let attempt = i as u64 + 1;
        match what {
            0 => {
                let t = &tries[i];
                let last = sent_requests
                    .iter()
                    .rev()
                    .find(|(_, r)| *r != Request::Read)
                    .cloned();
                let (command, request) = match last {
                    _ if t.is_read => (attempt, Request::Read),
                    Some(last) if t.is_repeated => last,
                    _ => {
                        let base = known[known.len().saturating_sub(1 + t.versions_behind as usize)];
                        let content = Content {
                            base,
                            version: base + 1 + attempt % 2,
                            digest: attempt,
                        };
                        (attempt, Request::Replace { content, valid: true })
                    }
                };
                sent_requests.push((command, request.clone()));
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
                match &sent_requests[i].1 {
                    Request::Replace { content, .. } => {
                        let newest = accepted.last().map_or(0, |c| c.version);
                        if content.base == newest && !accepted.contains(content) {
                            accepted.push(*content);
                        } else if !accepted.contains(content) {
                            status = 412;
                        }
                    }
                    _ => {
                        read = accepted.last().map(|c| (c.version, c.digest));
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
            _ if tries[i].is_reply_lost => {}
            _ => {
                let reply = replies[&i].clone();
                if let (200, Request::Replace { content, .. }) = (reply.status, &sent_requests[i].1) {
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

    /// A correct history has no violations; a reply made for another attempt and a stale read are
    /// found.
    #[test]
    fn a_correct_register_is_accepted_and_changed_replies_are_found(tries in tries(), pick in any::<prop::sample::Index>()) {
        let history = register_history(tries);
        prop_assert_eq!(check_history(&history, Guarantees::default()), []);
        let received = |h: &History| -> Vec<usize> {
            let is_reply = |i: &usize| matches!(h.events[*i].observation, Observation::ReplyReceived { .. });
            (0..h.events.len()).filter(is_reply).collect()
        };
        let reply_indexes = received(&history);
        prop_assume!(!reply_indexes.is_empty());
        let mut changed = history.clone();
        if let Observation::ReplyReceived { reply, .. } = &mut changed.events[reply_indexes[pick.index(reply_indexes.len())]].observation {
            reply.made_for += 1;
        }
        prop_assert!(!check_history(&changed, Guarantees::default()).is_empty(), "a reply made for another attempt");
        // A final read returns the initial state although a change has been acknowledged.
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
