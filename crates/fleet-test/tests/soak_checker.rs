//! The soak checker finds a planted violation of each rule, and none where the rules allow what was
//! observed.

use fleet_test::soak::checker::violations;
use fleet_test::soak::observations::{
    Command, CommandKind, Ending, KeyLease, NodeFault, NodeFaultKind, Observations, Request, Run, WorkerFacts,
};
use fleet_test::soak::Routes;

/// Time at which the planted requests are sent, in milliseconds: long after anything else unless a
/// test says otherwise.
const SENT_AT: u64 = 30_000;
const TIMEOUT_MS: u64 = Routes::TIMEOUT_MS;

fn answered(status: u16) -> Ending {
    Ending::Answered {
        status,
        matches_request: true,
    }
}

/// Returns a non-idempotent request that takes 100 ms.
fn non_idempotent_request(id: &str, ending: Ending) -> Request {
    Request {
        id: id.into(),
        path: format!("{}50/40", Routes::NON_IDEMPOTENT),
        is_idempotent: false,
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

fn node_fault(kind: NodeFaultKind, node: u8, at: u64, until: u64) -> NodeFault {
    NodeFault {
        kind,
        node,
        is_voter: node < 3,
        at,
        until,
    }
}

fn evacuation(operator: usize, begin: bool, sent_at: u64, acknowledged_at: Option<u64>) -> Command {
    Command {
        operator,
        kind: CommandKind::Evacuation {
            zone: "z".into(),
            begin,
        },
        sent_at,
        last_sent_at: sent_at,
        acknowledged_at,
        is_refused: false,
    }
}

fn configuration(version: u64, has_extra_route: bool, acknowledged_at: u64) -> Command {
    Command {
        operator: 0,
        kind: CommandKind::Configuration {
            version,
            has_extra_route,
        },
        sent_at: acknowledged_at - 10,
        last_sent_at: acknowledged_at - 10,
        acknowledged_at: Some(acknowledged_at),
        is_refused: false,
    }
}

fn key_lease(worker: &str, from: u32, since: u64, until: u64) -> KeyLease {
    KeyLease {
        worker: worker.into(),
        from,
        to: from + 99,
        token: 1,
        since,
        until,
    }
}

/// Returns the observations of one request and its runs. Workers `a` and `b` are in zone `z`.
fn observations_of(request: Request, runs: Vec<Run>) -> Observations {
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

fn rules(observations: &Observations) -> Vec<&'static str> {
    violations(observations)
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn non_idempotent_request_runs_at_most_once() {
    let two_runs = vec![run("r", "a", SENT_AT), run("r", "b", SENT_AT + 50)];
    let mut observations = observations_of(non_idempotent_request("r", answered(200)), two_runs);
    assert_eq!(rules(&observations), ["TWICE"]);
    observations.requests[0].is_idempotent = true;
    assert!(
        rules(&observations).is_empty(),
        "an idempotent request may run twice"
    );
    let runs = vec![run("r", "a", SENT_AT)];
    assert_eq!(
        rules(&observations_of(
            non_idempotent_request("r", answered(503)),
            runs.clone()
        )),
        ["REFUSED"]
    );
    assert!(
        rules(&observations_of(non_idempotent_request("r", answered(502)), runs)).is_empty(),
        "a 502 promises nothing"
    );
    assert!(rules(&observations_of(
        non_idempotent_request("r", answered(503)),
        vec![]
    ))
    .is_empty());
}

#[test]
fn answer_belongs_to_its_request() {
    let to_another_request = Ending::Answered {
        status: 200,
        matches_request: false,
    };
    assert_eq!(
        rules(&observations_of(
            non_idempotent_request("r", to_another_request),
            vec![]
        )),
        ["MIXED"]
    );
}

#[test]
fn terminating_node_does_not_cut_accepted_requests() {
    let runs = vec![run("r", "a", SENT_AT)];
    let cut_after_term = |sent_after_term_ms: u64| {
        let mut observations = observations_of(non_idempotent_request("r", Ending::Closed), runs.clone());
        let term_at = SENT_AT - sent_after_term_ms;
        observations.node_faults = vec![node_fault(NodeFaultKind::Terminated, 1, term_at, SENT_AT + 9000)];
        observations
    };
    assert_eq!(rules(&cut_after_term(3500)), ["LOST"]);
    assert_eq!(rules(&cut_after_term(1000)), ["LOST"]);
    // A request may be cut if it was sent early and its worker was at work in the last sixth of the
    // grace period.
    let mut early = cut_after_term(2800);
    early.requests[0].ended_at = SENT_AT + 2400;
    assert!(rules(&early).is_empty());
    let mut late = cut_after_term(3500);
    late.requests[0].ended_at = SENT_AT + 2400;
    assert_eq!(rules(&late), ["LOST"]);
    // The worker ended during the request.
    let mut worker_ended = cut_after_term(3500);
    let facts = worker_ended.workers.get_mut("a").expect("a worker");
    facts.ended_at = Some(SENT_AT + 60);
    assert!(rules(&worker_ended).is_empty());
    // A kill is not planned work.
    let mut killed = cut_after_term(3500);
    killed
        .node_faults
        .push(node_fault(NodeFaultKind::Killed, 1, SENT_AT + 50, SENT_AT + 900));
    assert!(rules(&killed).is_empty());
    // The request was read but neither forwarded nor answered.
    let mut unanswered = cut_after_term(3500);
    unanswered.runs.clear();
    assert!(
        rules(&unanswered).is_empty(),
        "the request may not have been read"
    );
    unanswered.requests[0].ended_at = SENT_AT + 300;
    assert_eq!(rules(&unanswered), ["LOST"]);
    // The client's deadline had passed.
    let mut after_deadline = cut_after_term(3500);
    after_deadline.requests[0].ended_at = SENT_AT + TIMEOUT_MS;
    assert!(rules(&after_deadline).is_empty());
}

#[test]
fn node_without_faults_cuts_no_requests() {
    let requests: Vec<Request> = (0..4)
        .map(|n| non_idempotent_request(&format!("r{n}"), Ending::Closed))
        .collect();
    let runs: Vec<Run> = requests.iter().map(|r| run(&r.id, "a", SENT_AT)).collect();
    let mut observations = observations_of(non_idempotent_request("other", answered(200)), runs);
    observations.requests.extend(requests);
    assert_eq!(rules(&observations), ["LOST"]);
    observations.requests.pop();
    assert!(rules(&observations).is_empty(), "three cut requests are allowed");
}

#[test]
fn evacuated_zone_receives_no_requests_until_its_operator_finishes() {
    let begun_at = SENT_AT - 5100;
    let observe = |commands: Vec<Command>| {
        let runs = vec![run("r", "a", SENT_AT)];
        let mut observations = observations_of(non_idempotent_request("r", answered(200)), runs);
        observations.commands = commands;
        observations
    };
    let begin = evacuation(1, true, begun_at - 100, Some(begun_at));
    assert_eq!(rules(&observe(vec![begin.clone()])), ["EVAC"]);
    let unacknowledged = evacuation(1, true, begun_at - 100, None);
    assert!(rules(&observe(vec![unacknowledged])).is_empty());
    let late = evacuation(1, true, begun_at, Some(SENT_AT - 4900));
    assert!(
        rules(&observe(vec![late])).is_empty(),
        "the evacuation has 5 s to take effect"
    );
    // From the first attempt to finish it, the evacuation may be over.
    let finish = evacuation(1, false, SENT_AT - 50, None);
    assert!(rules(&observe(vec![begin.clone(), finish])).is_empty());
    let from_another_operator = evacuation(2, false, SENT_AT - 50, Some(SENT_AT - 20));
    assert_eq!(
        rules(&observe(vec![begin.clone(), from_another_operator])),
        ["EVAC"]
    );
    // Nodes that are not in contact are not bound by the rule: the fault may be the node's own or a
    // voter's.
    for node in [1, 2] {
        let mut observations = observe(vec![begin.clone()]);
        let frozen = node_fault(NodeFaultKind::Frozen, node, SENT_AT - 6000, SENT_AT - 1000);
        observations.node_faults = vec![frozen];
        assert!(rules(&observations).is_empty(), "node {node}");
    }
    let mut observations = observe(vec![begin]);
    observations.node_faults = vec![node_fault(
        NodeFaultKind::Frozen,
        7,
        SENT_AT - 6000,
        SENT_AT - 1000,
    )];
    assert_eq!(
        rules(&observations),
        ["EVAC"],
        "a fault at another node that is not a voter"
    );
}

#[test]
fn draining_worker_receives_no_requests_after_the_drain_bound() {
    let observe = |draining_at: u64| {
        let mut observations = observations_of(
            non_idempotent_request("r", answered(200)),
            vec![run("r", "a", SENT_AT)],
        );
        let facts = observations.workers.get_mut("a").expect("a worker");
        facts.draining_at = Some(draining_at);
        observations
    };
    assert_eq!(rules(&observe(SENT_AT - 3000)), ["DRAIN"]);
    assert!(rules(&observe(SENT_AT - 2400)).is_empty());
}

#[test]
fn node_applies_the_newest_configuration_within_the_bound() {
    let observe_extra_route = |ending: Ending, runs: Vec<Run>, commands: Vec<Command>| {
        let mut request = non_idempotent_request("r", ending);
        request.path = format!("{}5/40", Routes::EXTRA);
        let mut observations = observations_of(request, runs);
        observations.commands = commands;
        observations
    };
    let runs = vec![run("r", "a", SENT_AT)];
    let added = vec![
        configuration(1, false, 1000),
        configuration(2, true, SENT_AT - 2100),
    ];
    assert_eq!(
        rules(&observe_extra_route(answered(404), vec![], added)),
        ["CONFIG"]
    );
    let just_added = vec![
        configuration(1, false, 1000),
        configuration(2, true, SENT_AT - 1900),
    ];
    assert!(rules(&observe_extra_route(answered(404), vec![], just_added)).is_empty());
    let dropped = vec![
        configuration(1, true, 1000),
        configuration(2, false, SENT_AT - 2100),
    ];
    assert_eq!(
        rules(&observe_extra_route(answered(200), runs.clone(), dropped)),
        ["CONFIG"]
    );
    let just_dropped = vec![
        configuration(1, true, 1000),
        configuration(2, false, SENT_AT - 1900),
    ];
    assert!(rules(&observe_extra_route(answered(200), runs, just_dropped)).is_empty());
}

#[test]
fn acknowledged_version_is_read_back_and_valid_commands_are_not_refused() {
    let mut observations = Observations {
        commands: vec![configuration(1, true, 1000), configuration(4, true, 2000)],
        read_back: Some((4, 9000)),
        ..Default::default()
    };
    assert!(rules(&observations).is_empty());
    observations.read_back = Some((1, 9000));
    assert_eq!(rules(&observations), ["CONFIG"]);
    observations.read_back = Some((4, 9000));
    observations.commands[1].is_refused = true;
    assert_eq!(rules(&observations), ["CONFIG"]);
}

#[test]
fn keys_have_one_owner() {
    let observe = |key_leases: Vec<KeyLease>| Observations {
        key_leases,
        ..Default::default()
    };
    let first_lease = key_lease("a", 100, 1000, 5000);
    assert_eq!(
        rules(&observe(vec![
            first_lease.clone(),
            key_lease("b", 150, 4400, 8000)
        ])),
        ["OWNER"]
    );
    assert!(rules(&observe(vec![
        first_lease.clone(),
        key_lease("b", 150, 4600, 8000)
    ]))
    .is_empty());
    assert!(
        rules(&observe(vec![
            first_lease.clone(),
            key_lease("b", 200, 2000, 8000)
        ]))
        .is_empty(),
        "different keys"
    );
    assert!(
        rules(&observe(vec![
            first_lease.clone(),
            key_lease("a", 100, 2000, 8000)
        ]))
        .is_empty(),
        "the same worker"
    );
    // A shorter overlap is a violation if both workers begin requests on the keys.
    let mut observations = observe(vec![first_lease, key_lease("b", 150, 4600, 8000)]);
    for worker in ["a", "b"] {
        observations.runs.push(Run {
            key: Some(160),
            ..run("r", worker, 4700)
        });
    }
    assert_eq!(rules(&observations), ["OWNER"]);
}

#[test]
fn zone_is_in_use_again_once_every_evacuation_was_finished() {
    let mut observations = Observations {
        commands: vec![
            evacuation(1, true, 1000, Some(1100)),
            evacuation(1, false, 9000, Some(9100)),
        ],
        evacuated_at_end: Some(Vec::new()),
        ..Default::default()
    };
    assert!(rules(&observations).is_empty());
    observations.evacuated_at_end = Some(vec!["z".into()]);
    assert_eq!(rules(&observations), ["RECOVER"]);
    // A begin that was sent again in time counts once.
    observations.commands[0].last_sent_at = 3999;
    assert_eq!(rules(&observations), ["RECOVER"]);
    // One that was sent again later may count twice; a further finish then ends the evacuation.
    observations.commands[0].last_sent_at = 4000;
    assert!(rules(&observations).is_empty());
    observations.evacuated_after_further_finish = vec!["z".into()];
    assert_eq!(rules(&observations), ["RECOVER"]);
    observations.commands[0].last_sent_at = 1000;
    // A finish without an acknowledgement may not have been executed.
    observations.commands[1].acknowledged_at = None;
    assert!(rules(&observations).is_empty());
}
