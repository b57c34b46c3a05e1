//! What the log is told of the platform's list of workers, and the warm-up groups.

use config::settings::Bounds;
use control_state::ControlState;
use placement::{is_empty_change, DiscoveryInput, ProxyNode, WarmupAdmission};
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
    /// Pages that the list is read in.
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

    fn list(&mut self, id: &str, service: &str, warmup_ms: u64) {
        let row = Worker {
            id: id.into(),
            service: service.into(),
            zone: "z1".into(),
            warmup_ms,
            ..Default::default()
        };
        self.list.insert(id.into(), row);
    }

    /// One look at the list after so many ms; what it changed.
    fn look(&mut self, ms: u64) -> WorkersChange {
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
fn a_warming_worker_has_no_more_callers_than_shares_and_every_node_calls_some() {
    let mut p = Leader::new(60);
    for i in 0..40 {
        p.list(&format!("w{i}"), "s", 3000);
        p.list(&format!("k{i}"), "k", 3000);
    }
    p.look(0);
    let mut called: BTreeSet<u64> = BTreeSet::new();
    for i in 0..40 {
        let own = p.group(&format!("w{i}"));
        assert!(own.len() <= 7 && !own.is_empty(), "{own:?}");
        assert!(own.iter().all(|n| n % 2 == 1), "of its zone: {own:?}");
        called.extend(own);
        let keyed = p.group(&format!("k{i}"));
        assert!(keyed.len() <= 7 && keyed.iter().any(|n| n % 2 == 0), "{keyed:?}");
    }
    assert_eq!(called.len(), 30, "no node of the zone is left out");
    assert!(
        is_empty_change(&p.look(200)),
        "what was announced is not announced again"
    );
}

#[test]
fn warm_is_announced_once_the_list_must_show_it() {
    let mut p = Leader::new(4);
    p.list("w", "s", 3000);
    p.look(0);
    p.list("w", "s", 2200);
    assert!(is_empty_change(&p.look(800)));
    p.list("w", "s", 0);
    assert_eq!(p.look(2300).warm, ["w"]);
    assert_eq!(p.state.workers["w"].warmup_ms, 0);
    assert!(is_empty_change(&p.look(500)));
    p.list("w", "s", 3000);
    let group = p.group("w");
    assert_eq!(p.look(500).put.len(), 1, "warming again, the same incarnation");
    assert_eq!((p.group("w"), p.state.warmup_groups.len()), (group, 1));
}

#[test]
fn a_warming_worker_keeps_its_group_whoever_ends() {
    let mut p = Leader::new(8);
    p.list("w", "s", 3000);
    p.look(0);
    let group = p.group("w");
    // Many nodes end and are back with new numbers; a new leader announces again.
    for n in &mut p.nodes {
        n.id += 100;
    }
    p.admission.reset();
    p.list("w", "s", 2800);
    assert_eq!(p.look(200).put.len(), 1);
    assert_eq!(p.group("w"), group, "no second shares within one warm-up");
    p.list("w", "s", 0);
    p.look(3000);
    assert_eq!(p.look(1200).warm.len(), 0);
    p.list("w", "s", 3000);
    p.look(500);
    assert!(
        p.group("w").iter().all(|n| *n > 100),
        "the next time others have them"
    );
}

#[test]
fn a_new_leader_announces_a_worker_that_warms_again() {
    let mut p = Leader::new(4);
    p.list("w", "s", 3000);
    p.look(0);
    p.admission.reset();
    p.list("w", "s", 2900);
    assert_eq!(p.look(9000).put.len(), 1);
    p.admission.reset();
    p.list("w", "s", 0);
    assert!(is_empty_change(&p.look(9000)), "the list may be behind");
    assert_eq!(p.look(1200).warm, ["w"]);
}

#[test]
fn a_restored_zone_warms_until_the_list_could_show_otherwise() {
    let mut p = Leader::new(4);
    p.list("w", "s", 0);
    p.look(0);
    for begin in [true, false] {
        let zone = "z1".into();
        p.log(ChangeKind::Evacuate(EvacuationChange { zone, begin }));
    }
    assert!(p.state.is_warmup_unknown(&p.state.workers["w"]));
    assert!(p.group("w").is_empty(), "nobody, until a group is told");
    assert_eq!(p.look(100).put[0].warmup_ms, 3000);
    assert_eq!(p.group("w").len(), 2);
    // Another change in the meantime does not make it warm.
    p.list("w", "s", 0);
    if let Some(row) = p.list.get_mut("w") {
        row.draining = true;
    }
    assert!(p.look(500).put[0].warmup_ms >= 2500);
    assert!(is_empty_change(&p.look(300)));
    assert_eq!(p.look(1000).warm, ["w"]);
}

#[test]
fn a_list_read_before_the_zone_came_back_tells_nothing_of_it() {
    let mut p = Leader::new(4);
    p.list("w", "s", 0);
    p.look(0);
    let read_at = p.state.index;
    for begin in [true, false] {
        let zone = "z1".into();
        p.log(ChangeKind::Evacuate(EvacuationChange { zone, begin }));
    }
    let late = WorkersChange {
        put: p.list.values().cloned().collect(),
        as_of: read_at,
        ..Default::default()
    };
    p.log(ChangeKind::Workers(late));
    assert!(p.state.is_warmup_unknown(&p.state.workers["w"]));
}

/// Guards against a worker that runs being taken for ended since it stood on no page of one
/// reading (OWNER; review case 2).
#[test]
fn a_worker_that_one_reading_of_several_pages_leaves_out_has_not_ended() {
    let mut p = Leader::new(4);
    for i in 0..60 {
        p.list(&format!("w{i:02}"), "k", 0);
    }
    p.pages = 2;
    p.look(500);
    let between = p.list.remove("w30");
    assert!(is_empty_change(&p.look(500)), "left out once");
    assert!(is_empty_change(&p.look(500)), "left out twice");
    p.list.extend(between.map(|w| (w.id.clone(), w)));
    assert!(is_empty_change(&p.look(500)), "listed again");
    p.list.remove("w30");
    assert!(is_empty_change(&p.look(500)), "absences are counted in a row");
    assert!(is_empty_change(&p.look(500)));
    assert_eq!(p.look(500).removed, ["w30"]);
    assert!(is_empty_change(&p.look(500)));
    // A list of one page is of one moment.
    p.pages = 1;
    p.list.remove("w31");
    assert_eq!(p.look(500).removed, ["w31"]);
}

/// The same under a new leader: what an earlier one saw does not count.
#[test]
fn a_new_leader_counts_the_absences_of_a_worker_anew() {
    let mut p = Leader::new(4);
    p.list("w", "k", 0);
    p.pages = 2;
    p.look(500);
    p.list.clear();
    p.look(500);
    p.look(500);
    p.admission.reset();
    assert!(is_empty_change(&p.look(500)));
}

/// The same for one that warms up: it is not announced once more, to other callers.
#[test]
fn a_warming_worker_that_one_reading_leaves_out_goes_on_warming() {
    let mut p = Leader::new(4);
    p.pages = 2;
    p.list("warming", "k", 9000);
    p.look(500);
    p.list.clear();
    assert!(is_empty_change(&p.look(500)));
    p.list("warming", "k", 8000);
    assert!(is_empty_change(&p.look(500)));
}
