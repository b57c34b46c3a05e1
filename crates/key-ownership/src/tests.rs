use super::*;
use control_state::KEY_SPACE;
use protocol::*;

const CONFIG: &str = r#"{"Version":1,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
    "AccessPoints":[],"Groups":[{"Name":"s","Partitioned":true}]}"#;

struct Play {
    stage: ControlState,
    ownership: OwnershipManager,
    now: u64,
    /// Calls made since the last look.
    calls: Vec<Act>,
}

impl Play {
    fn new(workers: usize) -> Play {
        let mut play = Play {
            stage: ControlState::default(),
            ownership: OwnershipManager::new(10_000, 300),
            now: 0,
            calls: vec![],
        };
        play.change(ChangeKind::Replace(ConfigurationCommand {
            base: 0,
            body: CONFIG.into(),
            ..Default::default()
        }));
        let put = (0..workers).map(|i| worker(&format!("w{i}"))).collect();
        play.change(ChangeKind::Workers(WorkersChange {
            put,
            ..Default::default()
        }));
        play
    }

    fn change(&mut self, kind: ChangeKind) {
        self.stage.apply(self.stage.index + 1, &Change::encode(kind));
    }

    fn log(&mut self, put: Vec<KeyLease>) {
        self.change(ChangeKind::KeyLeases(KeyLeaseChange { put }));
        self.ownership.logged();
    }

    /// Runs for a time; grants to `dead` end unclear, others succeed.
    fn run(&mut self, ms: u64, dead: &str) {
        for _ in 0..ms / 100 {
            self.now += 100;
            for act in self.ownership.tick(self.now, &self.stage) {
                self.calls.push(act.clone());
                match act {
                    Act::Log(put) => self.log(put),
                    Act::Grant(g) => {
                        let end = if g.holding.worker == dead {
                            Granted::Unclear
                        } else {
                            Granted::Yes
                        };
                        self.ownership.granted(self.now, &g, end);
                    }
                    Act::Release(r) => {
                        let end = if r.holding.worker == dead {
                            Released::Failed
                        } else {
                            Released::Yes("token".into())
                        };
                        self.ownership.released(self.now, &r, end);
                    }
                }
            }
        }
    }

    fn held_by(&self, id: &str) -> u32 {
        self.stage.key_leases["s"]
            .values()
            .filter(|h| h.worker == id)
            .map(|h| h.to - h.from + 1)
            .sum()
    }

    fn check_cover(&self) {
        let mut next = 0;
        for h in self.stage.key_leases["s"].values() {
            assert_eq!(h.from, next);
            next = h.to + 1;
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
fn keys_are_logged_before_they_are_granted_and_every_fence_is_new() {
    let mut p = Play::new(4);
    p.run(500, "");
    assert!(matches!(p.calls[0], Act::Log(_)));
    p.check_cover();
    assert_eq!(p.held_by("w2"), KEY_SPACE / 4);
    let fences: std::collections::BTreeSet<u64> = p.stage.key_leases["s"]
        .values()
        .map(|h| h.fencing_token)
        .collect();
    assert_eq!(fences.len(), 4);
}

#[test]
fn a_draining_worker_hands_over_with_its_token_under_a_higher_fence() {
    let mut p = Play::new(4);
    p.run(1000, "");
    let top = p.stage.highest_fencing_token();
    let put = vec![Worker {
        draining: true,
        ..worker("w1")
    }];
    p.change(ChangeKind::Workers(WorkersChange {
        put,
        ..Default::default()
    }));
    p.calls.clear();
    p.run(1000, "");
    p.check_cover();
    assert_eq!(p.held_by("w1"), 0);
    let moved: Vec<_> = p.stage.key_leases["s"]
        .values()
        .filter(|h| h.fencing_token > top)
        .collect();
    assert!(moved.len() > 1 && moved.iter().all(|h| h.handover == "token"));
}

#[test]
fn a_silent_holder_keeps_its_keys_until_its_hold_has_ended() {
    let mut p = Play::new(3);
    p.run(1000, "");
    let stopped = p.now;
    let put = vec![Worker {
        draining: true,
        ..worker("w0")
    }];
    p.change(ChangeKind::Workers(WorkersChange {
        put,
        ..Default::default()
    }));
    let least = (c::KEY_LEASE_MS as f64 * c::LEASE_CLOCK_FACTOR) as u64;
    while p.held_by("w0") > 0 {
        p.run(100, "w0");
        assert!(p.now < stopped + 3 * c::KEY_LEASE_MS);
    }
    assert!(
        p.now - stopped + c::KEY_RENEWAL_INTERVAL_MS >= least,
        "{}",
        p.now - stopped
    );
}

#[test]
fn a_holder_that_answers_no_grant_is_let_go() {
    let mut p = Play::new(3);
    p.run(1000, "");
    p.run(5000, "w0");
    assert!(p.held_by("w0") > 0, "its last grant may still run");
    p.run(6000, "w0");
    assert_eq!(p.held_by("w0"), 0);
    p.check_cover();
}

#[test]
fn an_ended_life_frees_its_keys_at_once_and_a_new_leader_waits_for_the_rest() {
    let mut p = Play::new(3);
    p.run(1000, "");
    p.ownership.begin(p.now, &p.stage);
    p.change(ChangeKind::Workers(WorkersChange {
        put: vec![],
        removed: vec!["w0".into()],
        ..Default::default()
    }));
    let put = vec![Worker {
        draining: true,
        ..worker("w1")
    }];
    p.change(ChangeKind::Workers(WorkersChange {
        put,
        ..Default::default()
    }));
    p.run(300, "w1");
    assert_eq!(p.held_by("w0"), 0);
    assert!(p.held_by("w1") > 0);
    p.run(c::KEY_LEASE_MS, "w1");
    assert!(
        p.held_by("w1") > 0,
        "an earlier leader's last grant may still run"
    );
    p.run(c::FINAL_KEY_LEASE_MS, "w1");
    assert_eq!(p.held_by("w1"), 0);
    p.check_cover();
}

#[test]
fn a_newcomer_is_given_a_fair_share_once_it_is_warm() {
    let mut p = Play::new(4);
    p.run(1000, "");
    let put = vec![Worker {
        warmup_ms: 3000,
        ..worker("new")
    }];
    p.change(ChangeKind::Workers(WorkersChange {
        put,
        ..Default::default()
    }));
    p.run(2500, "");
    assert_eq!(p.held_by("new"), 0, "still cold");
    p.run(6000, "");
    p.check_cover();
    assert!(p.held_by("new") >= KEY_SPACE / 5 * 4 / 10, "{}", p.held_by("new"));
    let settled = p.stage.highest_fencing_token();
    p.run(6000, "");
    assert_eq!(p.stage.highest_fencing_token(), settled, "and then nothing moves");
}

#[test]
fn a_busy_key_is_set_apart_and_a_grant_under_way_delays_the_release() {
    let mut p = Play::new(4);
    p.run(1000, "");
    let hot = 5000;
    for _ in 0..8 {
        let buckets: Vec<u32> = (0..KEY_SPACE).collect();
        let counts = buckets
            .iter()
            .map(|b| if *b == hot { 96_000 } else { 1 })
            .collect();
        p.ownership.take_loads(
            &[KeyCounts {
                service: name_hash("s"),
                buckets,
                counts,
            }],
            &[],
        );
        p.run(1000, "");
    }
    p.check_cover();
    let holder = p.stage.key_lease("s", 5000).expect("covered").worker.clone();
    assert!(p.held_by(&holder) < KEY_SPACE / 16, "{}", p.held_by(&holder));
}

#[test]
fn no_release_while_a_grant_of_the_same_fence_is_under_way() {
    let mut p = Play::new(2);
    p.run(200, "");
    // The grants of this round stay under way.
    let grants = loop {
        p.now += 100;
        let acts = p.ownership.tick(p.now, &p.stage);
        if acts.len() == 2 {
            break acts;
        }
        assert!(p.now < 5000);
    };
    let h = p.stage.key_lease("s", 0).expect("covered").clone();
    let piece = KeyLease {
        to: 99,
        revoking: true,
        ..h.clone()
    };
    p.change(ChangeKind::KeyLeases(KeyLeaseChange { put: vec![piece] }));
    p.now += 100;
    assert!(!p
        .ownership
        .tick(p.now, &p.stage)
        .iter()
        .any(|a| matches!(a, Act::Release(_))));
    for g in grants {
        if let Act::Grant(g) = g {
            p.ownership.granted(p.now, &g, Granted::Yes);
        }
    }
    // First a last grant that outlasts what runs, then the release.
    p.now += 100;
    let acts = p.ownership.tick(p.now, &p.stage);
    let last = acts.iter().find_map(|a| match a {
        Act::Grant(g) if g.hold_ms > c::KEY_LEASE_MS => Some(g.clone()),
        _ => None,
    });
    let last = last.expect("a last grant");
    assert_eq!((last.holding.from, last.holding.to), (0, 99));
    assert!(!acts.iter().any(|a| matches!(a, Act::Release(_))));
    p.ownership.granted(p.now, &last, Granted::Yes);
    p.now += 100;
    assert!(p
        .ownership
        .tick(p.now, &p.stage)
        .iter()
        .any(|a| matches!(a, Act::Release(_))));
}

#[test]
fn a_worker_that_has_seen_a_higher_fence_is_granted_under_a_new_one() {
    let mut p = Play::new(2);
    p.run(500, "");
    let top = p.stage.highest_fencing_token();
    let call = until(&mut p, |act| match act {
        Act::Grant(g) if g.holding.from == 0 => Some(g.clone()),
        _ => None,
    });
    let h = call.holding.clone();
    p.ownership.granted(p.now, &call, Granted::Outrun);
    p.calls.clear();
    p.run(1500, "");
    let again = p.stage.key_lease("s", 0).expect("covered");
    assert_eq!(
        (again.worker.as_str(), again.fencing_token),
        (h.worker.as_str(), top + 1)
    );
    assert!(p
        .calls
        .iter()
        .any(|a| matches!(a, Act::Grant(g) if g.holding.fencing_token == top + 1)));
}

#[test]
fn a_zone_taken_back_gets_no_keys_before_the_list_was_read_again() {
    let mut p = Play::new(3);
    let put = vec![Worker {
        zone: "back".into(),
        ..worker("w0")
    }];
    let read = |p: &mut Play, put: &Vec<Worker>| {
        let change = WorkersChange {
            put: put.clone(),
            as_of: p.stage.index,
            ..Default::default()
        };
        p.change(ChangeKind::Workers(change));
    };
    read(&mut p, &put);
    p.run(1000, "");
    let evacuate = |begin| {
        ChangeKind::Evacuate(EvacuationChange {
            zone: "back".into(),
            begin,
        })
    };
    p.change(evacuate(true));
    p.run(9000, "");
    assert_eq!(p.held_by("w0"), 0);
    p.change(evacuate(false));
    p.run(4000, "");
    assert_eq!(p.held_by("w0"), 0, "nobody knows yet whether it is cold");
    read(&mut p, &put);
    p.run(4000, "");
    assert!(p.held_by("w0") > 0);
}

#[test]
fn keys_follow_the_stages_of_a_rollout_and_come_back() {
    use rollout::{Action, Create, PreviewChange};
    let mut p = Play::new(8);
    let old = (0..8).map(|i| Worker {
        version: "v1".into(),
        ..worker(&format!("w{i}"))
    });
    let new = (0..8).map(|i| Worker {
        version: "v2".into(),
        ..worker(&format!("x{i}"))
    });
    p.change(ChangeKind::Workers(WorkersChange {
        put: old.collect(),
        ..Default::default()
    }));
    p.run(1000, "");
    let step = |p: &mut Play, action: Action| {
        let expected = p.stage.rollouts.get("s").map_or(0, |r| r.version);
        let create = (action == Action::Create).then(|| Create {
            target: "v2".into(),
            duration_ms: 60_000,
        });
        p.change(ChangeKind::Rollout(PreviewChange {
            service: "s".into(),
            action: action as i32,
            expected,
            create,
            showings: rollout::showings(60_000, 0.1),
            before: vec!["v1".into()],
            ..Default::default()
        }));
    };
    let with_new = |p: &Play| (0..8).map(|i| p.held_by(&format!("x{i}"))).sum::<u32>();
    step(&mut p, Action::Create);
    p.change(ChangeKind::Workers(WorkersChange {
        put: new.collect(),
        ..Default::default()
    }));
    p.run(5000, "");
    assert_eq!(with_new(&p), 0, "ordered, not started");
    step(&mut p, Action::Start);
    p.run(9000, "");
    let held: Vec<u32> = (0..8).map(|i| p.held_by(&format!("x{i}"))).collect();
    let holders = held.iter().filter(|h| **h > 0).count();
    assert_eq!(holders, 1, "a small share goes to few workers: {held:?}");
    assert!(with_new(&p) < KEY_SPACE / 5, "{held:?}");
    p.check_cover();
    step(&mut p, Action::Promote);
    p.run(9000, "");
    assert!(with_new(&p) > KEY_SPACE / 10 && with_new(&p) < KEY_SPACE / 2);
    step(&mut p, Action::Promote);
    p.run(12_000, "");
    assert_eq!(with_new(&p), KEY_SPACE, "all of it");
    p.check_cover();
    step(&mut p, Action::Rollback);
    p.run(12_000, "");
    assert_eq!(with_new(&p), 0, "and back");
    p.check_cover();
}

/// The first act that `wanted` picks, within some seconds; grants and releases
/// that come before it are answered well.
fn until<T>(p: &mut Play, wanted: impl Fn(&Act) -> Option<T>) -> T {
    for _ in 0..100 {
        p.now += 100;
        let mut found = None;
        for act in p.ownership.tick(p.now, &p.stage) {
            if let (None, Some(got)) = (&found, wanted(&act)) {
                found = Some(got);
                continue;
            }
            match act {
                Act::Log(put) => p.log(put),
                Act::Grant(g) => p.ownership.granted(p.now, &g, Granted::Yes),
                Act::Release(r) => p.ownership.released(p.now, &r, Released::Yes("t".into())),
            }
        }
        if let Some(found) = found {
            return found;
        }
    }
    panic!("it was not done");
}

fn drain(p: &mut Play, id: &str) {
    let gone = Worker {
        draining: true,
        ..worker(id)
    };
    p.change(ChangeKind::Workers(WorkersChange {
        put: vec![gone],
        ..Default::default()
    }));
}

#[test]
fn a_late_answer_to_a_grant_of_an_earlier_duty_ends_no_hold() {
    for late in [Granted::Unclear, Granted::Yes, Granted::NotSent, Granted::Outrun] {
        let mut p = Play::new(2);
        p.run(500, "");
        let call = until(&mut p, |act| match act {
            Act::Grant(g) if g.holding.worker == "w0" => Some(g.clone()),
            _ => None,
        });
        // The duty is lost and found again before the answer comes. Meanwhile
        // another leader may have granted the same, and that may still arrive.
        p.now += 300;
        p.ownership.begin(p.now, &p.stage);
        let least = p.ownership.hold_end(call.holding.fencing_token);
        drain(&mut p, "w0");
        p.now += 50;
        p.ownership.granted(p.now, &call, late);
        assert!(
            p.ownership.hold_end(call.holding.fencing_token) >= least,
            "{late:?}"
        );
        assert_eq!(p.ownership.unknown_answers(), 1);
        for _ in 0..20 {
            p.now += 100;
            for act in p.ownership.tick(p.now, &p.stage) {
                if let Act::Log(put) = act {
                    let freed = put
                        .iter()
                        .any(|h| h.worker != "w0" && h.from == call.holding.from);
                    assert!(!freed || p.now >= least, "{late:?}: freed at {}", p.now);
                    p.log(put);
                }
            }
        }
    }
}

#[test]
fn a_late_answer_to_a_release_of_an_earlier_duty_frees_nothing() {
    let mut p = Play::new(2);
    p.run(500, "");
    drain(&mut p, "w0");
    let call = until(&mut p, |act| match act {
        Act::Release(r) => Some(r.clone()),
        _ => None,
    });
    // In its next duty it has granted the keys once more, as another leader may
    // have, when the answer comes.
    p.now += 100;
    p.ownership.begin(p.now, &p.stage);
    let again = until(&mut p, |act| match act {
        Act::Grant(g) if g.holding.fencing_token == call.holding.fencing_token => Some(g.clone()),
        _ => None,
    });
    assert_eq!(again.holding, call.holding);
    p.ownership.released(p.now, &call, Released::Yes("late".into()));
    for _ in 0..10 {
        p.now += 100;
        for act in p.ownership.tick(p.now, &p.stage) {
            assert!(!matches!(act, Act::Log(_)), "freed at {}: {act:?}", p.now);
        }
    }
}

#[test]
fn an_answer_says_nothing_of_another_call_under_the_same_fence() {
    // A call of unclear end may arrive after the next one was answered.
    let mut p = Play::new(1);
    p.run(500, "");
    let grant = |p: &mut Play| {
        until(p, |act| match act {
            Act::Grant(g) => Some(g.clone()),
            _ => None,
        })
    };
    let first = grant(&mut p);
    p.ownership.granted(p.now, &first, Granted::Unclear);
    let least = p.ownership.hold_end(first.holding.fencing_token);
    let second = grant(&mut p);
    p.ownership.granted(p.now, &second, Granted::Yes);
    assert!(p.ownership.hold_end(first.holding.fencing_token) >= least);
    // A second answer to it changes nothing.
    let third = grant(&mut p);
    let least = p.ownership.hold_end(first.holding.fencing_token);
    p.ownership.granted(p.now, &second, Granted::Yes);
    assert_eq!(p.ownership.hold_end(first.holding.fencing_token), least);
    assert_eq!(p.ownership.unknown_answers(), 1);
    p.ownership.granted(p.now, &third, Granted::NotSent);
    assert!(p.ownership.hold_end(first.holding.fencing_token) < least);
}
