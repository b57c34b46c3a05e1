//! The checker of soaks finds a planted breach of each rule, and nothing where the rules allow
//! what was seen.

use fleet_test::soak::checker::violations;
use fleet_test::soak::observations::{
    Ending, Hold, Observations, Order, OrderKind, Request, Run, Trouble, TroubleKind, WorkerFacts,
};
use fleet_test::soak::Routes;

/// When the planted requests are sent, ms: long after anything else unless a test says so.
const SENT_AT: u64 = 30_000;
const TIMEOUT_MS: u64 = Routes::TIMEOUT_MS;

fn answered(status: u16) -> Ending {
    Ending::Answered { status, is_own: true }
}

/// A request that may run once, over 100 ms.
fn once(id: &str, ending: Ending) -> Request {
    Request {
        id: id.into(),
        path: format!("{}50/40", Routes::ONCE),
        is_repeatable: false,
        node: 1,
        sent_at: SENT_AT,
        ended_at: SENT_AT + 100,
        deadline_ms: TIMEOUT_MS,
        ending,
    }
}

fn run(id: &str, worker: &str, began_at: u64) -> Run {
    Run {
        id: id.into(),
        worker: worker.into(),
        key: None,
        began_at,
        ended_at: None,
    }
}

fn trouble(kind: TroubleKind, node: u8, at: u64, until: u64) -> Trouble {
    Trouble {
        kind,
        node,
        is_voter: node < 3,
        at,
        until,
    }
}

fn evacuation(operator: usize, begin: bool, sent_at: u64, acknowledged_at: Option<u64>) -> Order {
    Order {
        operator,
        kind: OrderKind::Evacuation {
            zone: "z".into(),
            begin,
        },
        sent_at,
        acknowledged_at,
        is_refused: false,
    }
}

fn configuration(version: u64, has_extra_route: bool, acknowledged_at: u64) -> Order {
    Order {
        operator: 0,
        kind: OrderKind::Configuration {
            version,
            has_extra_route,
        },
        sent_at: acknowledged_at - 10,
        acknowledged_at: Some(acknowledged_at),
        is_refused: false,
    }
}

fn hold(worker: &str, from: u32, since: u64, until: u64) -> Hold {
    Hold {
        worker: worker.into(),
        from,
        to: from + 99,
        token: 1,
        since,
        until,
    }
}

/// One request and its runs; workers `a` and `b` are in zone `z`.
fn seen(request: Request, runs: Vec<Run>) -> Observations {
    let facts = WorkerFacts {
        zone: "z".into(),
        ..Default::default()
    };
    Observations {
        requests: vec![request],
        runs,
        workers: ["a", "b"].map(|id| (id.to_string(), facts.clone())).into(),
        ..Default::default()
    }
}

fn rules(seen: &Observations) -> Vec<&'static str> {
    violations(seen).iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_request_that_may_run_once_runs_once_or_not_at_all() {
    let twice = vec![run("r", "a", SENT_AT), run("r", "b", SENT_AT + 50)];
    let mut found = seen(once("r", answered(200)), twice);
    assert_eq!(rules(&found), ["TWICE"]);
    found.requests[0].is_repeatable = true;
    assert!(rules(&found).is_empty(), "that one may");
    let ran = vec![run("r", "a", SENT_AT)];
    assert_eq!(rules(&seen(once("r", answered(503)), ran.clone())), ["REFUSED"]);
    assert!(
        rules(&seen(once("r", answered(502)), ran)).is_empty(),
        "promises nothing"
    );
    assert!(rules(&seen(once("r", answered(503)), vec![])).is_empty());
}

#[test]
fn an_answer_belongs_to_its_request() {
    let of_another = Ending::Answered {
        status: 200,
        is_own: false,
    };
    assert_eq!(rules(&seen(once("r", of_another), vec![])), ["MIXED"]);
}

#[test]
fn a_node_that_ends_in_order_cuts_nothing_that_it_has_taken() {
    let ran = vec![run("r", "a", SENT_AT)];
    let cut = |at_after_term: u64| {
        let mut found = seen(once("r", Ending::Closed), ran.clone());
        let term_at = SENT_AT - at_after_term;
        found.troubles = vec![trouble(TroubleKind::Terminated, 1, term_at, SENT_AT + 9000)];
        found
    };
    assert_eq!(rules(&cut(3500)), ["LOST"]);
    assert_eq!(rules(&cut(1000)), ["LOST"]);
    // Sent early, and its worker was at work in the last sixth of the grace period.
    let mut early = cut(2800);
    early.requests[0].ended_at = SENT_AT + 2400;
    assert!(rules(&early).is_empty());
    let mut late = cut(3500);
    late.requests[0].ended_at = SENT_AT + 2400;
    assert_eq!(rules(&late), ["LOST"]);
    // The worker broke off.
    let mut worker_ended = cut(3500);
    let facts = worker_ended.workers.get_mut("a").expect("a worker");
    facts.ended_at = Some(SENT_AT + 60);
    assert!(rules(&worker_ended).is_empty());
    // A kill is no planned work.
    let mut killed = cut(3500);
    killed
        .troubles
        .push(trouble(TroubleKind::Killed, 1, SENT_AT + 50, SENT_AT + 900));
    assert!(rules(&killed).is_empty());
    // Read, not passed on, and left without an answer.
    let mut unanswered = cut(3500);
    unanswered.runs.clear();
    assert!(rules(&unanswered).is_empty(), "it may not have been read");
    unanswered.requests[0].ended_at = SENT_AT + 300;
    assert_eq!(rules(&unanswered), ["LOST"]);
    // The client's time was over.
    let mut over = cut(3500);
    over.requests[0].ended_at = SENT_AT + TIMEOUT_MS;
    assert!(rules(&over).is_empty());
}

#[test]
fn a_node_that_nothing_befalls_cuts_no_requests() {
    let requests: Vec<Request> = (0..4).map(|n| once(&format!("r{n}"), Ending::Closed)).collect();
    let runs: Vec<Run> = requests.iter().map(|r| run(&r.id, "a", SENT_AT)).collect();
    let mut found = seen(once("other", answered(200)), runs);
    found.requests.extend(requests);
    assert_eq!(rules(&found), ["LOST"]);
    found.requests.pop();
    assert!(rules(&found).is_empty(), "three are allowed");
}

#[test]
fn an_evacuated_zone_gets_nothing_until_its_operator_ends_that() {
    let begun_at = SENT_AT - 5100;
    let with = |orders: Vec<Order>| {
        let ran = vec![run("r", "a", SENT_AT)];
        let mut found = seen(once("r", answered(200)), ran);
        found.orders = orders;
        found
    };
    let begin = evacuation(1, true, begun_at - 100, Some(begun_at));
    assert_eq!(rules(&with(vec![begin.clone()])), ["EVAC"]);
    let unacknowledged = evacuation(1, true, begun_at - 100, None);
    assert!(rules(&with(vec![unacknowledged])).is_empty());
    let late = evacuation(1, true, begun_at, Some(SENT_AT - 4900));
    assert!(rules(&with(vec![late])).is_empty(), "it has 5 s");
    // From the first attempt to end it on it may be over.
    let finish = evacuation(1, false, SENT_AT - 50, None);
    assert!(rules(&with(vec![begin.clone(), finish])).is_empty());
    let of_another = evacuation(2, false, SENT_AT - 50, Some(SENT_AT - 20));
    assert_eq!(rules(&with(vec![begin.clone(), of_another])), ["EVAC"]);
    // Nodes that are not in touch are not bound: its own trouble, or that of a voter.
    for node in [1, 2] {
        let mut found = with(vec![begin.clone()]);
        let frozen = trouble(TroubleKind::Frozen, node, SENT_AT - 6000, SENT_AT - 1000);
        found.troubles = vec![frozen];
        assert!(rules(&found).is_empty(), "node {node}");
    }
    let mut found = with(vec![begin]);
    found.troubles = vec![trouble(TroubleKind::Frozen, 7, SENT_AT - 6000, SENT_AT - 1000)];
    assert_eq!(rules(&found), ["EVAC"], "another node without a vote");
}

#[test]
fn a_worker_that_drains_gets_nothing_after_its_time() {
    let with = |draining_at: u64| {
        let mut found = seen(once("r", answered(200)), vec![run("r", "a", SENT_AT)]);
        let facts = found.workers.get_mut("a").expect("a worker");
        facts.draining_at = Some(draining_at);
        found
    };
    assert_eq!(rules(&with(SENT_AT - 3000)), ["DRAIN"]);
    assert!(rules(&with(SENT_AT - 2400)).is_empty());
}

#[test]
fn a_node_goes_by_the_newest_configuration_within_its_time() {
    let on_extra = |ending: Ending, runs: Vec<Run>, orders: Vec<Order>| {
        let mut request = once("r", ending);
        request.path = format!("{}5/40", Routes::EXTRA);
        let mut found = seen(request, runs);
        found.orders = orders;
        found
    };
    let ran = vec![run("r", "a", SENT_AT)];
    let added = vec![
        configuration(1, false, 1000),
        configuration(2, true, SENT_AT - 2100),
    ];
    assert_eq!(rules(&on_extra(answered(404), vec![], added)), ["CONFIG"]);
    let just_added = vec![
        configuration(1, false, 1000),
        configuration(2, true, SENT_AT - 1900),
    ];
    assert!(rules(&on_extra(answered(404), vec![], just_added)).is_empty());
    let dropped = vec![
        configuration(1, true, 1000),
        configuration(2, false, SENT_AT - 2100),
    ];
    assert_eq!(rules(&on_extra(answered(200), ran.clone(), dropped)), ["CONFIG"]);
    let just_dropped = vec![
        configuration(1, true, 1000),
        configuration(2, false, SENT_AT - 1900),
    ];
    assert!(rules(&on_extra(answered(200), ran, just_dropped)).is_empty());
}

#[test]
fn what_was_acknowledged_is_read_back_and_no_proper_order_refused() {
    let mut found = Observations {
        orders: vec![configuration(1, true, 1000), configuration(4, true, 2000)],
        read_back: Some((4, 9000)),
        ..Default::default()
    };
    assert!(rules(&found).is_empty());
    found.read_back = Some((1, 9000));
    assert_eq!(rules(&found), ["CONFIG"]);
    found.read_back = Some((4, 9000));
    found.orders[1].is_refused = true;
    assert_eq!(rules(&found), ["CONFIG"]);
}

#[test]
fn keys_have_one_holder() {
    let with = |holds: Vec<Hold>| Observations {
        holds,
        ..Default::default()
    };
    let first = hold("a", 100, 1000, 5000);
    assert_eq!(
        rules(&with(vec![first.clone(), hold("b", 150, 4400, 8000)])),
        ["OWNER"]
    );
    assert!(rules(&with(vec![first.clone(), hold("b", 150, 4600, 8000)])).is_empty());
    assert!(
        rules(&with(vec![first.clone(), hold("b", 200, 2000, 8000)])).is_empty(),
        "others"
    );
    assert!(
        rules(&with(vec![first.clone(), hold("a", 100, 2000, 8000)])).is_empty(),
        "its own"
    );
    // Less than that if both begin requests on them.
    let mut found = with(vec![first, hold("b", 150, 4600, 8000)]);
    for worker in ["a", "b"] {
        found.runs.push(Run {
            key: Some(160),
            ..run("r", worker, 4700)
        });
    }
    assert_eq!(rules(&found), ["OWNER"]);
}
