//! Selection of a worker: locality, ejection, warm-up, deadline, key leases.

use balancer::{AttemptResult, LoadBalancer, Locality, PeerInfo, Selection, SelectionRequest};
use config::{constants as c, settings::Bounds};
use control_state::ControlState;
use protocol::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const CONFIG: &str = r#"{"Version":1,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
    "AccessPoints":[{"Host":"h","Rules":[
      {"Name":"free","RouteType":"idempotent","Target":"300ms","Condition":{"PathPrefix":"/a/"},"Treatment":{"Service":"s","Timeout":"2s","AttemptLimit":2}},
      {"Name":"home","RouteType":"non_idempotent","Target":"300ms","Condition":{"PathPrefix":"/b/"},"Treatment":{"Service":"s","Timeout":"2s","HomeRegions":["far"]}}]}],
    "Groups":[{"Name":"s","ConnectionLimit":40,"ColdPeriod":"3s","ColdRateS":6.0}]}"#;

fn state(workers: &[(&str, &str, u64)]) -> ControlState {
    let mut state = ControlState::default();
    let command = ConfigurationCommand {
        base: 0,
        body: CONFIG.into(),
        ..Default::default()
    };
    state.apply(1, &Change::encode(ChangeKind::Replace(command)));
    let put = workers
        .iter()
        .map(|(id, zone, warmup_ms)| Worker {
            id: id.to_string(),
            service: "s".into(),
            zone: zone.to_string(),
            slots: 6,
            warmup_ms: *warmup_ms,
            warmup_group: 1,
            ..Default::default()
        })
        .collect();
    let warmup_groups = vec![WarmupGroup {
        number: 1,
        nodes: vec![7, 8, 9],
    }];
    let change = WorkersChange {
        put,
        warmup_groups,
        ..Default::default()
    };
    state.apply(2, &Change::encode(ChangeKind::Workers(change)));
    state
}

fn balancer(state: &ControlState) -> LoadBalancer {
    let zones = [("z1", "near"), ("z2", "near"), ("z3", "far")];
    let zones = zones
        .iter()
        .map(|(z, r)| (z.to_string(), r.to_string()))
        .collect();
    let bounds = Bounds {
        retry_ratio: 0.2,
        cold_excess: 1.5,
        cold_slack: 5.0,
        ..Default::default()
    };
    let mut balancer = LoadBalancer::new("z1", zones, bounds, 1);
    balancer.update_state(0, Arc::new(state.clone()));
    balancer.set_peers(peers(7));
    balancer
}

fn peers(own_id: u64) -> PeerInfo {
    PeerInfo {
        locality: Locality {
            node_count: 3,
            zone_node_count: 3,
            ..Default::default()
        },
        own_id,
        round_trips: BTreeMap::new(),
    }
}

fn choose_worker(
    balancer: &mut LoadBalancer,
    state: &ControlState,
    path: &str,
    now: u64,
    tried_workers: &[String],
) -> Selection {
    let config = state.configuration.clone().expect("config");
    let route = config.route("h", path).expect("route");
    balancer.choose(
        now,
        &SelectionRequest {
            route,
            key: None,
            service: "s",
            tried_workers,
            remaining_ms: 2000,
            zone: None,
        },
    )
}

fn selected_id(selection: &Selection) -> &str {
    match selection {
        Selection::Worker(worker) => &worker.id,
        _ => "",
    }
}

#[test]
fn own_zone_is_preferred_over_region_and_home_regions_are_binding() {
    let state = state(&[("own", "z1", 0), ("next", "z2", 0), ("far", "z3", 0)]);
    let mut balancer = balancer(&state);
    assert_eq!(
        selected_id(&choose_worker(&mut balancer, &state, "/a/", 0, &[])),
        "own"
    );
    assert_eq!(
        selected_id(&choose_worker(&mut balancer, &state, "/b/", 0, &[])),
        "far"
    );
    for _ in 0..3 {
        choose_worker(&mut balancer, &state, "/a/", 0, &[]);
    }
    assert_eq!(
        selected_id(&choose_worker(&mut balancer, &state, "/a/", 0, &[])),
        "next",
        "the worker of the own zone is busy"
    );
}

#[test]
fn evacuated_draining_and_failing_workers_get_no_requests() {
    let mut state = state(&[("own", "z1", 0), ("next", "z2", 0)]);
    let mut balancer = balancer(&state);
    assert_eq!(
        selected_id(&choose_worker(&mut balancer, &state, "/a/", 0, &[])),
        "own"
    );
    balancer.observe(10, "own", AttemptResult::Failed);
    assert_eq!(
        selected_id(&choose_worker(&mut balancer, &state, "/a/", 20, &[])),
        "next"
    );
    state.apply(
        3,
        &Change::encode(ChangeKind::Evacuate(EvacuationChange {
            zone: "z2".into(),
            begin: true,
        })),
    );
    balancer.update_state(20, Arc::new(state.clone()));
    assert_eq!(
        selected_id(&choose_worker(&mut balancer, &state, "/a/", 5000, &[])),
        "own",
        "the ejection has expired"
    );
    let mut worker = (*state.workers["own"]).clone();
    worker.draining = true;
    state.apply(
        4,
        &Change::encode(ChangeKind::Workers(WorkersChange {
            put: vec![worker],
            removed: vec![],
            ..Default::default()
        })),
    );
    balancer.update_state(20, Arc::new(state.clone()));
    assert!(matches!(
        choose_worker(&mut balancer, &state, "/a/", 5000, &[]),
        Selection::Unavailable(_)
    ));
}

#[test]
fn all_nodes_of_a_zone_together_stay_within_the_rate_of_a_warming_worker() {
    let state = state(&[("warming", "z1", 60_000)]);
    let mut nodes: Vec<(u64, LoadBalancer)> = (6..11).map(|own_id| (own_id, balancer(&state))).collect();
    for (own_id, balancer) in &mut nodes {
        balancer.set_peers(peers(*own_id));
    }
    let mut sent = Vec::new();
    for now in (0..10_000).step_by(10) {
        for (own_id, balancer) in &mut nodes {
            if let Selection::Worker(_) = choose_worker(balancer, &state, "/a/", now, &[]) {
                assert!(
                    (7..=9).contains(own_id),
                    "only nodes of the warm-up group may send"
                );
                assert!(
                    now >= c::WARMUP_WINDOW_MS,
                    "a node that has just started must not send"
                );
                sent.push(now);
                balancer.observe(now, "warming", AttemptResult::Answered(50.0));
            }
        }
    }
    let max_per_second = sent
        .iter()
        .map(|t| sent.iter().filter(|s| **s >= *t && **s < t + 1000).count())
        .max();
    assert!(max_per_second <= Some(6 * 3 / 2 + 5), "{max_per_second:?}");
    assert!(
        sent.len() > 30,
        "the warming worker is starved: {} requests",
        sent.len()
    );
}

#[test]
fn request_that_would_miss_its_deadline_is_rejected_immediately() {
    let state = state(&[("own", "z1", 0)]);
    let mut balancer = balancer(&state);
    let config = state.configuration.clone().expect("config");
    let route = config.route("h", "/a/").expect("route");
    let mut choose = |remaining_ms| {
        balancer.choose(
            0,
            &SelectionRequest {
                route,
                key: None,
                service: "s",
                tried_workers: &[],
                remaining_ms,
                zone: None,
            },
        )
    };
    assert!(
        matches!(choose(20), Selection::Unavailable(_)),
        "workers are assumed to answer in 100 ms"
    );
    assert_eq!(selected_id(&choose(200)), "own");
}

#[test]
fn retry_after_depends_on_the_state_of_the_key_holder() {
    let mut state = state(&[("own", "z1", 0)]);
    let lease = |is_revoking| KeyLease {
        service: "s".into(),
        to: 9,
        worker: "own".into(),
        fencing_token: 1,
        revoking: is_revoking,
        ..Default::default()
    };
    let mut choose_for_key = |is_revoking: bool, failed: bool| {
        let put = vec![lease(is_revoking)];
        let index = state.index + 1;
        state.apply(
            index,
            &Change::encode(ChangeKind::KeyLeases(KeyLeaseChange { put })),
        );
        let mut balancer = balancer(&state);
        let config = state.configuration.clone().expect("config");
        let route = config.route("h", "/a/").expect("route");
        let request = SelectionRequest {
            route,
            key: Some(3),
            service: "s",
            tried_workers: &[],
            remaining_ms: 2000,
            zone: None,
        };
        for _ in 0..2 {
            // The second of two concurrent attempts is rejected.
            if failed && matches!(balancer.choose(0, &request), Selection::Worker(_)) {
                balancer.observe(0, "own", AttemptResult::Failed);
                balancer.choose(0, &request);
            }
        }
        balancer.choose(0, &request)
    };
    assert_eq!(selected_id(&choose_for_key(false, false)), "own");
    assert_eq!(
        choose_for_key(true, false),
        Selection::Unavailable(c::RETRY_AFTER_HANDOVER_MS)
    );
    assert_eq!(
        choose_for_key(false, true),
        Selection::Unavailable(c::RETRY_AFTER_HOLDER_LOST_MS)
    );
}

#[test]
fn worker_whose_address_was_reused_is_no_longer_selected() {
    let state = state(&[("own", "z1", 0), ("next", "z1", 0)]);
    let mut balancer = balancer(&state);
    for t in 0..100 {
        // The worker answers immediately that it is the wrong one; it must not count as the fastest
        // for that.
        let selection = choose_worker(&mut balancer, &state, "/a/", t, &[]);
        if selected_id(&selection) == "own" {
            assert!(t < 20, "still selected at {t} ms");
            balancer.observe(t, "own", AttemptResult::AddressReused);
        } else {
            balancer.observe(t, "next", AttemptResult::Answered(100.0));
        }
    }
}

#[test]
fn workers_of_a_zone_restored_from_evacuation_count_as_warming() {
    let mut state = state(&[("own", "z1", 0), ("next", "z2", 0)]);
    let mut balancer = balancer(&state);
    for (i, begin) in [(3, true), (4, false)] {
        state.apply(
            i,
            &Change::encode(ChangeKind::Evacuate(EvacuationChange {
                zone: "z2".into(),
                begin,
            })),
        );
    }
    balancer.update_state(100, Arc::new(state.clone()));
    let tried_workers = vec!["own".to_string()];
    for t in 0..50 {
        choose_worker(&mut balancer, &state, "/a/", t, &[]);
    }
    assert!(
        matches!(
            choose_worker(&mut balancer, &state, "/a/", 200, &tried_workers),
            Selection::Unavailable(_)
        ),
        "the worker is warming and has no warm-up group yet"
    );
    assert_eq!(
        selected_id(&choose_worker(&mut balancer, &state, "/a/", 5000, &tried_workers)),
        "next"
    );
}
