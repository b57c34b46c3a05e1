//! Changes logged from the platform's list of workers, and warm-up groups.

use config::settings::Bounds;
use control_state::ControlState;
use placement::{draining_on_page, is_empty_change, DiscoveryInput, ProxyNode, WarmupAdmission};
use protocol::{Change, ChangeKind, ConfigurationCommand, EvacuationChange, Worker, WorkersChange};
use std::collections::{BTreeMap, BTreeSet};

const CONFIG: &str = r#"{"Version":1,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
    "AccessPoints":[],"Groups":[{"Name":"s","ColdPeriod":"3s","ColdRateS":2.0},{"Name":"k","Partitioned":true,"ColdRateS":2.0}]}"#;

struct Leader {
    state: ControlState,
    admission: WarmupAdmission,
    list: BTreeMap<String, Worker>,
    nodes: Vec<ProxyNode>,
    now: u64,
    /// Number of pages in which the list is read.
    pages: u64,
}

impl Leader {
    fn new(node_count: u64) -> Leader {
        let mut leader = Leader {
            state: ControlState::default(),
            admission: WarmupAdmission::default(),
            list: BTreeMap::new(),
            nodes: (1..=node_count)
                .map(|id| ProxyNode {
                    id,
                    zone: format!("z{}", id % 2),
                })
                .collect(),
            now: 1000,
            pages: 1,
        };
        leader.log(ChangeKind::Replace(ConfigurationCommand {
            body: CONFIG.into(),
            ..Default::default()
        }));
        leader
    }

    fn log(&mut self, kind: ChangeKind) {
        let index = self.state.index + 1;
        self.state.apply(index, &Change::encode(kind));
    }

    fn list_worker(&mut self, id: &str, service: &str, warmup_ms: u64) {
        let row = Worker {
            id: id.into(),
            service: service.into(),
            zone: "z1".into(),
            warmup_ms,
            ..Default::default()
        };
        self.list.insert(id.into(), row);
    }

    /// Reads the list `ms` milliseconds later and returns the resulting change.
    fn read_list(&mut self, ms: u64) -> WorkersChange {
        self.now += ms;
        let bounds = Bounds {
            cold_excess: 1.5,
            cold_slack: 4.0,
            ..Default::default()
        };
        let input = DiscoveryInput {
            state: &self.state,
            as_of: self.state.index,
            nodes: &self.nodes,
            bounds: &bounds,
            lag_ms: 800,
            pages: self.pages,
        };
        let change = self.admission.compare(self.now, &self.list, &input);
        if !is_empty_change(&change) {
            self.log(ChangeKind::Workers(change.clone()));
        }
        change
    }

    fn group(&self, id: &str) -> Vec<u64> {
        let group = self.state.warmup_nodes(&self.state.workers[id]);
        group.into_iter().flatten().copied().collect()
    }
}

#[test]
fn warming_worker_has_no_more_callers_than_shares_and_every_node_calls_some() {
    let mut leader = Leader::new(60);
    for i in 0..40 {
        leader.list_worker(&format!("w{i}"), "s", 3000);
        leader.list_worker(&format!("k{i}"), "k", 3000);
    }
    leader.read_list(0);
    let mut called: BTreeSet<u64> = BTreeSet::new();
    for i in 0..40 {
        let callers = leader.group(&format!("w{i}"));
        assert!(callers.len() <= 7 && !callers.is_empty(), "{callers:?}");
        assert!(
            callers.iter().all(|n| n % 2 == 1),
            "callers must be in the worker's zone: {callers:?}"
        );
        called.extend(callers);
        let callers_of_partitioned = leader.group(&format!("k{i}"));
        assert!(
            callers_of_partitioned.len() <= 7 && callers_of_partitioned.iter().any(|n| n % 2 == 0),
            "{callers_of_partitioned:?}"
        );
    }
    assert_eq!(called.len(), 30, "every node of the zone must call some worker");
    assert!(
        is_empty_change(&leader.read_list(200)),
        "an announced warm-up must not be announced again"
    );
}

#[test]
fn worker_is_announced_warm_once_the_list_must_show_it() {
    let mut leader = Leader::new(4);
    leader.list_worker("w", "s", 3000);
    leader.read_list(0);
    leader.list_worker("w", "s", 2200);
    assert!(is_empty_change(&leader.read_list(800)));
    leader.list_worker("w", "s", 0);
    assert_eq!(leader.read_list(2300).warm, ["w"]);
    assert_eq!(leader.state.workers["w"].warmup_ms, 0);
    assert!(is_empty_change(&leader.read_list(500)));
    leader.list_worker("w", "s", 3000);
    let group = leader.group("w");
    assert_eq!(
        leader.read_list(500).put.len(),
        1,
        "warming again, the same incarnation"
    );
    assert_eq!((leader.group("w"), leader.state.warmup_groups.len()), (group, 1));
}

#[test]
fn warming_worker_keeps_its_group_when_nodes_restart() {
    let mut leader = Leader::new(8);
    leader.list_worker("w", "s", 3000);
    leader.read_list(0);
    let group = leader.group("w");
    // All nodes restart with new numbers, and a new leader announces again.
    for n in &mut leader.nodes {
        n.id += 100;
    }
    leader.admission.reset();
    leader.list_worker("w", "s", 2800);
    assert_eq!(leader.read_list(200).put.len(), 1);
    assert_eq!(
        leader.group("w"),
        group,
        "shares must not be handed out twice within one warm-up"
    );
    leader.list_worker("w", "s", 0);
    leader.read_list(3000);
    assert_eq!(leader.read_list(1200).warm.len(), 0);
    leader.list_worker("w", "s", 3000);
    leader.read_list(500);
    assert!(
        leader.group("w").iter().all(|n| *n > 100),
        "the next warm-up must use the current nodes"
    );
}

#[test]
fn new_leader_announces_a_worker_that_warms_up_again() {
    let mut leader = Leader::new(4);
    leader.list_worker("w", "s", 3000);
    leader.read_list(0);
    leader.admission.reset();
    leader.list_worker("w", "s", 2900);
    assert_eq!(leader.read_list(9000).put.len(), 1);
    leader.admission.reset();
    leader.list_worker("w", "s", 0);
    assert!(is_empty_change(&leader.read_list(9000)), "the list may lag");
    assert_eq!(leader.read_list(1200).warm, ["w"]);
}

#[test]
fn worker_of_a_restored_zone_is_warming_until_the_list_can_show_otherwise() {
    let mut leader = Leader::new(4);
    leader.list_worker("w", "s", 0);
    leader.read_list(0);
    for begin in [true, false] {
        let zone = "z1".into();
        leader.log(ChangeKind::Evacuate(EvacuationChange { zone, begin }));
    }
    assert!(leader.state.is_warmup_unknown(&leader.state.workers["w"]));
    assert!(
        leader.group("w").is_empty(),
        "no node may call before a group is logged"
    );
    assert_eq!(leader.read_list(100).put[0].warmup_ms, 3000);
    assert_eq!(leader.group("w").len(), 2);
    // Another change of the worker in the meantime does not make it warm.
    leader.list_worker("w", "s", 0);
    if let Some(row) = leader.list.get_mut("w") {
        row.draining = true;
    }
    assert!(leader.read_list(500).put[0].warmup_ms >= 2500);
    assert!(is_empty_change(&leader.read_list(300)));
    assert_eq!(leader.read_list(1000).warm, ["w"]);
}

#[test]
fn list_read_before_the_zone_was_restored_does_not_end_its_warmup() {
    let mut leader = Leader::new(4);
    leader.list_worker("w", "s", 0);
    leader.read_list(0);
    let read_at = leader.state.index;
    for begin in [true, false] {
        let zone = "z1".into();
        leader.log(ChangeKind::Evacuate(EvacuationChange { zone, begin }));
    }
    let late_change = WorkersChange {
        put: leader.list.values().cloned().collect(),
        as_of: read_at,
        ..Default::default()
    };
    leader.log(ChangeKind::Workers(late_change));
    assert!(leader.state.is_warmup_unknown(&leader.state.workers["w"]));
}

/// Guards against a running worker being taken for ended because one reading of a paged list
/// contained it on no page (OWNER; review case 2).
#[test]
fn worker_missing_from_one_reading_of_a_paged_list_is_not_removed() {
    let mut leader = Leader::new(4);
    for i in 0..60 {
        leader.list_worker(&format!("w{i:02}"), "k", 0);
    }
    leader.pages = 2;
    leader.read_list(500);
    let omitted = leader.list.remove("w30");
    assert!(is_empty_change(&leader.read_list(500)), "omitted once");
    assert!(is_empty_change(&leader.read_list(500)), "omitted twice");
    leader.list.extend(omitted.map(|w| (w.id.clone(), w)));
    assert!(is_empty_change(&leader.read_list(500)), "listed again");
    leader.list.remove("w30");
    assert!(
        is_empty_change(&leader.read_list(500)),
        "only consecutive absences count"
    );
    assert!(is_empty_change(&leader.read_list(500)));
    assert_eq!(leader.read_list(500).removed, ["w30"]);
    assert!(is_empty_change(&leader.read_list(500)));
    // A list of one page shows a single moment.
    leader.pages = 1;
    leader.list.remove("w31");
    assert_eq!(leader.read_list(500).removed, ["w31"]);
}

/// Guards against a new leader counting the absences that an earlier leader saw.
#[test]
fn new_leader_restarts_the_count_of_absences() {
    let mut leader = Leader::new(4);
    leader.list_worker("w", "k", 0);
    leader.pages = 2;
    leader.read_list(500);
    leader.list.clear();
    leader.read_list(500);
    leader.read_list(500);
    leader.admission.reset();
    assert!(is_empty_change(&leader.read_list(500)));
}

/// Guards against a warming worker that one reading omits being announced again with other callers.
#[test]
fn warming_worker_missing_from_one_reading_is_not_announced_again() {
    let mut leader = Leader::new(4);
    leader.pages = 2;
    leader.list_worker("warming", "k", 9000);
    leader.read_list(500);
    leader.list.clear();
    assert!(is_empty_change(&leader.read_list(500)));
    leader.list_worker("warming", "k", 8000);
    assert!(is_empty_change(&leader.read_list(500)));
}

/// Guards against a leaving that waits for the rest of a long list (DRAIN).
#[test]
fn a_page_tells_of_workers_that_drain_and_of_nothing_else() {
    let mut leader = Leader::new(4);
    for id in ["drains", "stays", "unread", "warms"] {
        leader.list_worker(id, "s", 0);
    }
    leader.read_list(0);
    leader.list_worker("new", "s", 0);
    leader.list_worker("warms", "s", 3000);
    for id in ["drains", "new", "unread"] {
        leader.list.get_mut(id).expect("a listed worker").draining = true;
    }
    let page = |leader: &Leader| {
        let on_page = leader.list.values().filter(|w| w.id != "unread");
        draining_on_page(on_page, &leader.state, leader.state.index)
    };
    let change = page(&leader);
    let known = Worker::clone(&leader.state.workers["drains"]);
    let draining = Worker {
        draining: true,
        ..known
    };
    assert_eq!(change.put, [draining]);
    assert!(change.removed.is_empty() && change.warm.is_empty());
    leader.log(ChangeKind::Workers(change));
    assert!(is_empty_change(&page(&leader)), "it is told once");
    let rest = leader.read_list(500);
    let put: BTreeSet<&str> = rest.put.iter().map(|worker| worker.id.as_str()).collect();
    assert_eq!(put, BTreeSet::from(["new", "unread", "warms"]));
}
