//! Key ownership with workers that fail, drain and respond late.

use config::constants as c;
use control_state::{ControlState, KEY_SPACE};
use key_ownership::{Action, GrantCall, GrantResult, OwnershipManager, ReleaseCall, ReleaseResult};
use protocol::*;

const CONFIG: &str = r#"{"Version":1,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
    "AccessPoints":[],"Groups":[{"Name":"s","Partitioned":true}]}"#;

/// The same limits as `CONFIG`, without service `s`.
const CONFIG_WITHOUT_SERVICE: &str = r#"{"Version":2,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
    "AccessPoints":[],"Groups":[{"Name":"other"}]}"#;

/// A key range that a worker holds, from the worker's point of view.
#[derive(Debug)]
struct Hold {
    worker: String,
    from: u32,
    to: u32,
    token: u64,
    since: u64,
    until: u64,
}

impl Hold {
    fn shares_keys(&self, other: &Hold) -> bool {
        self.from <= other.to && other.from <= self.to
    }

    fn overlaps(&self, other: &Hold) -> bool {
        self.worker != other.worker
            && self.shares_keys(other)
            && self.since < other.until
            && other.since < self.until
    }
}

struct Scenario {
    state: ControlState,
    ownership: OwnershipManager,
    now: u64,
    /// Actions since this list was last cleared.
    calls: Vec<Action>,
    /// All ranges that workers held, in the order of the grants.
    holds: Vec<Hold>,
}

impl Scenario {
    fn new(workers: usize) -> Scenario {
        let mut scenario = Scenario {
            state: ControlState::default(),
            ownership: OwnershipManager::new(10_000, 300),
            now: 0,
            calls: vec![],
            holds: vec![],
        };
        scenario.configure(CONFIG);
        let put = (0..workers).map(|i| worker(&format!("w{i}"))).collect();
        scenario.change(ChangeKind::Workers(WorkersChange {
            put,
            ..Default::default()
        }));
        scenario
    }

    fn change(&mut self, kind: ChangeKind) {
        self.state.apply(self.state.index + 1, &Change::encode(kind));
    }

    /// Replaces the configuration, with the next version instead of the one in the text.
    fn configure(&mut self, text: &str) {
        let version = self.state.version();
        let body = text.replacen(['1', '2'], &(version + 1).to_string(), 1);
        self.change(ChangeKind::Replace(ConfigurationCommand {
            base: version,
            body: body.into(),
            ..Default::default()
        }));
        assert_eq!(self.state.version(), version + 1);
    }

    /// Records that a worker accepted a grant, which it may also do if its response is lost.
    fn record_grant(&mut self, call: &GrantCall) {
        self.holds.push(Hold {
            worker: call.lease.worker.clone(),
            from: call.lease.from,
            to: call.lease.to,
            token: call.lease.fencing_token,
            since: self.now,
            until: self.now + call.lease_ms,
        });
    }

    /// Records that a worker released a range. The parts of its range that it keeps become holds of
    /// their own.
    fn record_release(&mut self, call: &ReleaseCall) {
        let (now, lease) = (self.now, &call.lease);
        let mut kept = Vec::new();
        let holds = self
            .holds
            .iter_mut()
            .filter(|h| h.worker == lease.worker && h.until > now);
        for hold in holds.filter(|h| h.from <= lease.to && h.to >= lease.from) {
            let rest = [(hold.from, lease.from.wrapping_sub(1)), (lease.to + 1, hold.to)];
            let rest = rest.into_iter().filter(|(from, to)| from <= to && *to <= hold.to);
            kept.extend(rest.map(|(from, to)| Hold {
                worker: hold.worker.clone(),
                from,
                to,
                token: hold.token,
                since: now,
                until: hold.until,
            }));
            hold.until = now;
        }
        self.holds.extend(kept);
    }

    /// Checks that no key had two holders at the same time, and that none was granted under a lower
    /// token than before.
    fn check_holds(&self) {
        for (i, later) in self.holds.iter().enumerate() {
            for earlier in &self.holds[..i] {
                assert!(!later.overlaps(earlier), "{later:?} overlaps {earlier:?}");
                assert!(
                    !later.shares_keys(earlier) || later.token >= earlier.token,
                    "{later:?} after {earlier:?}"
                );
            }
        }
    }

    fn log(&mut self, put: Vec<KeyLease>) {
        self.change(ChangeKind::KeyLeases(KeyLeaseChange { put }));
        self.ownership.on_proposal_finished();
    }

    /// Runs for a time. Grants to `unresponsive` have an unknown result; others succeed.
    fn run(&mut self, ms: u64, unresponsive: &str) {
        for _ in 0..ms / 100 {
            self.now += 100;
            for action in self.ownership.tick(self.now, &self.state) {
                self.calls.push(action.clone());
                match action {
                    Action::ProposeLeases(put) => self.log(put),
                    Action::Grant(g) => {
                        self.record_grant(&g);
                        let result = if g.lease.worker == unresponsive {
                            GrantResult::Unknown
                        } else {
                            GrantResult::Accepted
                        };
                        self.ownership.on_grant_result(self.now, &g, result);
                    }
                    Action::Release(r) => {
                        let result = if r.lease.worker == unresponsive {
                            ReleaseResult::Failed
                        } else {
                            self.record_release(&r);
                            ReleaseResult::Released("token".into())
                        };
                        self.ownership.on_release_result(self.now, &r, result);
                    }
                }
            }
        }
    }

    fn held_by(&self, id: &str) -> u32 {
        self.state.key_leases["s"]
            .values()
            .filter(|lease| lease.worker == id)
            .map(|lease| lease.to - lease.from + 1)
            .sum()
    }

    fn check_cover(&self) {
        let mut next = 0;
        for lease in self.state.key_leases["s"].values() {
            assert_eq!(lease.from, next);
            next = lease.to + 1;
        }
        assert_eq!(next, KEY_SPACE);
    }
}

fn worker(id: &str) -> Worker {
    Worker {
        id: id.into(),
        service: "s".into(),
        zone: "z".into(),
        ..Default::default()
    }
}

#[test]
fn leases_are_logged_before_they_are_granted_under_distinct_tokens() {
    let mut scenario = Scenario::new(4);
    scenario.run(500, "");
    assert!(matches!(scenario.calls[0], Action::ProposeLeases(_)));
    scenario.check_cover();
    assert_eq!(scenario.held_by("w2"), KEY_SPACE / 4);
    let tokens: std::collections::BTreeSet<u64> = scenario.state.key_leases["s"]
        .values()
        .map(|h| h.fencing_token)
        .collect();
    assert_eq!(tokens.len(), 4);
}

#[test]
fn draining_worker_hands_over_under_a_higher_fencing_token() {
    let mut scenario = Scenario::new(4);
    scenario.run(1000, "");
    let highest_token = scenario.state.highest_fencing_token();
    let put = vec![Worker {
        draining: true,
        ..worker("w1")
    }];
    scenario.change(ChangeKind::Workers(WorkersChange {
        put,
        ..Default::default()
    }));
    scenario.calls.clear();
    scenario.run(1000, "");
    scenario.check_cover();
    assert_eq!(scenario.held_by("w1"), 0);
    let moved_leases: Vec<_> = scenario.state.key_leases["s"]
        .values()
        .filter(|h| h.fencing_token > highest_token)
        .collect();
    assert!(moved_leases.len() > 1 && moved_leases.iter().all(|h| h.handover == "token"));
}

#[test]
fn unresponsive_holder_keeps_its_keys_until_its_lease_expires() {
    let mut scenario = Scenario::new(3);
    scenario.run(1000, "");
    let drained_at = scenario.now;
    let put = vec![Worker {
        draining: true,
        ..worker("w0")
    }];
    scenario.change(ChangeKind::Workers(WorkersChange {
        put,
        ..Default::default()
    }));
    let min_lease_ms = (c::KEY_LEASE_MS as f64 * c::LEASE_CLOCK_FACTOR) as u64;
    while scenario.held_by("w0") > 0 {
        scenario.run(100, "w0");
        assert!(scenario.now < drained_at + 3 * c::KEY_LEASE_MS);
    }
    assert!(
        scenario.now - drained_at + c::KEY_RENEWAL_INTERVAL_MS >= min_lease_ms,
        "{}",
        scenario.now - drained_at
    );
}

#[test]
fn holder_that_does_not_respond_to_grants_loses_its_keys() {
    let mut scenario = Scenario::new(3);
    scenario.run(1000, "");
    scenario.run(5000, "w0");
    assert!(
        scenario.held_by("w0") > 0,
        "its last lease may not have expired yet"
    );
    scenario.run(6000, "w0");
    assert_eq!(scenario.held_by("w0"), 0);
    scenario.check_cover();
}

/// Guards against keys that are given to others while a worker that the list omits still holds them
/// (OWNER; review case 2). A worker missing from the list may still run.
#[test]
fn unlisted_worker_keeps_its_keys_until_its_lease_expires() {
    let mut scenario = Scenario::new(3);
    scenario.run(2000, "");
    let removed_at = scenario.now;
    scenario.change(ChangeKind::Workers(WorkersChange {
        removed: vec!["w0".into()],
        ..Default::default()
    }));
    let before = scenario.holds.iter().filter(|h| h.worker == "w0");
    let lease_end = before.map(|h| h.until).max().expect("the worker held keys");
    while scenario.held_by("w0") > 0 {
        scenario.run(100, "");
        assert!(
            scenario.now < removed_at + 2 * c::KEY_LEASE_MS,
            "the keys must be freed eventually"
        );
    }
    assert!(scenario.now >= lease_end, "{} before {lease_end}", scenario.now);
    scenario.run(2000, "");
    scenario.check_holds();
    scenario.check_cover();
}

/// Guards against a worker losing its keys or tokens when the list omits it for a short time.
#[test]
fn worker_missing_from_one_list_keeps_its_keys_and_tokens() {
    let mut scenario = Scenario::new(3);
    scenario.run(2000, "");
    let held = scenario.held_by("w0");
    let highest_token = scenario.state.highest_fencing_token();
    scenario.change(ChangeKind::Workers(WorkersChange {
        removed: vec!["w0".into()],
        ..Default::default()
    }));
    scenario.run(600, "");
    scenario.change(ChangeKind::Workers(WorkersChange {
        put: vec![worker("w0")],
        ..Default::default()
    }));
    scenario.run(5000, "");
    assert_eq!(
        (scenario.held_by("w0"), scenario.state.highest_fencing_token()),
        (held, highest_token)
    );
    scenario.check_holds();
}

#[test]
fn new_leader_waits_for_the_final_leases_of_draining_and_unlisted_workers() {
    let mut scenario = Scenario::new(3);
    scenario.run(1000, "");
    scenario.ownership.start_leadership(scenario.now, &scenario.state);
    let begun_at = scenario.now;
    let put = vec![Worker {
        draining: true,
        ..worker("w1")
    }];
    scenario.change(ChangeKind::Workers(WorkersChange {
        put,
        removed: vec!["w0".into()],
        ..Default::default()
    }));
    scenario.run(300, "w1");
    assert!(scenario.held_by("w0") > 0 && scenario.held_by("w1") > 0);
    while scenario.now < begun_at + c::KEY_LEASE_MS {
        scenario.run(100, "w1");
        assert!(
            scenario.held_by("w0") > 0 && scenario.held_by("w1") > 0,
            "a lease granted by an earlier leader may not have expired yet"
        );
    }
    scenario.run(c::KEY_LEASE_MS, "w1");
    assert_eq!(scenario.held_by("w0"), 0);
    scenario.run(c::FINAL_KEY_LEASE_MS, "w1");
    assert_eq!(scenario.held_by("w1"), 0);
    scenario.check_holds();
    scenario.check_cover();
}

/// Guards against keys with two holders, and against fencing tokens that decrease, after a
/// configuration without the service was in force for a while (OWNER; review case 1).
#[test]
fn no_key_has_two_holders_after_a_service_is_removed_and_restored() {
    for gap_ms in [100, 400, 1000, 3000, 4000, 6000, 12_000] {
        let mut scenario = Scenario::new(4);
        scenario.run(2000, "");
        let highest_token = scenario.state.highest_fencing_token();
        scenario.configure(CONFIG_WITHOUT_SERVICE);
        // The set of workers changes, so a new division of the keys would give every worker other
        // ranges.
        let put = vec![worker("a"), worker("b")];
        scenario.change(ChangeKind::Workers(WorkersChange {
            put,
            ..Default::default()
        }));
        scenario.calls.clear();
        scenario.run(gap_ms, "");
        assert!(
            !scenario.calls.iter().any(|a| matches!(a, Action::Grant(_))),
            "{gap_ms}"
        );
        assert!(
            scenario.state.highest_fencing_token() >= highest_token,
            "{gap_ms}: the highest fencing token decreased"
        );
        scenario.configure(CONFIG);
        scenario.run(8000, "");
        scenario.check_holds();
        scenario.check_cover();
        for lease in scenario.state.key_leases["s"].values() {
            assert!(!lease.worker.is_empty(), "{gap_ms}: {lease:?}");
        }
    }
}

/// Guards against the same faults when a new leader knows the leases only from a snapshot.
#[test]
fn new_leader_from_a_snapshot_waits_for_the_leases_of_a_removed_service() {
    for gap_ms in [100, 2000, 6000] {
        let mut scenario = Scenario::new(4);
        scenario.run(2000, "");
        let highest_token = scenario.state.highest_fencing_token();
        scenario.configure(CONFIG_WITHOUT_SERVICE);
        scenario.run(gap_ms, "");
        let snapshot = scenario.state.to_snapshot();
        scenario.state = ControlState::from_snapshot(scenario.state.index, &snapshot).expect("readable");
        scenario.ownership = OwnershipManager::new(10_000, 300);
        scenario.ownership.start_leadership(scenario.now, &scenario.state);
        scenario.configure(CONFIG);
        scenario.change(ChangeKind::Workers(WorkersChange {
            put: vec![worker("a")],
            removed: vec!["w0".into()],
            ..Default::default()
        }));
        scenario.run(12_000, "");
        scenario.check_cover();
        let tokens = scenario.state.key_leases["s"].values().map(|l| l.fencing_token);
        let lowest = tokens.min().expect("leases");
        assert!(
            gap_ms < 6000 || lowest > highest_token,
            "{gap_ms}: fencing tokens restart at {lowest}"
        );
    }
}

#[test]
fn new_worker_gets_a_fair_share_once_it_is_warm() {
    let mut scenario = Scenario::new(4);
    scenario.run(1000, "");
    let put = vec![Worker {
        warmup_ms: 3000,
        ..worker("new")
    }];
    scenario.change(ChangeKind::Workers(WorkersChange {
        put,
        ..Default::default()
    }));
    scenario.run(2500, "");
    assert_eq!(scenario.held_by("new"), 0, "the worker is still warming up");
    scenario.run(6000, "");
    scenario.check_cover();
    assert!(
        scenario.held_by("new") >= KEY_SPACE / 5 * 4 / 10,
        "{}",
        scenario.held_by("new")
    );
    let settled = scenario.state.highest_fencing_token();
    scenario.run(6000, "");
    assert_eq!(
        scenario.state.highest_fencing_token(),
        settled,
        "no key moves after that"
    );
}

#[test]
fn holder_of_a_busy_key_holds_few_other_keys() {
    let mut scenario = Scenario::new(4);
    scenario.run(1000, "");
    let hot = 5000;
    for _ in 0..8 {
        let buckets: Vec<u32> = (0..KEY_SPACE).collect();
        let counts = buckets
            .iter()
            .map(|b| if *b == hot { 96_000 } else { 1 })
            .collect();
        scenario.ownership.add_loads(
            &[KeyCounts {
                service: name_hash("s"),
                buckets,
                counts,
            }],
            &[],
        );
        scenario.run(1000, "");
    }
    scenario.check_cover();
    let holder = scenario
        .state
        .key_lease("s", 5000)
        .expect("covered")
        .worker
        .clone();
    assert!(
        scenario.held_by(&holder) < KEY_SPACE / 16,
        "{}",
        scenario.held_by(&holder)
    );
}

#[test]
fn no_release_while_a_grant_under_the_same_token_is_pending() {
    let mut scenario = Scenario::new(2);
    scenario.run(200, "");
    // The grants of this round stay pending.
    let grants = loop {
        scenario.now += 100;
        let actions = scenario.ownership.tick(scenario.now, &scenario.state);
        if actions.len() == 2 {
            break actions;
        }
        assert!(scenario.now < 5000);
    };
    let h = scenario.state.key_lease("s", 0).expect("covered").clone();
    let piece = KeyLease {
        to: 99,
        revoking: true,
        ..h.clone()
    };
    scenario.change(ChangeKind::KeyLeases(KeyLeaseChange { put: vec![piece] }));
    scenario.now += 100;
    assert!(!scenario
        .ownership
        .tick(scenario.now, &scenario.state)
        .iter()
        .any(|a| matches!(a, Action::Release(_))));
    for g in grants {
        if let Action::Grant(g) = g {
            scenario
                .ownership
                .on_grant_result(scenario.now, &g, GrantResult::Accepted);
        }
    }
    // The final grant, which lets requests in progress complete, comes before the release.
    scenario.now += 100;
    let actions = scenario.ownership.tick(scenario.now, &scenario.state);
    let final_grant = actions.iter().find_map(|a| match a {
        Action::Grant(g) if g.lease_ms > c::KEY_LEASE_MS => Some(g.clone()),
        _ => None,
    });
    let final_grant = final_grant.expect("a final grant");
    assert_eq!((final_grant.lease.from, final_grant.lease.to), (0, 99));
    assert!(!actions.iter().any(|a| matches!(a, Action::Release(_))));
    scenario
        .ownership
        .on_grant_result(scenario.now, &final_grant, GrantResult::Accepted);
    scenario.now += 100;
    assert!(scenario
        .ownership
        .tick(scenario.now, &scenario.state)
        .iter()
        .any(|a| matches!(a, Action::Release(_))));
}

#[test]
fn fenced_grant_is_repeated_under_a_new_token() {
    let mut scenario = Scenario::new(2);
    scenario.run(500, "");
    let highest_token = scenario.state.highest_fencing_token();
    let call = first_action(&mut scenario, |action| match action {
        Action::Grant(g) if g.lease.from == 0 => Some(g.clone()),
        _ => None,
    });
    let lease = call.lease.clone();
    scenario
        .ownership
        .on_grant_result(scenario.now, &call, GrantResult::Fenced);
    scenario.calls.clear();
    scenario.run(1500, "");
    let repeated = scenario.state.key_lease("s", 0).expect("covered");
    assert_eq!(
        (repeated.worker.as_str(), repeated.fencing_token),
        (lease.worker.as_str(), highest_token + 1)
    );
    assert!(scenario
        .calls
        .iter()
        .any(|a| matches!(a, Action::Grant(g) if g.lease.fencing_token == highest_token + 1)));
}

/// Guards against a range that is freed while its holder still holds it under an old token: a new
/// token was logged, but the grant under it never arrived (OWNER).
#[test]
fn holder_keeps_its_keys_until_the_lease_under_its_old_token_expires() {
    let mut scenario = Scenario::new(2);
    scenario.run(2000, "");
    let held = scenario.holds.iter().filter(|h| h.worker == "w0");
    let lease_end = held.map(|h| h.until).max().expect("the worker holds keys");
    let call = first_action(&mut scenario, |action| match action {
        Action::Grant(g) if g.lease.worker == "w0" => Some(g.clone()),
        _ => None,
    });
    let old_token = call.lease.fencing_token;
    scenario
        .ownership
        .on_grant_result(scenario.now, &call, GrantResult::Fenced);
    while scenario
        .state
        .key_lease("s", call.lease.from)
        .is_some_and(|l| l.fencing_token == old_token)
    {
        scenario.now += 100;
        for action in scenario.ownership.tick(scenario.now, &scenario.state) {
            match action {
                Action::ProposeLeases(put) => scenario.log(put),
                Action::Grant(g) => {
                    scenario
                        .ownership
                        .on_grant_result(scenario.now, &g, GrantResult::NotSent)
                }
                Action::Release(r) => {
                    scenario
                        .ownership
                        .on_release_result(scenario.now, &r, ReleaseResult::Failed)
                }
            }
        }
    }
    scenario.change(ChangeKind::Workers(WorkersChange {
        removed: vec!["w0".into()],
        ..Default::default()
    }));
    while scenario.held_by("w0") > 0 {
        scenario.run(100, "");
        assert!(
            scenario.now < lease_end + 2 * c::KEY_LEASE_MS,
            "the keys must be freed eventually"
        );
    }
    assert!(scenario.now >= lease_end, "{} before {lease_end}", scenario.now);
}

#[test]
fn restored_zone_gets_no_keys_until_the_worker_list_is_read_again() {
    let mut scenario = Scenario::new(3);
    let put = vec![Worker {
        zone: "back".into(),
        ..worker("w0")
    }];
    let read_list = |scenario: &mut Scenario, put: &Vec<Worker>| {
        let change = WorkersChange {
            put: put.clone(),
            as_of: scenario.state.index,
            ..Default::default()
        };
        scenario.change(ChangeKind::Workers(change));
    };
    read_list(&mut scenario, &put);
    scenario.run(1000, "");
    let evacuate = |begin| {
        ChangeKind::Evacuate(EvacuationChange {
            zone: "back".into(),
            begin,
        })
    };
    scenario.change(evacuate(true));
    scenario.run(9000, "");
    assert_eq!(scenario.held_by("w0"), 0);
    scenario.change(evacuate(false));
    scenario.run(4000, "");
    assert_eq!(
        scenario.held_by("w0"),
        0,
        "whether the worker is warm is not known yet"
    );
    read_list(&mut scenario, &put);
    scenario.run(4000, "");
    assert!(scenario.held_by("w0") > 0);
}

#[test]
fn keys_follow_rollout_stages_and_return_on_rollback() {
    use rollout::{Action, Create, RolloutChange};
    let mut scenario = Scenario::new(8);
    let old = (0..8).map(|i| Worker {
        version: "v1".into(),
        ..worker(&format!("w{i}"))
    });
    let new = (0..8).map(|i| Worker {
        version: "v2".into(),
        ..worker(&format!("x{i}"))
    });
    scenario.change(ChangeKind::Workers(WorkersChange {
        put: old.collect(),
        ..Default::default()
    }));
    scenario.run(1000, "");
    let step = |scenario: &mut Scenario, action: Action| {
        let expected = scenario.state.rollouts.get("s").map_or(0, |r| r.version);
        let create = (action == Action::Create).then(|| Create {
            target: "v2".into(),
            duration_ms: 60_000,
        });
        scenario.change(ChangeKind::Rollout(RolloutChange {
            service: "s".into(),
            action: action as i32,
            expected,
            create,
            stages: rollout::stages(60_000, 0.1),
            previous_versions: vec!["v1".into()],
            ..Default::default()
        }));
    };
    let keys_of_new_version =
        |scenario: &Scenario| (0..8).map(|i| scenario.held_by(&format!("x{i}"))).sum::<u32>();
    step(&mut scenario, Action::Create);
    scenario.change(ChangeKind::Workers(WorkersChange {
        put: new.collect(),
        ..Default::default()
    }));
    scenario.run(5000, "");
    assert_eq!(
        keys_of_new_version(&scenario),
        0,
        "the rollout is created, not started"
    );
    step(&mut scenario, Action::Start);
    scenario.run(9000, "");
    let held: Vec<u32> = (0..8).map(|i| scenario.held_by(&format!("x{i}"))).collect();
    let holders = held.iter().filter(|h| **h > 0).count();
    assert_eq!(holders, 1, "a small share must go to a single worker: {held:?}");
    assert!(keys_of_new_version(&scenario) < KEY_SPACE / 5, "{held:?}");
    scenario.check_cover();
    step(&mut scenario, Action::Promote);
    scenario.run(9000, "");
    assert!(
        keys_of_new_version(&scenario) > KEY_SPACE / 10 && keys_of_new_version(&scenario) < KEY_SPACE / 2
    );
    step(&mut scenario, Action::Promote);
    scenario.run(12_000, "");
    assert_eq!(
        keys_of_new_version(&scenario),
        KEY_SPACE,
        "the new version must hold all keys"
    );
    scenario.check_cover();
    step(&mut scenario, Action::Rollback);
    scenario.run(12_000, "");
    assert_eq!(
        keys_of_new_version(&scenario),
        0,
        "the new version must hold no keys after a rollback"
    );
    scenario.check_cover();
}

/// Returns the first action that `select` picks, within 10 s. Grants and releases that come before
/// it succeed.
fn first_action<T>(scenario: &mut Scenario, select: impl Fn(&Action) -> Option<T>) -> T {
    for _ in 0..100 {
        scenario.now += 100;
        let mut found = None;
        for action in scenario.ownership.tick(scenario.now, &scenario.state) {
            if let (None, Some(selected)) = (&found, select(&action)) {
                found = Some(selected);
                continue;
            }
            match action {
                Action::ProposeLeases(put) => scenario.log(put),
                Action::Grant(g) => {
                    scenario
                        .ownership
                        .on_grant_result(scenario.now, &g, GrantResult::Accepted)
                }
                Action::Release(r) => scenario.ownership.on_release_result(
                    scenario.now,
                    &r,
                    ReleaseResult::Released("t".into()),
                ),
            }
        }
        if let Some(found) = found {
            return found;
        }
    }
    panic!("the expected action did not come within 10 s");
}

fn drain(scenario: &mut Scenario, id: &str) {
    let draining_worker = Worker {
        draining: true,
        ..worker(id)
    };
    scenario.change(ChangeKind::Workers(WorkersChange {
        put: vec![draining_worker],
        ..Default::default()
    }));
}

#[test]
fn late_grant_result_of_an_earlier_leadership_shortens_no_lease() {
    for result in [
        GrantResult::Unknown,
        GrantResult::Accepted,
        GrantResult::NotSent,
        GrantResult::Fenced,
    ] {
        let mut scenario = Scenario::new(2);
        scenario.run(500, "");
        let call = first_action(&mut scenario, |action| match action {
            Action::Grant(g) if g.lease.worker == "w0" => Some(g.clone()),
            _ => None,
        });
        // The leadership is lost and regained before the result arrives. Meanwhile another leader
        // may have granted the same range, and that grant may still arrive.
        scenario.now += 300;
        scenario.ownership.start_leadership(scenario.now, &scenario.state);
        let earliest_expiry = scenario.ownership.expires_by(call.lease.fencing_token);
        drain(&mut scenario, "w0");
        scenario.now += 50;
        scenario.ownership.on_grant_result(scenario.now, &call, result);
        assert!(
            scenario.ownership.expires_by(call.lease.fencing_token) >= earliest_expiry,
            "{result:?}"
        );
        assert_eq!(scenario.ownership.unmatched_results(), 1);
        for _ in 0..20 {
            scenario.now += 100;
            for action in scenario.ownership.tick(scenario.now, &scenario.state) {
                if let Action::ProposeLeases(put) = action {
                    let freed = put.iter().any(|h| h.worker != "w0" && h.from == call.lease.from);
                    assert!(
                        !freed || scenario.now >= earliest_expiry,
                        "{result:?}: freed at {}",
                        scenario.now
                    );
                    scenario.log(put);
                }
            }
        }
    }
}

#[test]
fn late_release_result_of_an_earlier_leadership_frees_no_range() {
    let mut scenario = Scenario::new(2);
    scenario.run(500, "");
    drain(&mut scenario, "w0");
    let call = first_action(&mut scenario, |action| match action {
        Action::Release(r) => Some(r.clone()),
        _ => None,
    });
    // In its next leadership it has granted the keys again, as another leader may have, when the
    // result arrives.
    scenario.now += 100;
    scenario.ownership.start_leadership(scenario.now, &scenario.state);
    let repeated = first_action(&mut scenario, |action| match action {
        Action::Grant(g) if g.lease.fencing_token == call.lease.fencing_token => Some(g.clone()),
        _ => None,
    });
    assert_eq!(repeated.lease, call.lease);
    scenario
        .ownership
        .on_release_result(scenario.now, &call, ReleaseResult::Released("late".into()));
    for _ in 0..10 {
        scenario.now += 100;
        for action in scenario.ownership.tick(scenario.now, &scenario.state) {
            assert!(
                !matches!(action, Action::ProposeLeases(_)),
                "freed at {}: {action:?}",
                scenario.now
            );
        }
    }
}

#[test]
fn grant_result_applies_only_to_its_own_call() {
    // A call with an unknown result may arrive after the next call was answered.
    let mut scenario = Scenario::new(1);
    scenario.run(500, "");
    let grant = |scenario: &mut Scenario| {
        first_action(scenario, |action| match action {
            Action::Grant(g) => Some(g.clone()),
            _ => None,
        })
    };
    let first = grant(&mut scenario);
    scenario
        .ownership
        .on_grant_result(scenario.now, &first, GrantResult::Unknown);
    let earliest_expiry = scenario.ownership.expires_by(first.lease.fencing_token);
    let second = grant(&mut scenario);
    scenario
        .ownership
        .on_grant_result(scenario.now, &second, GrantResult::Accepted);
    assert!(scenario.ownership.expires_by(first.lease.fencing_token) >= earliest_expiry);
    // A duplicate result changes nothing.
    let third = grant(&mut scenario);
    let earliest_expiry = scenario.ownership.expires_by(first.lease.fencing_token);
    scenario
        .ownership
        .on_grant_result(scenario.now, &second, GrantResult::Accepted);
    assert_eq!(
        scenario.ownership.expires_by(first.lease.fencing_token),
        earliest_expiry
    );
    assert_eq!(scenario.ownership.unmatched_results(), 1);
    scenario
        .ownership
        .on_grant_result(scenario.now, &third, GrantResult::NotSent);
    assert!(scenario.ownership.expires_by(first.lease.fencing_token) < earliest_expiry);
}
