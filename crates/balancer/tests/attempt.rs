//! Searches every short interleaving of two requests to one worker on pooled connections: bytes
//! sent, responses, duplicated and early responses, missing responses, resets and timeouts. No
//! request that must not run twice runs twice, no request that is promised not to run has run or
//! ever will, and no request gets the response to another.

use balancer::{Attempt, AttemptHistory, HeadAction, HeadSummary, IdEcho, Outcome, Phase};
use std::collections::{HashSet, VecDeque};

/// Faults in the rules, injected to verify that the search finds them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    PooledAfterTimeout,
    PooledBeforeCompletelySent,
    /// `Not-Executed` is accepted from a response with any id.
    NotExecutedWithAnyId,
    IdIgnored,
    ResentAfterSomeBytes,
    PromisedAfterSomeBytes,
    WorkerRefusalTrusted,
    ConnectionWithoutIdReused,
    /// The second attempt may use the connection of the first.
    ConnectionUsedTwice,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Response {
    request: usize,
    echoes_id: bool,
    status: u16,
    not_executed: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Connection {
    /// Bytes in transit to the worker: the request that they belong to, and whether they are its
    /// last.
    to_worker: VecDeque<(usize, bool)>,
    /// The request of which the worker has read only a part.
    partly_read: Option<usize>,
    to_node: VecDeque<Response>,
    last_response: Option<Response>,
    is_broken: bool,
    is_pooled: bool,
    lacks_id: bool,
    carried_requests: [bool; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RequestState {
    Waiting,
    Active(usize, Attempt),
    Done(ClientResult),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClientResult {
    Response(usize),
    /// 503: the request was not executed and never will be.
    NotExecuted,
    /// 502 or 504.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    connections: Vec<Connection>,
    states: [RequestState; 2],
    histories: [AttemptHistory; 2],
    sends: [u8; 2],
    runs: [u8; 2],
    has_duplicated: bool,
    has_mixed_requests: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A request is sent; the flag tells whether stray bytes on pooled connections have already
    /// arrived, so that these connections are not used.
    Start(usize, bool),
    Write(usize, bool),
    Timeout(usize),
    /// The worker reads what has arrived, up to the last byte of the request.
    Run(usize, Option<(u16, bool)>),
    Reject(usize, bool),
    Duplicate(usize),
    Reset(usize),
    Deliver(usize),
}

struct Search {
    fault: Fault,
    non_idempotent: [bool; 2],
    /// Maximum number of sends of a request (`AttemptLimit`).
    limit: u8,
    visited: HashSet<(World, usize)>,
    results: HashSet<ClientResult>,
    violation: Option<(String, Vec<Event>)>,
}

impl Search {
    fn outcome(&self, a: &Attempt) -> Outcome {
        let outcome = a.outcome();
        match self.fault {
            Fault::ResentAfterSomeBytes if a.phase() == Phase::Partial => Outcome::NotRun,
            _ => outcome,
        }
    }

    fn may_pool(&self, a: &Attempt, timed_out: bool) -> bool {
        let is_complete = a.phase() == Phase::Complete;
        match self.fault {
            Fault::PooledAfterTimeout => a.may_reuse_connection() || timed_out && a.phase() == Phase::Sent,
            Fault::PooledBeforeCompletelySent => is_complete,
            _ => a.may_reuse_connection(),
        }
    }

    fn may_promise(&self, history: &AttemptHistory) -> bool {
        history.may_promise_not_executed() || self.fault == Fault::PromisedAfterSomeBytes
    }

    /// Ends the attempt of a request.
    fn conclude(&self, w: &mut World, r: usize, timed_out: bool) {
        let RequestState::Active(index, a) = w.states[r].clone() else {
            return;
        };
        let connection = &mut w.connections[index];
        connection.is_pooled = self.may_pool(&a, timed_out) && !connection.is_broken;
        connection.lacks_id = a.lacks_id() && self.fault != Fault::ConnectionWithoutIdReused;
        let outcome = self.outcome(&a);
        w.histories[r].note_outcome(outcome);
        let may_retry = matches!(
            outcome,
            Outcome::NotRun | Outcome::UnprovenRejection | Outcome::MayHaveRun
        );
        let is_worker_refusal = w.connections[index]
            .last_response
            .as_ref()
            .is_some_and(|response| response.status == 503 && !response.not_executed);
        w.states[r] = match outcome {
            Outcome::Answered => unreachable!("handled when its response is delivered"),
            _ if timed_out => RequestState::Done(ClientResult::Unknown),
            _ if is_worker_refusal && self.fault == Fault::WorkerRefusalTrusted => {
                RequestState::Done(ClientResult::NotExecuted)
            }
            _ if may_retry && w.histories[r].may_repeat() && w.sends[r] < self.limit => RequestState::Waiting,
            _ if self.may_promise(&w.histories[r]) => RequestState::Done(ClientResult::NotExecuted),
            _ => RequestState::Done(ClientResult::Unknown),
        };
    }

    fn deliver(&self, w: &mut World, index: usize) -> bool {
        let active_request =
            (0..2).find(|r| matches!(&w.states[*r], RequestState::Active(l, _) if *l == index));
        let Some(r) = active_request else { return false };
        let Some(response) = w.connections[index].to_node.pop_front() else {
            return false;
        };
        let RequestState::Active(_, a) = &mut w.states[r] else {
            return false;
        };
        let echo = match response.echoes_id {
            false => IdEcho::Missing,
            true if response.request == r || self.fault == Fault::IdIgnored => IdEcho::Same,
            true if response.not_executed && self.fault == Fault::NotExecutedWithAnyId => IdEcho::Same,
            true => IdEcho::Different,
        };
        let head = HeadSummary {
            status: response.status,
            echo,
            not_executed: response.not_executed,
            is_sealed_and_framed: response.status == 200,
        };
        match a.on_head(head) {
            HeadAction::Accepted => {
                a.on_complete();
                if self.outcome(a) == Outcome::Answered {
                    let a = a.clone();
                    w.histories[r].note_outcome(Outcome::Answered);
                    w.connections[index].is_pooled = self.may_pool(&a, false);
                    w.connections[index].lacks_id = a.lacks_id();
                    w.states[r] = RequestState::Done(ClientResult::Response(response.request));
                } else {
                    self.conclude(w, r, false);
                }
            }
            HeadAction::Unmatched | HeadAction::Interim => {}
            HeadAction::Broken => self.conclude(w, r, false),
        }
        true
    }

    /// Lets the worker read the first request that has arrived, completely or in part, or the rest
    /// of one; returns `None` if nothing has arrived.
    fn read(w: &mut World, index: usize) -> Option<Option<usize>> {
        let connection = &mut w.connections[index];
        let (r, last) = connection.to_worker.pop_front()?;
        if let Some(partly_read) = connection.partly_read.take() {
            // The rest of a request that was answered before its end.
            w.has_mixed_requests |= partly_read != r;
            connection.partly_read = (!last).then_some(partly_read);
            return Some(None);
        }
        if !last {
            // The worker need not wait for the end, and the client may never send it.
            connection.partly_read = Some(r);
        }
        Some(Some(r))
    }

    #[allow(clippy::too_many_lines, reason = "one arm per event")]
    fn step(&self, w: &mut World, m: Event) -> bool {
        match m {
            Event::Start(r, stray_bytes_noticed) => {
                if w.states[r] != RequestState::Waiting {
                    return false;
                }
                w.sends[r] += 1;
                let is_non_idempotent = self.non_idempotent[r];
                let allows_reuse = self.fault == Fault::ConnectionUsedTwice;
                let usable = |l: &Connection| {
                    l.is_pooled
                        && !(is_non_idempotent && l.lacks_id)
                        && (allows_reuse || !l.carried_requests[r])
                };
                let index = w
                    .connections
                    .iter()
                    .position(|l| usable(l) && (!stray_bytes_noticed || l.to_node.is_empty()));
                let index = index.unwrap_or_else(|| {
                    w.connections.push(Connection::default());
                    w.connections.len() - 1
                });
                w.connections[index].is_pooled = false;
                w.connections[index].carried_requests[r] = true;
                w.states[r] = RequestState::Active(index, Attempt::with_id(w.connections[index].lacks_id));
            }
            Event::Write(r, all) => {
                let RequestState::Active(index, a) = &mut w.states[r] else {
                    return false;
                };
                if a.phase() == Phase::Sent || a.phase() > Phase::Sent {
                    return false;
                }
                if w.connections[*index].is_broken {
                    a.on_broken();
                    self.conclude(w, r, false);
                    return true;
                }
                if !all && a.phase() == Phase::Partial {
                    return false;
                }
                a.on_written(all);
                w.connections[*index].to_worker.push_back((r, all));
            }
            Event::Timeout(r) => {
                let RequestState::Active(_, a) = &mut w.states[r] else {
                    return false;
                };
                a.on_broken();
                self.conclude(w, r, true);
            }
            Event::Run(index, response) => {
                let Some(read_request) = Self::read(w, index) else {
                    return false;
                };
                let Some(r) = read_request else { return true };
                w.runs[r] += 1;
                if let Some((status, echoes_id)) = response {
                    let response = Response {
                        request: r,
                        echoes_id,
                        status,
                        not_executed: false,
                    };
                    w.connections[index].last_response = Some(response.clone());
                    w.connections[index].to_node.push_back(response);
                }
            }
            Event::Reject(index, echoes_id) => {
                let Some(read_request) = Self::read(w, index) else {
                    return false;
                };
                let Some(r) = read_request else { return true };
                let response = Response {
                    request: r,
                    echoes_id,
                    status: 503,
                    not_executed: true,
                };
                w.connections[index].last_response = Some(response.clone());
                w.connections[index].to_node.push_back(response);
            }
            Event::Duplicate(index) => {
                let connection = &mut w.connections[index];
                let Some(last) = connection.last_response.clone() else {
                    return false;
                };
                if std::mem::replace(&mut w.has_duplicated, true) {
                    return false;
                }
                connection.to_node.push_back(last);
            }
            Event::Reset(index) => {
                if std::mem::replace(&mut w.connections[index].is_broken, true) {
                    return false;
                }
                w.connections[index].to_node.clear();
                let active_request =
                    (0..2).find(|r| matches!(&w.states[*r], RequestState::Active(l, _) if *l == index));
                if let Some(r) = active_request {
                    if let RequestState::Active(_, a) = &mut w.states[r] {
                        a.on_broken();
                    }
                    self.conclude(w, r, false);
                }
            }
            Event::Deliver(index) => return self.deliver(w, index),
        }
        true
    }

    fn check(&self, w: &World) -> Result<(), String> {
        if w.has_mixed_requests {
            return Err("UNASKED: bytes of one request inside another".into());
        }
        for r in 0..2 {
            if self.non_idempotent[r] && w.runs[r] > 1 {
                return Err(format!("TWICE: request {r}"));
            }
            match &w.states[r] {
                RequestState::Done(ClientResult::NotExecuted) if self.non_idempotent[r] && w.runs[r] > 0 => {
                    return Err(format!("REFUSED: request {r} has run"));
                }
                RequestState::Done(ClientResult::Response(request)) if *request != r => {
                    return Err(format!("MIXED: request {r} got the response to {request}"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn explore(&mut self, w: World, left: usize, path: &mut Vec<Event>) {
        if self.violation.is_some() || !self.visited.insert((w.clone(), left)) {
            return;
        }
        if let Err(violation) = self.check(&w) {
            self.violation = Some((violation, path.clone()));
            return;
        }
        for state in &w.states {
            if let RequestState::Done(result) = state {
                self.results.insert(result.clone());
            }
        }
        if left == 0 {
            return;
        }
        let mut events = Vec::new();
        for r in 0..2 {
            events.extend([Event::Start(r, true), Event::Start(r, false)]);
            events.extend([Event::Write(r, true), Event::Write(r, false), Event::Timeout(r)]);
        }
        for index in 0..w.connections.len() {
            events.extend([
                Event::Deliver(index),
                Event::Duplicate(index),
                Event::Reset(index),
            ]);
            events.extend([Event::Reject(index, true), Event::Reject(index, false)]);
            events.extend(
                [Some((200, true)), Some((503, true)), Some((503, false)), None]
                    .map(|a| Event::Run(index, a)),
            );
        }
        for m in events {
            let mut next = w.clone();
            if self.step(&mut next, m) {
                path.push(m);
                self.explore(next, left - 1, path);
                path.pop();
            }
        }
    }
}

fn search(fault: Fault, non_idempotent: [bool; 2], limit: u8, depth: usize) -> Search {
    let world = World {
        connections: Vec::new(),
        states: [RequestState::Waiting, RequestState::Waiting],
        histories: non_idempotent.map(AttemptHistory::new),
        sends: [0; 2],
        runs: [0; 2],
        has_duplicated: false,
        has_mixed_requests: false,
    };
    let mut search = Search {
        fault,
        non_idempotent,
        limit,
        visited: HashSet::new(),
        results: HashSet::new(),
        violation: None,
    };
    search.explore(world, depth, &mut Vec::new());
    search
}

/// Maximum number of sends of a request, and number of events.
const SIZES: [(u8, usize); 2] = [(1, 10), (2, 9)];

#[test]
fn no_short_interleaving_violates_a_rule() {
    for (limit, depth) in SIZES {
        for non_idempotent in [[true, true], [true, false], [false, true]] {
            let found = search(Fault::None, non_idempotent, limit, depth);
            assert_eq!(found.violation, None, "{non_idempotent:?} {limit}");
            println!(
                "once={non_idempotent:?} sends={limit} moves={depth} states={}",
                found.visited.len()
            );
            for result in [
                ClientResult::Response(0),
                ClientResult::Response(1),
                ClientResult::NotExecuted,
                ClientResult::Unknown,
            ] {
                assert!(found.results.contains(&result), "{result:?} was never reached");
            }
        }
    }
}

#[test]
fn every_injected_fault_is_found() {
    for fault in [
        Fault::PooledAfterTimeout,
        Fault::PooledBeforeCompletelySent,
        Fault::NotExecutedWithAnyId,
        Fault::IdIgnored,
        Fault::ResentAfterSomeBytes,
        Fault::PromisedAfterSomeBytes,
        Fault::WorkerRefusalTrusted,
        Fault::ConnectionWithoutIdReused,
        Fault::ConnectionUsedTwice,
    ] {
        let (limits, depths): (Vec<u8>, Vec<usize>) = SIZES.into_iter().unzip();
        let found = limits
            .into_iter()
            .zip(depths)
            .find_map(|(limit, depth)| search(fault, [true, true], limit, depth).violation);
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} was not found");
    }
}

fn head(status: u16, echo: IdEcho, not_executed: bool) -> HeadSummary {
    HeadSummary {
        status,
        echo,
        not_executed,
        is_sealed_and_framed: status == 200,
    }
}

/// Feeds the heads that are received after the request was sent, and then the end of the response.
fn run_attempt(lacks_id: bool, all_sent: bool, heads: &[HeadSummary]) -> (Vec<HeadAction>, Outcome, bool) {
    let mut a = Attempt::with_id(lacks_id);
    a.on_written(all_sent);
    let actions = heads.iter().map(|h| a.on_head(*h)).collect();
    a.on_complete();
    (actions, a.outcome(), a.may_reuse_connection())
}

#[test]
fn response_heads_yield_the_expected_outcome_and_connection_reuse() {
    use Outcome::*;
    let (same, different, missing) = (IdEcho::Same, IdEcho::Different, IdEcho::Missing);
    let interim = head(100, missing, false);
    let unmatched = head(200, different, false);
    // Whether the previous response on the connection had no id; the heads; the expected outcome;
    // whether the connection may be used again.
    for (lacks_id, heads, outcome, is_pooled) in [
        (false, vec![head(200, same, false)], Answered, true),
        (true, vec![head(200, same, false)], Answered, true),
        (false, vec![head(200, missing, false)], MayHaveRun, false),
        (
            false,
            vec![HeadSummary {
                is_sealed_and_framed: false,
                ..head(200, same, false)
            }],
            MayHaveRun,
            false,
        ),
        (false, vec![interim, head(200, same, false)], Answered, false),
        (false, vec![head(101, same, false)], MayHaveRun, false),
        (false, vec![unmatched], MayHaveRun, false),
        (false, vec![unmatched, head(200, same, false)], Answered, false),
        (false, vec![unmatched; 9], MayHaveRun, false),
        (false, vec![head(503, same, true)], NotRun, true),
        (false, vec![head(503, missing, true)], NotRun, true),
        (true, vec![head(503, missing, true)], UnprovenRejection, true),
        (
            false,
            vec![unmatched, head(503, missing, true)],
            UnprovenRejection,
            false,
        ),
        (false, vec![head(503, different, true)], MayHaveRun, false),
        (false, vec![head(421, missing, false)], NotRun, true),
        (false, vec![head(503, same, false)], MayHaveRun, true),
        (false, vec![head(429, missing, false)], MayHaveRun, true),
        (false, vec![head(408, same, false)], MayHaveRun, true),
        (false, vec![head(408, same, true)], Answered, true),
        (false, vec![head(500, missing, false)], Answered, true),
        (true, vec![head(500, missing, false)], MayHaveRun, true),
    ] {
        let (_, actual_outcome, may_pool) = run_attempt(lacks_id, true, &heads);
        assert_eq!(
            (actual_outcome, may_pool),
            (outcome, is_pooled),
            "{lacks_id} {heads:?}"
        );
    }
    let early = run_attempt(false, false, &[head(200, same, false)]);
    assert_eq!(
        early,
        (vec![HeadAction::Accepted], Answered, false),
        "response before the whole body was sent"
    );
    let mut unsent = Attempt::with_id(false);
    assert_eq!(
        unsent.on_head(head(503, same, true)),
        HeadAction::Broken,
        "response before any byte was sent"
    );
    assert_eq!((unsent.outcome(), unsent.may_reuse_connection()), (NotRun, false));
    let mut late = Attempt::with_id(false);
    late.on_written(true);
    late.on_broken();
    assert_eq!(
        late.on_head(head(200, same, false)),
        HeadAction::Broken,
        "response after the timeout"
    );
    assert_eq!((late.outcome(), late.may_reuse_connection()), (MayHaveRun, false));
}
