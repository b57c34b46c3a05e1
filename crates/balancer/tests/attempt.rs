//! Two requests, one worker, pooled connections: every short interleaving of
//! bytes out, answers, doubled and early answers, silence, resets and time-outs.
//! No request that must not run twice runs twice, none that is promised not to
//! run has run or ever will, and nobody gets another's answer.

use balancer::{Attempt, AttemptHistory, HeadAction, HeadSummary, IdEcho, Outcome, Phase};
use std::collections::{HashSet, VecDeque};

/// What may be wrong in the rules, planted to see that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    PooledAfterTimeout,
    PooledBeforeAllWasSent,
    /// `Not-Executed` is believed whatever id it bears.
    NotExecutedOfAnyId,
    IdIgnored,
    ResendAfterSomeBytes,
    PromiseAfterSomeBytes,
    OwnRefusalBelieved,
    NamelessReused,
    /// The second try may go out on the connection of the first.
    ConnectionUsedTwice,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Answer {
    of: usize,
    echo: bool,
    status: u16,
    not_executed: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Line {
    /// Bytes on their way to the worker: whose, and whether they are the last.
    up: VecDeque<(usize, bool)>,
    /// The request that the worker reads, if it has seen only a part.
    reading: Option<usize>,
    down: VecDeque<Answer>,
    last: Option<Answer>,
    broken: bool,
    pooled: bool,
    nameless: bool,
    carried: [bool; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Idle,
    Trying(usize, Attempt),
    Done(Reply),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Reply {
    Answer(usize),
    /// 503: it has not run and never will.
    Promise,
    /// 502 or 504.
    Unclear,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    lines: Vec<Line>,
    steps: [Step; 2],
    tries: [AttemptHistory; 2],
    sends: [u8; 2],
    runs: [u8; 2],
    doubled: bool,
    unasked: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Move {
    /// A request is sent; whether stray bytes had arrived on pooled connections.
    Start(usize, bool),
    Write(usize, bool),
    TimeOut(usize),
    /// The worker reads what has arrived, as far as the request's last byte.
    Run(usize, Option<(u16, bool)>),
    TurnAway(usize, bool),
    Double(usize),
    Reset(usize),
    Deliver(usize),
}

struct Search {
    fault: Fault,
    once: [bool; 2],
    /// Most sends of a request (`AttemptLimit`).
    limit: u8,
    seen: HashSet<(World, usize)>,
    replies: HashSet<Reply>,
    wrong: Option<(String, Vec<Move>)>,
}

impl Search {
    fn outcome(&self, a: &Attempt) -> Outcome {
        let outcome = a.outcome();
        match self.fault {
            Fault::ResendAfterSomeBytes if a.phase() == Phase::Partial => Outcome::NotRun,
            _ => outcome,
        }
    }

    fn may_pool(&self, a: &Attempt, timed_out: bool) -> bool {
        let whole = a.phase() == Phase::Complete;
        match self.fault {
            Fault::PooledAfterTimeout => a.may_reuse_connection() || timed_out && a.phase() == Phase::Sent,
            Fault::PooledBeforeAllWasSent => whole,
            _ => a.may_reuse_connection(),
        }
    }

    fn may_promise(&self, tries: &AttemptHistory) -> bool {
        tries.may_promise() || self.fault == Fault::PromiseAfterSomeBytes
    }

    /// The request's attempt is over.
    fn conclude(&self, w: &mut World, r: usize, timed_out: bool) {
        let Step::Trying(at, a) = w.steps[r].clone() else {
            return;
        };
        let line = &mut w.lines[at];
        line.pooled = self.may_pool(&a, timed_out) && !line.broken;
        line.nameless = a.lacks_id() && self.fault != Fault::NamelessReused;
        let outcome = self.outcome(&a);
        w.tries[r].note_outcome(outcome);
        let again = matches!(
            outcome,
            Outcome::NotRun | Outcome::TurnedAway | Outcome::MayHaveRun
        );
        let own = w.lines[at]
            .last
            .as_ref()
            .is_some_and(|l| l.status == 503 && !l.not_executed);
        w.steps[r] = match outcome {
            Outcome::Answered => unreachable!("taken with its answer"),
            _ if timed_out => Step::Done(Reply::Unclear),
            _ if own && self.fault == Fault::OwnRefusalBelieved => Step::Done(Reply::Promise),
            _ if again && w.tries[r].may_repeat() && w.sends[r] < self.limit => Step::Idle,
            _ if self.may_promise(&w.tries[r]) => Step::Done(Reply::Promise),
            _ => Step::Done(Reply::Unclear),
        };
    }

    fn deliver(&self, w: &mut World, at: usize) -> bool {
        let user = (0..2).find(|r| matches!(&w.steps[*r], Step::Trying(l, _) if *l == at));
        let Some(r) = user else { return false };
        let Some(answer) = w.lines[at].down.pop_front() else {
            return false;
        };
        let Step::Trying(_, a) = &mut w.steps[r] else {
            return false;
        };
        let echo = match answer.echo {
            false => IdEcho::Missing,
            true if answer.of == r || self.fault == Fault::IdIgnored => IdEcho::Ours,
            true if answer.not_executed && self.fault == Fault::NotExecutedOfAnyId => IdEcho::Ours,
            true => IdEcho::Other,
        };
        let head = HeadSummary {
            status: answer.status,
            echo,
            not_executed: answer.not_executed,
            sealed: answer.status == 200,
        };
        match a.head(head) {
            HeadAction::Ours => {
                a.on_complete();
                if self.outcome(a) == Outcome::Answered {
                    let a = a.clone();
                    w.tries[r].note_outcome(Outcome::Answered);
                    w.lines[at].pooled = self.may_pool(&a, false);
                    w.lines[at].nameless = a.lacks_id();
                    w.steps[r] = Step::Done(Reply::Answer(answer.of));
                } else {
                    self.conclude(w, r, false);
                }
            }
            HeadAction::Unmatched | HeadAction::Interim => {}
            HeadAction::Broken => self.conclude(w, r, false),
        }
        true
    }

    /// The worker reads the first request that has arrived, whole or in part, or
    /// the rest of one; `None` if nothing has.
    fn read(w: &mut World, at: usize) -> Option<Option<usize>> {
        let line = &mut w.lines[at];
        let (r, last) = line.up.pop_front()?;
        if let Some(reading) = line.reading.take() {
            // The rest of a request that was answered before its end.
            w.unasked |= reading != r;
            line.reading = (!last).then_some(reading);
            return Some(None);
        }
        if !last {
            // It need not wait for the end, or its client may never send it.
            line.reading = Some(r);
        }
        Some(Some(r))
    }

    #[allow(clippy::too_many_lines, reason = "one arm a move")]
    fn step(&self, w: &mut World, m: Move) -> bool {
        match m {
            Move::Start(r, seen) => {
                if w.steps[r] != Step::Idle {
                    return false;
                }
                w.sends[r] += 1;
                let once = self.once[r];
                let again = self.fault == Fault::ConnectionUsedTwice;
                let usable = |l: &Line| l.pooled && !(once && l.nameless) && (again || !l.carried[r]);
                let at = w
                    .lines
                    .iter()
                    .position(|l| usable(l) && (!seen || l.down.is_empty()));
                let at = at.unwrap_or_else(|| {
                    w.lines.push(Line::default());
                    w.lines.len() - 1
                });
                w.lines[at].pooled = false;
                w.lines[at].carried[r] = true;
                w.steps[r] = Step::Trying(at, Attempt::named(w.lines[at].nameless));
            }
            Move::Write(r, all) => {
                let Step::Trying(at, a) = &mut w.steps[r] else {
                    return false;
                };
                if a.phase() == Phase::Sent || a.phase() > Phase::Sent {
                    return false;
                }
                if w.lines[*at].broken {
                    a.on_broken();
                    self.conclude(w, r, false);
                    return true;
                }
                if !all && a.phase() == Phase::Partial {
                    return false;
                }
                a.on_written(all);
                w.lines[*at].up.push_back((r, all));
            }
            Move::TimeOut(r) => {
                let Step::Trying(_, a) = &mut w.steps[r] else {
                    return false;
                };
                a.on_broken();
                self.conclude(w, r, true);
            }
            Move::Run(at, answer) => {
                let Some(read) = Self::read(w, at) else {
                    return false;
                };
                let Some(r) = read else { return true };
                w.runs[r] += 1;
                if let Some((status, echo)) = answer {
                    let answer = Answer {
                        of: r,
                        echo,
                        status,
                        not_executed: false,
                    };
                    w.lines[at].last = Some(answer.clone());
                    w.lines[at].down.push_back(answer);
                }
            }
            Move::TurnAway(at, echo) => {
                let Some(read) = Self::read(w, at) else {
                    return false;
                };
                let Some(r) = read else { return true };
                let answer = Answer {
                    of: r,
                    echo,
                    status: 503,
                    not_executed: true,
                };
                w.lines[at].last = Some(answer.clone());
                w.lines[at].down.push_back(answer);
            }
            Move::Double(at) => {
                let line = &mut w.lines[at];
                let Some(last) = line.last.clone() else {
                    return false;
                };
                if std::mem::replace(&mut w.doubled, true) {
                    return false;
                }
                line.down.push_back(last);
            }
            Move::Reset(at) => {
                if std::mem::replace(&mut w.lines[at].broken, true) {
                    return false;
                }
                w.lines[at].down.clear();
                let user = (0..2).find(|r| matches!(&w.steps[*r], Step::Trying(l, _) if *l == at));
                if let Some(r) = user {
                    if let Step::Trying(_, a) = &mut w.steps[r] {
                        a.on_broken();
                    }
                    self.conclude(w, r, false);
                }
            }
            Move::Deliver(at) => return self.deliver(w, at),
        }
        true
    }

    fn check(&self, w: &World) -> Result<(), String> {
        if w.unasked {
            return Err("UNASKED: one request's bytes inside another".into());
        }
        for r in 0..2 {
            if self.once[r] && w.runs[r] > 1 {
                return Err(format!("TWICE: request {r}"));
            }
            match &w.steps[r] {
                Step::Done(Reply::Promise) if self.once[r] && w.runs[r] > 0 => {
                    return Err(format!("REFUSED: request {r} has run"));
                }
                Step::Done(Reply::Answer(of)) if *of != r => {
                    return Err(format!("MIXED: request {r} got the answer of {of}"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn explore(&mut self, w: World, left: usize, path: &mut Vec<Move>) {
        if self.wrong.is_some() || !self.seen.insert((w.clone(), left)) {
            return;
        }
        if let Err(what) = self.check(&w) {
            self.wrong = Some((what, path.clone()));
            return;
        }
        for step in &w.steps {
            if let Step::Done(reply) = step {
                self.replies.insert(reply.clone());
            }
        }
        if left == 0 {
            return;
        }
        let mut moves = Vec::new();
        for r in 0..2 {
            moves.extend([Move::Start(r, true), Move::Start(r, false)]);
            moves.extend([Move::Write(r, true), Move::Write(r, false), Move::TimeOut(r)]);
        }
        for at in 0..w.lines.len() {
            moves.extend([Move::Deliver(at), Move::Double(at), Move::Reset(at)]);
            moves.extend([Move::TurnAway(at, true), Move::TurnAway(at, false)]);
            moves.extend(
                [Some((200, true)), Some((503, true)), Some((503, false)), None].map(|a| Move::Run(at, a)),
            );
        }
        for m in moves {
            let mut next = w.clone();
            if self.step(&mut next, m) {
                path.push(m);
                self.explore(next, left - 1, path);
                path.pop();
            }
        }
    }
}

fn search(fault: Fault, once: [bool; 2], limit: u8, depth: usize) -> Search {
    let world = World {
        lines: Vec::new(),
        steps: [Step::Idle, Step::Idle],
        tries: once.map(AttemptHistory::new),
        sends: [0; 2],
        runs: [0; 2],
        doubled: false,
        unasked: false,
    };
    let mut search = Search {
        fault,
        once,
        limit,
        seen: HashSet::new(),
        replies: HashSet::new(),
        wrong: None,
    };
    search.explore(world, depth, &mut Vec::new());
    search
}

/// Sends of a request at the most, and moves.
const SIZES: [(u8, usize); 2] = [(1, 10), (2, 9)];

#[test]
fn no_short_interleaving_breaks_a_rule() {
    for (limit, depth) in SIZES {
        for once in [[true, true], [true, false], [false, true]] {
            let found = search(Fault::None, once, limit, depth);
            assert_eq!(found.wrong, None, "{once:?} {limit}");
            println!(
                "once={once:?} sends={limit} moves={depth} states={}",
                found.seen.len()
            );
            for reply in [Reply::Answer(0), Reply::Answer(1), Reply::Promise, Reply::Unclear] {
                assert!(found.replies.contains(&reply), "{reply:?} was never reached");
            }
        }
    }
}

#[test]
fn every_planted_fault_is_found() {
    for fault in [
        Fault::PooledAfterTimeout,
        Fault::PooledBeforeAllWasSent,
        Fault::NotExecutedOfAnyId,
        Fault::IdIgnored,
        Fault::ResendAfterSomeBytes,
        Fault::PromiseAfterSomeBytes,
        Fault::OwnRefusalBelieved,
        Fault::NamelessReused,
        Fault::ConnectionUsedTwice,
    ] {
        let (limits, depths): (Vec<u8>, Vec<usize>) = SIZES.into_iter().unzip();
        let found = limits
            .into_iter()
            .zip(depths)
            .find_map(|(limit, depth)| search(fault, [true, true], limit, depth).wrong);
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} was not found");
    }
}

fn head(status: u16, echo: IdEcho, not_executed: bool) -> HeadSummary {
    HeadSummary {
        status,
        echo,
        not_executed,
        sealed: status == 200,
    }
}

/// Plays the heads that come in after the request went out, and then the end.
fn after(nameless: bool, all_sent: bool, heads: &[HeadSummary]) -> (Vec<HeadAction>, Outcome, bool) {
    let mut a = Attempt::named(nameless);
    a.on_written(all_sent);
    let taken = heads.iter().map(|h| a.head(*h)).collect();
    a.on_complete();
    (taken, a.outcome(), a.may_reuse_connection())
}

#[test]
fn what_an_answer_proves() {
    use Outcome::*;
    let (ours, other, none) = (IdEcho::Ours, IdEcho::Other, IdEcho::Missing);
    let interim = head(100, none, false);
    let stranger = head(200, other, false);
    // On a connection that carried an answer without an id or not; the heads;
    // what the attempt comes to, and whether the connection may be used again.
    for (nameless, heads, outcome, pooled) in [
        (false, vec![head(200, ours, false)], Answered, true),
        (true, vec![head(200, ours, false)], Answered, true),
        (false, vec![head(200, none, false)], MayHaveRun, false),
        (
            false,
            vec![HeadSummary {
                sealed: false,
                ..head(200, ours, false)
            }],
            MayHaveRun,
            false,
        ),
        (false, vec![interim, head(200, ours, false)], Answered, false),
        (false, vec![head(101, ours, false)], MayHaveRun, false),
        (false, vec![stranger], MayHaveRun, false),
        (false, vec![stranger, head(200, ours, false)], Answered, false),
        (false, vec![stranger; 9], MayHaveRun, false),
        (false, vec![head(503, ours, true)], NotRun, true),
        (false, vec![head(503, none, true)], NotRun, true),
        (true, vec![head(503, none, true)], TurnedAway, true),
        (false, vec![stranger, head(503, none, true)], TurnedAway, false),
        (false, vec![head(503, other, true)], MayHaveRun, false),
        (false, vec![head(421, none, false)], NotRun, true),
        (false, vec![head(503, ours, false)], MayHaveRun, true),
        (false, vec![head(429, none, false)], MayHaveRun, true),
        (false, vec![head(408, ours, false)], MayHaveRun, true),
        (false, vec![head(408, ours, true)], Answered, true),
        (false, vec![head(500, none, false)], Answered, true),
        (true, vec![head(500, none, false)], MayHaveRun, true),
    ] {
        let (_, came_to, may_pool) = after(nameless, true, &heads);
        assert_eq!((came_to, may_pool), (outcome, pooled), "{nameless} {heads:?}");
    }
    let early = after(false, false, &[head(200, ours, false)]);
    assert_eq!(
        early,
        (vec![HeadAction::Ours], Answered, false),
        "before the whole body went out"
    );
    let mut unsent = Attempt::named(false);
    assert_eq!(
        unsent.head(head(503, ours, true)),
        HeadAction::Broken,
        "an answer to nothing"
    );
    assert_eq!((unsent.outcome(), unsent.may_reuse_connection()), (NotRun, false));
    let mut late = Attempt::named(false);
    late.on_written(true);
    late.on_broken();
    assert_eq!(
        late.head(head(200, ours, false)),
        HeadAction::Broken,
        "after the time was up"
    );
    assert_eq!((late.outcome(), late.may_reuse_connection()), (MayHaveRun, false));
}
